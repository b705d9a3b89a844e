package lavcutover

import (
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
)

// The ranks of states: a cutover never goes back to a lower one.
const (
	rankOrdered = iota
	rankRunning
	rankComplete
	// rankStopped is the highest, as a stopped release is not to serve again whatever the store holds.
	rankStopped
)

// rank returns how far a cutover in the state has got.
func (s State) rank() int {
	switch s {
	case Complete:
		return rankComplete
	case Stopped:
		return rankStopped
	case Running:
		return rankRunning
	default:
		return rankOrdered
	}
}

// Supersedes reports whether the status is to be used instead of another one of its service. The store may have come back from a copy
// that holds an earlier state of the cutover, so that the state counts before the revision if the eras differ.
func (s Status) Supersedes(other Status) bool {
	if s.Progress.To == other.Progress.To && s.Era != other.Era && s.Progress.State.rank() != other.Progress.State.rank() {
		return s.Progress.State.rank() > other.Progress.State.rank()
	}
	return other.Before(s.Revision)
}

// mayBeCopy reports whether a row and the known one may be of different copies of the store.
func (r *cutover) mayBeCopy(progress Progress, revision lavrevision.Revision) bool {
	begun := r.progress.State != "" || r.progress.To != "" && r.progress.To == progress.To
	return begun && (r.restore || revision.Era != r.revision.Era)
}

// applyAfterReturn applies a row that may be a copy of an earlier state, and reports whether that changed the cutover. What this host
// knows then stays in force, and replaces the row.
func (r *cutover) applyAfterReturn(progress Progress, revision lavrevision.Revision, now time.Time) bool {
	isLater := r.revision.Before(revision)
	if progress.To != r.progress.To {
		if !isLater {
			return false
		}
		r.revision = revision
		if r.ordered {
			r.awaitRestore(now)
			return false
		}
		progress.Past = progress.Past.Union(r.past(progress.To))
		*r = cutover{progress: progress, revision: revision, writtenAt: revision, dueSince: now, learnedAt: now}
		return true
	}
	known, stored := r.progress.State.rank(), progress.State.rank()
	if isLater {
		r.revision = revision
		r.restore = r.restore && stored < known
	}
	if isLater && stored >= known {
		r.writtenAt = revision
	}
	switch {
	case isLater && stored < known:
		r.awaitRestore(now)
		return false
	case stored > known || isLater && progress != r.progress:
		r.progress, r.writtenAt, r.dueSince, r.restore = progress, revision, now, !isLater
		return true
	default:
		return false
	}
}

// awaitRestore makes the progress due to be written again.
func (r *cutover) awaitRestore(now time.Time) {
	if !r.restore {
		r.restore, r.dueSince = true, now
	}
}

// restored returns the row that has to be written again, once it is this host's turn.
func (r *cutover) restored(rank Rank, now time.Time) (Change, bool) {
	if !r.isTurn(rank, now) {
		return Change{}, false
	}
	return Change{Progress: r.progress, Revision: r.revision}, true
}

// StoreReturned records that the store is in a later era, as it came back from a copy, or as this host has just started.
func (c *Cutovers) StoreReturned(era lavrevision.Era, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.era {
		c.era, c.eraSince = era, now
	}
}

// mayLackRows reports whether the store may lack rows of this era that other hosts know and have not told yet.
func (c *Cutovers) mayLackRows(now time.Time) bool {
	return c.era > 0 && now.Sub(c.eraSince) < settleTime
}

// RowsUnknown reports whether this host is to read the rows, as those of the store's era are not known: the hosts read in the order of
// their ranks for a cutover, and tell each other.
func (c *Cutovers) RowsUnknown(rank Rank, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, row := range c.rows {
		if row.progress.To != "" && row.revision.Era < c.era && now.Sub(c.eraSince) >= time.Duration(rank(service))*takeoverDelay {
			return true
		}
	}
	return false
}

// ConfirmRows records that the store, read at a revision, holds no rows but those of the given services. The others are written again
// if they were written in an earlier era.
func (c *Cutovers) ConfirmRows(stored map[lavid.ServiceID]bool, read lavrevision.Revision, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, row := range c.rows {
		if stored[service] || row.revision.Era >= read.Era {
			continue
		}
		row.revision = lavrevision.Revision{Era: read.Era}
		if row.progress.State != "" {
			row.awaitRestore(now)
		}
	}
}
