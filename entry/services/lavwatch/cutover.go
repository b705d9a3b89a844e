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
	// cutoverTick is the interval of decisions on cutovers.
	cutoverTick = 150 * time.Millisecond
	// cutoverRead is the interval of reads of the rows while a cutover is under way; peers tell changes sooner.
	cutoverRead = 2400 * time.Millisecond
	// cutoverFirstRead is the interval until the rows are known for the first time.
	cutoverFirstRead = 400 * time.Millisecond
)

// CutoverDriver drives the cutovers with the other hosts until its context ends.
type CutoverDriver struct {
	lavlife.Part
	Cutovers *lavcutover.Cutovers
	Store    CutoverStore
	Rank    lavcutover.Place
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
		interval := cutoverRead
		if !c.Cutovers.Known() {
			interval = cutoverFirstRead
		}
		if (!c.Cutovers.Known() || c.Cutovers.Running()) && now.Sub(c.lastRead) >= interval {
			c.read(ctx)
		}
		for _, change := range c.Cutovers.Tick(c.Rank, c.Busy, c.Clock()) {
			c.write(ctx, change)
		}
		lavlife.Sleep(ctx, cutoverTick)
	}
}

// read takes over the rows of the store.
func (c *CutoverDriver) read(ctx context.Context) {
	c.lastRead = c.Clock()
	reading, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	rows, err := c.Store.Cutovers(reading)
	if err != nil {
		c.Log.WithError(err).Debug("cutovers could not be read")
		return
	}
	for _, row := range rows {
		c.take(row)
	}
	c.Cutovers.Read()
}

func (c *CutoverDriver) take(row CutoverRow) {
	if c.Cutovers.Hear(row.Progress, row.Version, c.Clock()) {
		c.Log.WithFields(logrus.Fields{
			"service": row.Progress.Service,
			"release": row.Progress.To,
			"state":   row.Progress.State,
		}).Info("cutover changed")
	}
}

// write writes one change; when another host was first, the row as it stands is taken over.
func (c *CutoverDriver) write(ctx context.Context, change lavcutover.Change) {
	writing, cancel := context.WithTimeout(ctx, c.CallTimeout)
	defer cancel()
	version, err := c.Store.WriteCutover(writing, change)
	c.Log.WithFields(logrus.Fields{
		"service":  change.Progress.Service,
		"release":  change.Progress.To,
		"state":    change.Progress.State,
		"evidence": change.Evidence,
		"error":    err,
	}).Info("cutover written")
	if err != nil {
		// The write may have taken effect, here or by another host.
		c.read(ctx)
		return
	}
	c.take(CutoverRow{Progress: change.Progress, Version: version})
}
