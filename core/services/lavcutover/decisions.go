package lavcutover

import (
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
)

// Change is a row to write if the stored row still has the given row version.
type Change struct {
	Progress Progress
	// Revision is that of the row to replace; its version is zero if there must be no row.
	Revision lavrevision.Revision
	// Evidence is the evidence against the release, for the log.
	Evidence float64
}

const (
	// idleTime is how long the old servers have to be without work before a cutover completes ahead of its end.
	idleTime = 600 * time.Millisecond
	// takeoverDelay is the delay per rank after which a host writes a change that hosts of lower rank did not write.
	takeoverDelay = 500 * time.Millisecond
)

// Rank returns this host's rank among the hosts for a service; the host of rank zero writes first.
type Rank func(service lavid.ServiceID) int

// Busy reports whether servers of other releases of a service have work in progress.
type Busy func(service lavid.ServiceID, except lavid.ReleaseID) bool

// Tick returns the changes that this host should write now.
//
// Every host that finds enough evidence writes a stop. All other changes are written by the host of the lowest
// rank, and by the next ones after a delay if it did not write.
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

// step returns the change of one cutover that is due, if any.
func (c *Cutovers) step(row *cutover, rank Rank, busy Busy, now time.Time) (Change, bool) {
	if !c.rowsRead {
		return Change{}, false
	}
	if row.restore {
		return row.restored(rank, now)
	}
	if !row.ordered {
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

// isTurn reports whether this host is to write the change that is due: the hosts write in the order of their ranks.
func (r *cutover) isTurn(rank Rank, now time.Time) bool {
	return now.Sub(r.dueSince) >= time.Duration(rank(r.progress.Service))*takeoverDelay
}

// begin returns the first row of a cutover.
func (c *Cutovers) begin(row *cutover, rank Rank, now time.Time) (Change, bool) {
	if !row.isTurn(rank, now) || c.mayLackRows(now) {
		return Change{}, false
	}
	next := row.progress
	next.State = Running
	next.Began = c.storeTime(now)
	return Change{Progress: next, Revision: row.revision}, true
}

// stopOrComplete stops a release with evidence against it, and completes one that has taken all traffic.
func (c *Cutovers) stopOrComplete(row *cutover, rank Rank, busy Busy, now time.Time) (Change, bool) {
	evidence := c.statistics.evidence(row.progress, c.settings.Test)
	elapsed := c.storeTime(now) - row.progress.Began
	// A release with such evidence at the end cannot complete. It is stopped, as it would otherwise go on serving its
	// sessions.
	overdue := row.progress.mustComplete(elapsed) && evidence >= c.settings.DoubtEvidence
	if row.stopped || evidence >= c.settings.StopEvidence || overdue {
		row.stopped = true
		next := row.progress
		next.State = Stopped
		return Change{Progress: next, Revision: row.revision, Evidence: evidence}, true
	}
	row.takesAll = c.mayTakeAll(row, evidence, elapsed, now)
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
	if evidence > c.settings.MaxCompleteEvidence || !row.isTurn(rank, now) {
		return Change{}, false
	}
	next := row.progress
	next.State = Complete
	return Change{Progress: next, Revision: row.revision, Evidence: evidence}, true
}

// mayTakeAll reports whether the release may take all traffic: its trial is over, the evidence is below DoubtEvidence, and
// the rest of the time fits the allowed exposure. Once the release takes all traffic, only the evidence ends that.
func (c *Cutovers) mayTakeAll(row *cutover, evidence float64, elapsed time.Duration, now time.Time) bool {
	if evidence >= c.settings.DoubtEvidence || row.progress.inTrial(elapsed) {
		return false
	}
	if row.takesAll {
		return true
	}
	sent, exposed := c.statistics.sendTotals(row.progress)
	counts := exposureCounts{Sent: sent, Exposed: exposed, Counted: min(elapsed, now.Sub(row.learnedAt))}
	return c.settings.Exposure.fits(counts, c.settings.TrialShare, elapsed, row.progress.Duration)
}

// Status is the state of a cutover for peers and for the state dump, which uses the field names as keys. Evidence and
// Counts are set only while the cutover is running.
type Status struct {
	Progress Progress
	lavrevision.Revision
	Ordered  bool
	Stopped  bool
	Evidence float64
	Counts   map[Key]Counts `json:"-"`
	// Earlier holds the sessions that older releases served when the cutover began; empty once it has ended.
	Earlier SessionSet `json:"-"`
}

// Statuses returns the status of every cutover.
func (c *Cutovers) Statuses() []Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := make([]Status, 0, len(c.rows))
	for service, row := range c.rows {
		status := Status{Progress: row.progress, Revision: row.writtenAt, Ordered: row.ordered, Stopped: row.stopped}
		if row.progress.State == "" || row.progress.State == Running {
			status.Earlier = row.earlier
		}
		if row.progress.State == Running {
			status.Counts = c.statistics.ownCounts(service)
			status.Evidence = c.statistics.evidence(row.progress, c.settings.Test)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// Running reports whether a cutover is in progress or ordered.
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

// SetOtherCounts replaces the counts of all other hosts about a service.
func (c *Cutovers) SetOtherCounts(service lavid.ServiceID, counts map[Key]Counts) {
	c.statistics.setOtherCounts(service, counts)
}
