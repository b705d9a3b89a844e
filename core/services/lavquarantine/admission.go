package lavquarantine

import "time"

// Admission is the decision on a request.
type Admission struct {
	// Refused states that the request is kept from servers because of Key, at which Endings servers have ended.
	Refused bool
	Key     Key
	Endings int
	// ReturnAfter is the time after which the caller of a refused request may come back.
	ReturnAfter time.Duration
	// Trial states that the request may be sent once, although servers ended with Key.
	Trial bool
}

// Rank returns the place of this host in the order in which hosts try a key again, zero for the first.
type Rank func(key Key) int

// Admit decides whether a request with the given keys may be sent. One that is kept from servers is tried again after a pause
// by the host that is first in order, and firstTrialPause later by each next one, as a trial may not reach the first. Where a
// key that the request does not have explains the same endings, a trial tells which of both it is, and is not delayed. A part is
// rather tried with a request that has not ended servers itself.
func (t *Table) Admit(keys Keys, rank Rank, now time.Time) Admission {
	if !t.Suspects() {
		return Admission{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var decision Admission
	var held []Key
	var partsDue time.Time
	keys.each(func(key Key, whole bool) {
		found := t.current(key, now)
		if !t.isHeld(keys, key, found, now) {
			return
		}
		pause := found.trialPause()
		due := found.lastEnding().Add(pause + firstTrialPause*time.Duration(rank(key)))
		if t.isAmbiguous(keys, found, now) {
			pause = ambiguousTrialPause
			due = found.lastEnding().Add(pause * time.Duration(rank(key)))
		}
		switch {
		case !whole && due.After(partsDue):
			partsDue = due
		case whole && len(held) > 0 && due.Before(partsDue.Add(firstTrialPause)):
			due = partsDue.Add(firstTrialPause)
		}
		held = append(held, key)
		if now.Before(due) || now.Before(found.trialAt.Add(pause)) {
			decision.refuse(key, found, pause, now)
			t.recordRefusal(key, found, now)
		}
	})
	if decision.Refused || len(held) == 0 {
		return decision
	}
	for _, key := range held {
		found := t.current(key, now)
		found.trialAt = now
		t.put(key, found)
	}
	return Admission{Trial: true, Key: held[len(held)-1]}
}

// Refusal returns the refusal of a request with the given keys, without a trial. It is the zero Admission if it is not kept
// from servers.
func (t *Table) Refusal(keys Keys, now time.Time) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	var decision Admission
	keys.each(func(key Key, _ bool) {
		if found := t.current(key, now); t.isHeld(keys, key, found, now) {
			decision.refuse(key, found, found.trialPause(), now)
			t.recordRefusal(key, found, now)
		}
	})
	return decision
}

// recordRefusal stores that a whole request was refused, so that it stays on record while callers send it; the caller holds the
// lock.
func (t *Table) recordRefusal(key Key, refused record, now time.Time) {
	if refused.whole {
		refused.refusedAt = now
		t.put(key, refused)
	}
}

// refuse refuses a request because of a key with the given record, which is tried again after a pause. The key with the most
// endings is named.
func (a *Admission) refuse(key Key, of record, pause time.Duration, now time.Time) {
	if len(of.endings) >= a.Endings {
		a.Key, a.Endings = key, len(of.endings)
	}
	a.Refused = true
	a.ReturnAfter = max(a.ReturnAfter, of.lastEnding().Add(pause).Sub(now), minReturnAfter)
}

// isHeld reports whether a key is a reason to keep a request with the given keys from servers; the caller holds the lock. Of
// several keys of the request, one does not excuse another.
func (t *Table) isHeld(keys Keys, key Key, of record, now time.Time) bool {
	return of.isSuspected() && !t.isExplained(key, of, keys, now)
}

// isAmbiguous reports whether a key that a request does not have was present at all endings of one that it has; the caller
// holds the lock.
func (t *Table) isAmbiguous(keys Keys, of record, now time.Time) bool {
	return t.isCovered(of, keys, now, func(other Key, found record) bool { return t.isQuarantined(other, found, now) })
}
