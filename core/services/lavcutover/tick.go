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
	quietTime = 600 * time.Millisecond
	// takeover separates the hosts that write a change when the one before them did not.
	takeover = 500 * time.Millisecond
)

// Place is this host's turn among the hosts for a service, zero for the first.
type Place func(service lavid.ServiceID) int

// Busy tells whether servers of other releases of a service still work on requests.
type Busy func(service lavid.ServiceID, except lavid.ReleaseID) bool

// Tick returns the changes that this host should write now.
//
// A stop is written by whoever sees the evidence; everything else by the hosts
// in their turn.
func (c *Cutovers) Tick(place Place, busy Busy, now time.Time) []Change {
	c.tally.countWaiting(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	var changes []Change
	for _, row := range c.rows {
		if change, ok := c.step(row, place, busy, now); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

func (c *Cutovers) step(row *cutover, place Place, busy Busy, now time.Time) (Change, bool) {
	if !row.ordered || !c.known {
		return Change{}, false
	}
	switch row.progress.State {
	case "":
		return c.begin(row, place, now)
	case Running:
		return c.judge(row, place, busy, now)
	default:
		return Change{}, false
	}
}

// begin writes the first row of a cutover.
func (c *Cutovers) begin(row *cutover, place Place, now time.Time) (Change, bool) {
	if now.Sub(row.due) < time.Duration(place(row.progress.Service))*takeover {
		return Change{}, false
	}
	next := row.progress
	next.State = Running
	next.Began = c.storeTime(now)
	return Change{Progress: next, Version: row.version}, true
}

// judge stops a release that answers worse, and completes one that has taken over.
func (c *Cutovers) judge(row *cutover, place Place, busy Busy, now time.Time) (Change, bool) {
	evidence := c.tally.evidence(row.progress, c.settings.Test)
	elapsed := c.storeTime(now) - row.progress.Began
	// A release that is still doubtful when its time is over cannot complete, and would go on answering its sessions.
	overdue := row.progress.due(elapsed) && evidence >= c.settings.DoubtAt
	if row.stopped || evidence >= c.settings.StopAt || overdue {
		row.stopped = true
		next := row.progress
		next.State = Stopped
		return Change{Progress: next, Version: row.version, Evidence: evidence}, true
	}
	row.moved = c.moves(row, evidence, elapsed)
	if !row.moved {
		row.quiet = time.Time{}
		return Change{}, false
	}
	if busy(row.progress.Service, row.progress.To) {
		row.quiet = time.Time{}
	} else if row.quiet.IsZero() {
		row.quiet = now
	}
	done := !row.quiet.IsZero() && now.Sub(row.quiet) >= quietTime
	if !done && !row.progress.due(elapsed) {
		row.due = now
		return Change{}, false
	}
	if evidence > c.settings.CompleteUpTo || now.Sub(row.due) < time.Duration(place(row.progress.Service))*takeover {
		return Change{}, false
	}
	next := row.progress
	next.State = Complete
	return Change{Progress: next, Version: row.version, Evidence: evidence}, true
}

// moves tells whether the release takes everything now; a doubtful one does not.
func (c *Cutovers) moves(row *cutover, evidence float64, elapsed time.Duration) bool {
	if evidence >= c.settings.DoubtAt || row.progress.inTrial(elapsed) {
		return false
	}
	if row.moved {
		return true
	}
	sent, exposed := c.tally.sends(row.progress)
	return c.settings.Exposure.fits(sent, exposed, elapsed, row.progress.Duration)
}

// Shown is a cutover as peers and the state dump see it.
type Shown struct {
	Progress Progress
	Version  float64
	Ordered  bool
	Stopped  bool
	Evidence float64
	Counts   map[Key]Counts `json:"-"`
}

// Rows returns every cutover with this host's counts of those under way.
func (c *Cutovers) Rows() []Shown {
	c.mu.Lock()
	defer c.mu.Unlock()
	shown := make([]Shown, 0, len(c.rows))
	for service, row := range c.rows {
		entry := Shown{Progress: row.progress, Version: row.version, Ordered: row.ordered, Stopped: row.stopped}
		if row.progress.State == Running {
			entry.Counts = c.tally.ownCounts(service)
			entry.Evidence = c.tally.evidence(row.progress, c.settings.Test)
		}
		shown = append(shown, entry)
	}
	return shown
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

// HearCounts takes over what a peer counted so far.
func (c *Cutovers) HearCounts(peer lavid.HostID, counts map[Key]Counts) {
	c.tally.hear(peer, counts)
}
