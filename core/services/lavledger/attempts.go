package lavledger

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Phase is the progress of an attempt in this process.
type Phase int

// The phases of an attempt; PhaseEnded, PhaseAbandoned and PhaseBarred are final.
const (
	// PhaseUnknown means that this process has no record of the attempt, or has deleted it.
	PhaseUnknown Phase = iota
	// PhaseClaiming means that the attempt is admitted and may still be dispatched.
	PhaseClaiming
	// PhaseDispatched means that the attempt was sent, or is being sent, to the backend server.
	PhaseDispatched
	// PhaseEnded means that the backend server's answer has arrived or will not arrive.
	PhaseEnded
	// PhaseAbandoned means that the attempt ended before dispatch and can no longer be dispatched.
	PhaseAbandoned
	// PhaseBarred means that this process refuses an attempt of which it has no record; the attempt may have been
	// dispatched before.
	PhaseBarred
)

// Attempts records the phase of each attempt of this process and decides which may be dispatched; it is safe for
// concurrent use.
type Attempts struct {
	mu     sync.Mutex
	phases map[lavid.AttemptID]attemptPhase
}

type attemptPhase struct {
	phase   Phase
	changed time.Time
}

// final reports whether the attempt is neither claiming nor dispatched; it is true for the zero value.
func (p attemptPhase) final() bool {
	return p.phase != PhaseClaiming && p.phase != PhaseDispatched
}

// NewAttempts returns a record without attempts.
func NewAttempts() *Attempts {
	return &Attempts{phases: make(map[lavid.AttemptID]attemptPhase)}
}

// Open starts an attempt and reports whether it did; an attempt that is already recorded is not started again.
func (a *Attempts) Open(attempt lavid.AttemptID, now time.Time) bool {
	return a.move(attempt, PhaseUnknown, PhaseClaiming, now)
}

// Commit marks a claiming attempt as dispatched and reports whether it did, which is at most once for each attempt and
// only before its deadline. At or after the deadline it abandons the attempt.
func (a *Attempts) Commit(attempt lavid.AttemptID, deadline, now time.Time) bool {
	if !now.Before(deadline) {
		a.Abandon(attempt, now)
		return false
	}
	return a.move(attempt, PhaseClaiming, PhaseDispatched, now)
}

// Revoke abandons a dispatched attempt of which no byte was sent to the backend server, and reports whether it did.
func (a *Attempts) Revoke(attempt lavid.AttemptID, now time.Time) bool {
	return a.move(attempt, PhaseDispatched, PhaseAbandoned, now)
}

// End records that a dispatched attempt has ended.
func (a *Attempts) End(attempt lavid.AttemptID, now time.Time) {
	a.move(attempt, PhaseDispatched, PhaseEnded, now)
}

// Abandon abandons an attempt that is admitted and not dispatched yet, and returns the attempt's phase.
func (a *Attempts) Abandon(attempt lavid.AttemptID, now time.Time) Phase {
	a.move(attempt, PhaseClaiming, PhaseAbandoned, now)
	return a.Phase(attempt)
}

// Seal abandons an attempt, or bars one that has no record here, and returns its phase.
//
// A barred attempt may have been dispatched by an earlier process at the same address, or by this one before its record
// expired; only the ledger row records which is true.
func (a *Attempts) Seal(attempt lavid.AttemptID, now time.Time) Phase {
	a.move(attempt, PhaseUnknown, PhaseBarred, now)
	return a.Abandon(attempt, now)
}

// Phase returns the phase of an attempt; it is PhaseUnknown for one without a record.
func (a *Attempts) Phase(attempt lavid.AttemptID) Phase {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.phases[attempt].phase
}

// Expire deletes attempts that reached a final phase longer than keep ago; Phase then returns PhaseUnknown for them.
func (a *Attempts) Expire(keep time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for attempt, recorded := range a.phases {
		if recorded.final() && now.Sub(recorded.changed) > keep {
			delete(a.phases, attempt)
		}
	}
}

// Forget deletes an attempt in a final phase at once; callers use it for work that is idempotent, whose repeat needs no
// record.
func (a *Attempts) Forget(attempt lavid.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phases[attempt].final() {
		delete(a.phases, attempt)
	}
}

// Len returns the number of recorded attempts.
func (a *Attempts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.phases)
}

// move changes the phase of an attempt if it is from, and reports whether it did.
func (a *Attempts) move(attempt lavid.AttemptID, from, to Phase, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phases[attempt].phase != from {
		return false
	}
	a.phases[attempt] = attemptPhase{phase: to, changed: now}
	return true
}
