package lavwatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/services/lavcutover"
)

// CutoverRow is the stored state of a cutover.
type CutoverRow struct {
	Progress lavcutover.Progress
	Revision lavrevision.Revision
}

// CutoverStore keeps the rows of cutovers, which all entry hosts read and write.
type CutoverStore interface {
	// Cutovers returns all rows, and the revision at which they were read.
	Cutovers(ctx context.Context) ([]CutoverRow, lavrevision.Revision, error)
	// WriteCutover writes a changed row, and the values shown to operators, if the row still has the revision that the
	// change states. It returns the new revision. If the store turns out to be in another era than the row was read in, it fails, and
	// it is not known whether the row was written.
	WriteCutover(ctx context.Context, change lavcutover.Change) (lavrevision.Revision, error)
}

const (
	// cutoverInterval separates two decisions on cutovers.
	cutoverInterval = 150 * time.Millisecond
	// cutoverReadInterval separates two reads of the rows during a cutover. Changes usually arrive
	// sooner in the broadcasts of other hosts.
	cutoverReadInterval = 2400 * time.Millisecond
	// cutoverFirstReadInterval separates two tries to read the rows for the first time.
	cutoverFirstReadInterval = 400 * time.Millisecond
)

// CutoverDriver advances cutovers together with the other entry hosts until its context ends.
type CutoverDriver struct {
	lavlife.DoneSignal
	Cutovers *lavcutover.Cutovers
	Store    CutoverStore
	Rank     lavcutover.Rank
	Busy     lavcutover.Busy
	// Reads reports whether this host reads the rows repeatedly during a cutover. Others learn of changes from it.
	Reads func() bool
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	Log         logrus.FieldLogger
	Clock       func() time.Time

	lastRead time.Time
}

// Run reads rows, decides on changes and writes them until ctx ends.
func (c *CutoverDriver) Run(ctx context.Context) {
	defer c.Finish()
	for ctx.Err() == nil {
		now := c.Clock()
		unknown := !c.Cutovers.RowsRead() || c.Cutovers.RowsUnknown(c.Rank, now)
		interval := cutoverReadInterval
		if unknown {
			interval = cutoverFirstReadInterval
		}
		if (unknown || c.Cutovers.Running() && c.Reads()) && now.Sub(c.lastRead) >= interval {
			c.readRows(ctx)
		}
		for _, change := range c.Cutovers.Tick(c.Rank, c.Busy, c.Clock()) {
			c.writeChange(ctx, change)
		}
		lavlife.Sleep(ctx, cutoverInterval)
	}
}

// readRows applies the stored rows. When the store fails, the rows stay as they are.
func (c *CutoverDriver) readRows(ctx context.Context) {
	c.lastRead = c.Clock()
	readCtx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	rows, read, err := c.Store.Cutovers(readCtx)
	if err != nil {
		c.Log.WithError(err).Debug("reading the cutovers failed")
		return
	}
	c.Cutovers.StoreReturned(read.Era, c.Clock())
	stored := make(map[lavid.ServiceID]bool, len(rows))
	for _, row := range rows {
		stored[row.Progress.Service] = true
		c.apply(row)
	}
	c.Cutovers.ConfirmRows(stored, read, c.Clock())
	c.Cutovers.MarkRowsRead()
}

func (c *CutoverDriver) apply(row CutoverRow) {
	if c.Cutovers.ApplyRow(row.Progress, row.Revision, c.Clock()) {
		c.Log.WithFields(logrus.Fields{
			"service": row.Progress.Service,
			"release": row.Progress.To,
			"state":   row.Progress.State,
		}).Info("cutover changed")
	}
}

// writeChange writes one change and applies it. When the write fails, it reads the rows again.
func (c *CutoverDriver) writeChange(ctx context.Context, change lavcutover.Change) {
	writeCtx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	revision, err := c.Store.WriteCutover(writeCtx, change)
	log := c.Log.WithFields(logrus.Fields{
		"service":  change.Progress.Service,
		"release":  change.Progress.To,
		"state":    change.Progress.State,
		"evidence": change.Evidence,
	})
	if err != nil {
		log.WithError(err).Warn("cutover not written, or the reply was lost; reading its row again")
		// The reply may have been lost, or another host may have written the row first.
		c.readRows(ctx)
		return
	}
	log.Info("cutover written")
	c.apply(CutoverRow{Progress: change.Progress, Revision: revision})
}
