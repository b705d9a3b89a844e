package lavcutover

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Change is a row that should be written if it still has the stated version.
type Change struct {
	Progress Progress
	// Version is zero when there must be no row.
	Version float64
	// Evidence against the release, for the log.
	Evidence float64
}

const (
	// quietTime without work at the old servers is enough to complete.
	idleTime = 600 * time.Millisecond
	// takeover separates the hosts that write a change when the one before them did not.
	takeoverDelay = 500 * time.Millisecond
)

// Rank is this host's turn among the hosts for a service, zero for the first.
type Rank func(service lavid.ServiceID) int

// Busy tells whether servers of other releases of a service still work on requests.
type Busy func(service lavid.ServiceID, except lavid.ReleaseID) bool

// Tick returns the changes that this host should write now.
//
// A stop is written by whoever sees the evidence; everything else by the hosts
// in their turn.
func (c *Cutovers) Tick(rank Rank, busy Busy, now time.Time) []Change {
	c.statistics.countPending(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []Change
	for _, row := range c.rows {
		if change, ok := c.step(row, rank, busy, now); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

func (c *Cutovers) step(row *cutover, rank Rank, busy Busy, now time.Time) (Change, bool) {
	if !row.ordered || !c.rowsRead {
		return Change{}, false
	}
	switch row.progress.State {
	case "":
		return c.begin(row, rank, now)
	case Running:
		return c.stopOrComplete(row, rank, busy, now)
	default:
		return Change{}, false
	}
}

// begin writes the first row of a cutover.
func (c *Cutovers) begin(row *cutover, rank Rank, now time.Time) (Change, bool) {
	if now.Sub(row.dueSince) < time.Duration(rank(row.progress.Service))*takeoverDelay {
		return Change{}, false
	}
	next := row.progress
	next.State = Running
	next.Began = c.storeTime(now)
	return Change{Progress: next, Version: row.version}, true
}

// judge stops a release that answers worse, and completes one that has taken over.
func (c *Cutovers) stopOrComplete(row *cutover, rank Rank, busy Busy, now time.Time) (Change, bool) {
	evidence := c.statistics.evidence(row.progress, c.settings.Test)
	elapsed := c.storeTime(now) - row.progress.Began
	// A release that is still doubtful when its time is over cannot complete, and would go on answering its sessions.
	overdue := row.progress.mustComplete(elapsed) && evidence >= c.settings.DoubtEvidence
	if row.stopped || evidence >= c.settings.StopEvidence || overdue {
		row.stopped = true
		next := row.progress
		next.State = Stopped
		return Change{Progress: next, Version: row.version, Evidence: evidence}, true
	}
	row.takesAll = c.mayTakeAll(row, evidence, elapsed)
	if !row.takesAll {
		row.idleSince = time.Time{}
		return Change{}, false
	}
	if busy(row.progress.Service, row.progress.To) {
		row.idleSince = time.Time{}
	} else if row.idleSince.IsZero() {
		row.idleSince = now
	}
	idle := !row.idleSince.IsZero() && now.Sub(row.idleSince) >= idleTime
	if !idle && !row.progress.mustComplete(elapsed) {
		row.dueSince = now
		return Change{}, false
	}
	if evidence > c.settings.MaxCompleteEvidence || now.Sub(row.dueSince) < time.Duration(rank(row.progress.Service))*takeoverDelay {
		return Change{}, false
	}
	next := row.progress
	next.State = Complete
	return Change{Progress: next, Version: row.version, Evidence: evidence}, true
}

// moves tells whether the release takes everything now; a doubtful one does not.
func (c *Cutovers) mayTakeAll(row *cutover, evidence float64, elapsed time.Duration) bool {
	if evidence >= c.settings.DoubtEvidence || row.progress.inTrial(elapsed) {
		return false
	}
	if row.takesAll {
		return true
	}
	sent, exposed := c.statistics.sendTotals(row.progress)
	return c.settings.Exposure.fits(sent, exposed, elapsed, row.progress.Duration)
}

// Status is a cutover as peers and the state dump see it.
type Status struct {
	Progress Progress
	Version  float64
	Ordered  bool
	Stopped  bool
	Evidence float64
	Counts   map[Key]Counts `json:"-"`
}

// Rows returns every cutover with this host's counts of those under way.
func (c *Cutovers) Rows() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := make([]Status, 0, len(c.rows))
	for service, row := range c.rows {
		status := Status{Progress: row.progress, Version: row.version, Ordered: row.ordered, Stopped: row.stopped}
		if row.progress.State == Running {
			status.Counts = c.statistics.ownCounts(service)
			status.Evidence = c.statistics.evidence(row.progress, c.settings.Test)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Running tells whether any cutover is under way or about to begin.
func (c *Cutovers) Running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range c.rows {
		if row.ordered && (row.progress.State == Running || row.progress.State == "") {
			return true
		}
	}
	return false
}

// SetPeerCounts takes over what a peer counted so far.
func (c *Cutovers) SetPeerCounts(peer lavid.HostID, counts map[Key]Counts) {
	c.statistics.setPeerCounts(peer, counts)
}
