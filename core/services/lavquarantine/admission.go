package lavquarantine

import "time"

// Admission is the decision on a prompt.
type Admission struct {
	// Refused states that the prompt is kept from servers because of Part, at which Endings servers have ended.
	Refused bool
	Part    PartKey
	Endings int
	// ReturnAfter is the time after which the caller of a refused prompt may come back.
	ReturnAfter time.Duration
	// Trial states that the prompt may be sent once, although servers ended with a part of it.
	Trial bool
}

// Rank returns the place of this host in the order in which hosts try a part again, zero for the first.
type Rank func(part PartKey) int

// Admit decides whether a prompt with the given parts may be sent. A part that is kept from servers is tried again after a
// pause by the host that is first in order, and after one more pause by each next one, as a trial may not reach the first.
func (t *Table) Admit(parts []PartKey, rank Rank, now time.Time) Admission {
	if !t.Suspects() {
		return Admission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var decision Admission
	var held []PartKey
	for _, part := range parts {
		found := t.current(part, now)
		if !t.isQuarantined(part, found, now) {
			continue
		}
		held = append(held, part)
		pause := found.trialPause()
		if now.Before(found.lastEnding().Add(pause*time.Duration(1+rank(part)))) || now.Before(found.trialAt.Add(pause)) {
			decision.Refused, decision.Part, decision.Endings = true, part, len(found.endings)
			returnAfter := max(found.lastEnding().Add(pause).Sub(now), minReturnAfter)
			decision.ReturnAfter = max(decision.ReturnAfter, returnAfter)
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
