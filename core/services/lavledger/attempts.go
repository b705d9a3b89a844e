package lavledger

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Phase is where an attempt stands in this process.
type Phase int

// The phases of an attempt; Ended, Abandoned and Barred are final.
const (
	// PhaseUnknown says that this process has not seen the attempt or has forgotten it.
	PhaseUnknown Phase = iota
	// PhaseClaiming says that the attempt is admitted and may still be dispatched.
	PhaseClaiming
	// PhaseDispatched says that the backend server was given the work.
	PhaseDispatched
	// PhaseEnded says that the backend server's answer is here or will not come.
	PhaseEnded
	// PhaseAbandoned says that the attempt was given up before dispatch and never is dispatched.
	PhaseAbandoned
	// PhaseBarred says that the attempt is refused from now on, but may have been dispatched before this process can tell.
	PhaseBarred
)

// Attempts are the attempts of this process by phase; they decide whether an attempt may still be dispatched.
type Attempts struct {
	mu   sync.Mutex
	rows map[lavid.AttemptID]attemptPhase
}

type attemptPhase struct {
	phase   Phase
	changed time.Time
}

func (h attemptPhase) final() bool {
	return h.phase != PhaseClaiming && h.phase != PhaseDispatched
}

// NewAttempts returns holdings without attempts.
func NewAttempts() *Attempts {
	return &Attempts{rows: make(map[lavid.AttemptID]attemptPhase)}
}

// Open begins an attempt that is not known yet and returns whether it did.
func (a *Attempts) Open(attempt lavid.AttemptID, now time.Time) bool {
	return a.move(attempt, PhaseUnknown, PhaseClaiming, now)
}

// Commit allows the dispatch of an attempt at most once, and never at or after its deadline.
func (a *Attempts) Commit(attempt lavid.AttemptID, deadline, now time.Time) bool {
	if !now.Before(deadline) {
		a.Abandon(attempt, now)
		return false
	}
	return a.move(attempt, PhaseClaiming, PhaseDispatched, now)
}

// Revoke turns a dispatch into an abandoned attempt when the backend server was given no byte of it.
func (a *Attempts) Revoke(attempt lavid.AttemptID, now time.Time) bool {
	return a.move(attempt, PhaseDispatched, PhaseAbandoned, now)
}

// End records that a dispatched attempt has ended.
func (a *Attempts) End(attempt lavid.AttemptID, now time.Time) {
	a.move(attempt, PhaseDispatched, PhaseEnded, now)
}

// Abandon gives an attempt up for good unless it was dispatched, and returns its phase.
func (a *Attempts) Abandon(attempt lavid.AttemptID, now time.Time) Phase {
	a.move(attempt, PhaseClaiming, PhaseAbandoned, now)
	return a.Phase(attempt)
}

// Seal abandons an attempt, or bars one that this process does not know, and returns its phase.
//
// A barred attempt may have been dispatched by a predecessor at the same
// address, or so long ago that it is forgotten; only the ledger row tells.
func (a *Attempts) Seal(attempt lavid.AttemptID, now time.Time) Phase {
	a.move(attempt, PhaseUnknown, PhaseBarred, now)
	return a.Abandon(attempt, now)
}

// Phase returns where an attempt stands.
func (a *Attempts) Phase(attempt lavid.AttemptID) Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.rows[attempt].phase
}

// Expire forgets final attempts that are older than keep; an asker is then told that they are unknown.
func (a *Attempts) Expire(keep time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for attempt, row := range a.rows {
		if row.final() && now.Sub(row.changed) > keep {
			delete(a.rows, attempt)
		}
	}
}

// Forget drops a final attempt before its time, as of work that may be repeated.
func (a *Attempts) Forget(attempt lavid.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rows[attempt].final() {
		delete(a.rows, attempt)
	}
}

// Len returns the number of attempts that are remembered.
func (a *Attempts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.rows)
}

func (a *Attempts) move(attempt lavid.AttemptID, from, to Phase, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.rows[attempt].phase != from {
		return false
	}
	a.rows[attempt] = attemptPhase{phase: to, changed: now}
	return true
}
