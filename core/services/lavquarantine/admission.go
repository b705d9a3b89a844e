package lavquarantine

import (
	"slices"
	"time"
)

// Admission is the decision on a prompt.
type Admission struct {
	// Refused states that the prompt is kept from servers because of Part, at which Endings servers have ended.
	Refused bool
	Part    Key
	Endings int
	// ReturnAfter is the time after which the caller of a refused prompt may come back.
	ReturnAfter time.Duration
	// Trial states that the prompt may be sent once, although servers ended with a part of it.
	Trial bool
}

// Rank returns the place of this host in the order in which hosts try a part again, zero for the first.
type Rank func(part Key) int

// Admit decides whether a prompt with the given parts may be sent. A part that is kept from servers is tried again after a
// pause by the host that is first in order, and after one more pause by each next one, as a trial may not reach the first.
// Where a part that the prompt does not have explains the same endings, a trial tells which of both it is, and is not delayed.
func (t *Table) Admit(parts []Key, rank Rank, now time.Time) Admission {
	if !t.Suspects() {
		return Admission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var decision Admission
	var held []Key
	for _, part := range parts {
		found := t.current(part, now)
		if !t.isQuarantined(part, found, now) {
			continue
		}
		held = append(held, part)
		pause := found.trialPause()
		due := found.lastEnding().Add(pause * time.Duration(1+rank(part)))
		if t.isAmbiguous(parts, found, now) {
			pause = ambiguousTrialPause
			due = found.lastEnding().Add(pause * time.Duration(rank(part)))
		}
		if now.Before(due) || now.Before(found.trialAt.Add(pause)) {
			decision.refuse(part, found, pause, now)
		}
	}
	if decision.Refused || len(held) == 0 {
		return decision
	}
	for _, part := range held {
		found := t.current(part, now)
		found.trialAt = now
		t.put(part, found)
	}
	return Admission{Trial: true}
}

// Refusal returns the refusal of a prompt with the given parts, without a trial. It is the zero Admission if no part is kept
// from servers.
func (t *Table) Refusal(parts []Key, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	var decision Admission
	for _, part := range parts {
		if found := t.current(part, now); t.isQuarantined(part, found, now) {
			decision.refuse(part, found, found.trialPause(), now)
		}
	}
	return decision
}

// refuse refuses a prompt because of a part with the given record, which is tried again after a pause. The part with the most
// endings is named.
func (a *Admission) refuse(part Key, of record, pause time.Duration, now time.Time) {
	if len(of.endings) >= a.Endings {
		a.Part, a.Endings = part, len(of.endings)
	}
	a.Refused = true
	a.ReturnAfter = max(a.ReturnAfter, of.lastEnding().Add(pause).Sub(now), minReturnAfter)
}

// isAmbiguous reports whether a part outside of a prompt was present at all endings of one in it; the caller holds the lock.
func (t *Table) isAmbiguous(parts []Key, of record, now time.Time) bool {
	for other := range t.suspects {
		if slices.Contains(parts, other) {
			continue
		}
		found := t.current(other, now)
		if len(found.endings) > 0 && found.containsInstances(of) && t.isQuarantined(other, found, now) {
			return true
		}
	}
	return false
}
