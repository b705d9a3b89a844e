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

// Holdings are the attempts of this process by phase; they decide whether an attempt may still be dispatched.
type Holdings struct {
	mu   sync.Mutex
	rows map[lavid.AttemptID]holding
}

type holding struct {
	phase   Phase
	changed time.Time
}

func (h holding) final() bool {
	return h.phase != PhaseClaiming && h.phase != PhaseDispatched
}

// NewHoldings returns holdings without attempts.
func NewHoldings() *Holdings {
	return &Holdings{rows: make(map[lavid.AttemptID]holding)}
}

// Open begins an attempt that is not known yet and returns whether it did.
func (h *Holdings) Open(attempt lavid.AttemptID, now time.Time) bool {
	return h.move(attempt, PhaseUnknown, PhaseClaiming, now)
}

// Commit allows the dispatch of an attempt at most once, and never at or after its deadline.
func (h *Holdings) Commit(attempt lavid.AttemptID, deadline, now time.Time) bool {
	if !now.Before(deadline) {
		h.Abandon(attempt, now)
		return false
	}
	return h.move(attempt, PhaseClaiming, PhaseDispatched, now)
}

// Revoke turns a dispatch into an abandoned attempt when the backend server was given no byte of it.
func (h *Holdings) Revoke(attempt lavid.AttemptID, now time.Time) bool {
	return h.move(attempt, PhaseDispatched, PhaseAbandoned, now)
}

// End records that a dispatched attempt has ended.
func (h *Holdings) End(attempt lavid.AttemptID, now time.Time) {
	h.move(attempt, PhaseDispatched, PhaseEnded, now)
}

// Abandon gives an attempt up for good unless it was dispatched, and returns its phase.
func (h *Holdings) Abandon(attempt lavid.AttemptID, now time.Time) Phase {
	h.move(attempt, PhaseClaiming, PhaseAbandoned, now)
	return h.Phase(attempt)
}

// Seal abandons an attempt, or bars one that this process does not know, and returns its phase.
//
// A barred attempt may have been dispatched by a predecessor at the same
// address, or so long ago that it is forgotten; only the ledger row tells.
func (h *Holdings) Seal(attempt lavid.AttemptID, now time.Time) Phase {
	h.move(attempt, PhaseUnknown, PhaseBarred, now)
	return h.Abandon(attempt, now)
}

// Phase returns where an attempt stands.
func (h *Holdings) Phase(attempt lavid.AttemptID) Phase {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rows[attempt].phase
}

// Expire forgets final attempts that are older than keep; an asker is then told that they are unknown.
func (h *Holdings) Expire(keep time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for attempt, row := range h.rows {
		if row.final() && now.Sub(row.changed) > keep {
			delete(h.rows, attempt)
		}
	}
}

// Forget drops a final attempt before its time, as of work that may be repeated.
func (h *Holdings) Forget(attempt lavid.AttemptID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rows[attempt].final() {
		delete(h.rows, attempt)
	}
}

// Len returns the number of attempts that are remembered.
func (h *Holdings) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.rows)
}

func (h *Holdings) move(attempt lavid.AttemptID, from, to Phase, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.rows[attempt].phase != from {
		return false
	}
	h.rows[attempt] = holding{phase: to, changed: now}
	return true
}
