package lavwatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
)

// CutoverRow is a cutover as the store keeps it.
type CutoverRow struct {
	Progress lavcutover.Progress
	Version  float64
}

// CutoverStore keeps the rows that hosts agree on.
type CutoverStore interface {
	Cutovers(ctx context.Context) ([]CutoverRow, error)
	// WriteCutover writes a changed row, and what operators read of it, if the row still has the stated version; it
	// returns the new version.
	WriteCutover(ctx context.Context, change lavcutover.Change) (float64, error)
}

// HostStore keeps the list of entry hosts.
type HostStore interface {
	Hosts(ctx context.Context) ([]lavring.Member, error)
	PutHost(ctx context.Context, member lavring.Member) error
	DropHost(ctx context.Context, id lavid.HostID) error
}

const (
	// cutoverInterval is the interval of decisions on cutovers.
	cutoverInterval = 150 * time.Millisecond
	// cutoverReadInterval is the interval of reads of the rows while a cutover is under way; peers tell changes sooner.
	cutoverReadInterval = 2400 * time.Millisecond
	// cutoverFirstReadInterval is the interval until the rows are known for the first time.
	cutoverFirstReadInterval = 400 * time.Millisecond
)

// CutoverDriver drives the cutovers with the other hosts until its context ends.
type CutoverDriver struct {
	lavlife.Part
	Cutovers *lavcutover.Cutovers
	Store    CutoverStore
	Rank     lavcutover.Place
	Busy     lavcutover.Busy
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
	Log         logrus.FieldLogger
	Clock       func() time.Time

	lastRead time.Time
}

// Run decides and writes until ctx ends.
func (c *CutoverDriver) Run(ctx context.Context) {
	defer c.Finish()
	for ctx.Err() == nil {
		now := c.Clock()
		interval := cutoverReadInterval
		if !c.Cutovers.Known() {
			interval = cutoverFirstReadInterval
		}
		if (!c.Cutovers.Known() || c.Cutovers.Running()) && now.Sub(c.lastRead) >= interval {
			c.readRows(ctx)
		}
		for _, change := range c.Cutovers.Tick(c.Rank, c.Busy, c.Clock()) {
			c.writeChange(ctx, change)
		}
		lavlife.Sleep(ctx, cutoverInterval)
	}
}

// readRows takes over the rows of the store.
func (c *CutoverDriver) readRows(ctx context.Context) {
	c.lastRead = c.Clock()
	readCtx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	rows, err := c.Store.Cutovers(readCtx)
	if err != nil {
		c.Log.WithError(err).Debug("cutovers could not be read")
		return
	}
	for _, row := range rows {
		c.apply(row)
	}
	c.Cutovers.Read()
}

func (c *CutoverDriver) apply(row CutoverRow) {
	if c.Cutovers.Hear(row.Progress, row.Version, c.Clock()) {
		c.Log.WithFields(logrus.Fields{
			"service": row.Progress.Service,
			"release": row.Progress.To,
			"state":   row.Progress.State,
		}).Info("cutover changed")
	}
}

// writeChange writes one change; when another host was first, the row as it stands is taken over.
func (c *CutoverDriver) writeChange(ctx context.Context, change lavcutover.Change) {
	writeCtx, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	version, err := c.Store.WriteCutover(writeCtx, change)
	c.Log.WithFields(logrus.Fields{
		"service":  change.Progress.Service,
		"release":  change.Progress.To,
		"state":    change.Progress.State,
		"evidence": change.Evidence,
		"error":    err,
	}).Info("cutover written")
	if err != nil {
		// The write may have taken effect, here or by another host.
		c.readRows(ctx)
		return
	}
	c.apply(CutoverRow{Progress: change.Progress, Version: version})
}
