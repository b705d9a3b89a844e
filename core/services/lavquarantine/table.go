package lavquarantine

import (
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavserver"
)

const (
	// maxRecords bounds the parts and requests on record; the one that was used least recently is removed first. maxInstances
	// bounds the servers that are known to be alive, and maxEndings the endings of a record.
	maxRecords   = 8192
	maxInstances = 1024
	maxEndings   = 8
	// endingLifetime is how long an ending counts, and requestLifetime how long several endings count against a whole request,
	// which is longer as no other request is refused because of them.
	endingLifetime  = 10 * time.Minute
	requestLifetime = time.Hour
	// begunWeight is what an ending adds to the score if the server had just begun to answer, and the others are what it adds to
	// a whole request or a part of a prompt that waited, or of whose answer something had been delivered. A server that ends
	// takes all requests with it.
	begunWeight         = 1.0
	besideRequestWeight = 0.7
	besidePartWeight    = 0.5
	// unansweredScore is the score from which parts and requests are kept from servers, and the others are those for one that
	// was answered within answerMemory before its first ending. The score begins anew with each answer.
	unansweredScore      = 2.0
	answeredRequestScore = 3.0
	answeredPartScore    = 5.0
	answerMemory         = time.Minute
	// sufficientEndings is the number of endings, not simultaneous, from which parts and requests are kept from servers whatever the
	// endings weigh.
	sufficientEndings = 5
	// continuedFactor applies to the weight of endings of a part that was answered lately, if an answer has gone on for a while since.
	continuedFactor = 0.5
	// simultaneous is the time within which several endings count as one, such as those of a rack that loses power, and
	// spreadTime that within which all hosts learn of an ending.
	simultaneous = 100 * time.Millisecond
	spreadTime   = 3 * time.Second
	// firstTrialPause is how long after the latest ending a part or request is first tried again. Each trial with which a
	// server ended multiplies the pause by trialPauseFactor, up to maxTrialPause for parts. A whole request is tried
	// maxRequestTrials times, and then again after requestLifetime.
	firstTrialPause  = 5 * time.Second
	trialPauseFactor = 3
	maxTrialPause    = 5 * time.Minute
	maxRequestTrials = 2
	// ambiguousTrialPause is the time between trials, by one host after the other, while another part or request explains the
	// same endings.
	ambiguousTrialPause = time.Second
	// minReturnAfter is the shortest time after which a caller is asked to come back.
	minReturnAfter = time.Second
	// dropTime is how long after a send was dropped a server that ends may have ended with its request, and maxDrops the number
	// of such sends on record.
	dropTime = time.Second
	maxDrops = 256
)

// Table holds which servers ended with which parts of prompts and which requests. It is safe for concurrent use.
type Table struct {
	// suspectCount is the number of suspects, so that most requests are admitted without a look at their keys.
	suspectCount atomic.Int64

	mu      sync.Mutex
	records *lru.Cache[Key, record]
	// suspects are the keys on record that have endings, and cleared those whose endings were removed lately.
	suspects map[Key]struct{}
	cleared  map[Key]struct{}
	// byInstance holds the keys on record that have an ending of an instance, and incomplete those of which endings were left out.
	byInstance map[lavserver.InstanceKey]map[Key]struct{}
	incomplete map[Key]struct{}
	// alive holds when each instance was last known to be alive.
	alive *lru.Cache[lavserver.InstanceKey, proof]
	// drops holds the latest dropped sends.
	drops []drop
	// removed counts the endings that were removed from records.
	removed Removals
}

// Removals counts endings that were removed from the records of parts and requests since the start of the host.
type Removals struct {
	// Answered endings were followed by an answer to the same part or request.
	Answered uint64
	// Refuted endings were of servers that turned out to be alive.
	Refuted uint64
}

// Removals returns how many endings were removed.
func (t *Table) Removals() Removals {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.removed
}

// proof shows that an instance had not ended at a time.
type proof struct {
	at time.Time
	// refutedAt is when it last removed endings of the instance.
	refutedAt time.Time
}

// drop is a send that this host gave up before the server had survived it.
type drop struct {
	Send
	at time.Time
}

// Send is a request at a backend server.
type Send struct {
	Keys
	Instance lavserver.InstanceKey
	// Begun states that the server had begun to answer it and had not delivered anything yet.
	Begun bool
	// Repeat states that it was sent after another server had ended with it.
	Repeat bool
}

// ending returns the end of the server while the request was in work there.
func (s Send) ending(at time.Time) Ending {
	return Ending{Instance: s.Instance, At: at, Begun: s.Begun, Repeat: s.Repeat}
}

// New returns an empty table.
func New() *Table {
	t := &Table{
		suspects: make(map[Key]struct{}), cleared: make(map[Key]struct{}),
		byInstance: make(map[lavserver.InstanceKey]map[Key]struct{}), incomplete: make(map[Key]struct{}),
	}
	records, err := lru.NewWithEvict(maxRecords, func(key Key, removed record) {
		t.index(key, removed, record{})
		delete(t.suspects, key)
		delete(t.cleared, key)
	})
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	alive, err := lru.New[lavserver.InstanceKey, proof](maxInstances)
	if err != nil {
		panic(err)
	}
	t.records, t.alive = records, alive
	return t
}

// put stores the record of a key; the caller holds the lock.
func (t *Table) put(key Key, changed record) {
	before, _ := t.records.Peek(key)
	t.index(key, before, changed)
	t.records.Add(key, changed)
	if len(changed.endings) > 0 {
		t.suspects[key] = struct{}{}
	} else {
		delete(t.suspects, key)
	}
	t.suspectCount.Store(int64(len(t.suspects)))
}

// index changes the sets by which records that cover others are found; the caller holds the lock.
func (t *Table) index(key Key, before, changed record) {
	for _, ending := range before.endings {
		if keys := t.byInstance[ending.Instance]; !changed.hasInstance(ending.Instance) {
			delete(keys, key)
			if len(keys) == 0 {
				delete(t.byInstance, ending.Instance)
			}
		}
	}
	for _, ending := range changed.endings {
		if t.byInstance[ending.Instance] == nil {
			t.byInstance[ending.Instance] = make(map[Key]struct{})
		}
		t.byInstance[ending.Instance][key] = struct{}{}
	}
	if len(changed.endings) > 0 && !changed.leftOutFrom.IsZero() {
		t.incomplete[key] = struct{}{}
	} else {
		delete(t.incomplete, key)
	}
}

// isCovered reports whether one of the keys that are not in a request was present at all endings of a record and meets a condition; the
// caller holds the lock.
func (t *Table) isCovered(of record, excluded Keys, now time.Time, meets func(other Key, found record) bool) bool {
	for _, others := range []map[Key]struct{}{t.byInstance[of.latest().Instance], t.incomplete} {
		for other := range others {
			if excluded.contains(other) {
				continue
			}
			if found := t.current(other, now); len(found.endings) > 0 && found.covers(of) && meets(other, found) {
				return true
			}
		}
	}
	return false
}

// current returns the record of a key without endings that are too old; the caller holds the lock.
func (t *Table) current(key Key, now time.Time) record {
	found, _ := t.records.Peek(key)
	return found.withoutExpired(now)
}

// RecordEnding records that a server ended while it had a request in work. The requests that were dropped there shortly before
// are recorded too.
func (t *Table) RecordEnding(send Send, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(send, now, now)
	t.endDropped(send.Instance, now, now)
}

// RecordEnded records that a server ended, of which this host had no request in work. The requests that were dropped there
// shortly before are recorded as in work.
func (t *Table) RecordEnded(instance lavserver.InstanceKey, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endDropped(instance, now, now)
}

// end stores the end of the server of a request at a time; the caller holds the lock.
func (t *Table) end(send Send, endedAt, now time.Time) {
	ending := send.ending(endedAt)
	send.each(func(key Key, whole bool) {
		changed := t.current(key, now)
		changed.whole = whole
		changed = changed.withEnding(ending)
		t.put(key, changed)
	})
}

// RecordAlive records that an instance was alive at a time, since it answered a request that was sent later, or has sent
// something since. What looked like its end before was a broken connection.
func (t *Table) RecordAlive(instance lavserver.InstanceKey, at, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refute(instance, at, now)
}

// refute removes the endings of an instance before a time; the caller holds the lock.
func (t *Table) refute(instance lavserver.InstanceKey, before, now time.Time) {
	known, _ := t.alive.Get(instance)
	if !before.After(known.at) {
		return
	}
	known.at = before
	for key := range t.byInstance[instance] {
		found := t.current(key, now)
		if kept := without(found.endings, instance, before); len(kept) < len(found.endings) {
			t.removed.Refuted += uint64(len(found.endings) - len(kept))
			found.endings, known.refutedAt = kept, now
			t.put(key, found)
		}
	}
	t.alive.Add(instance, known)
}

// RecordDropped records that this host gave up a send. Its server may still work on it for a moment, and end.
func (t *Table) RecordDropped(send Send, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drops = append(t.drops[max(0, len(t.drops)+1-maxDrops):], drop{Send: send, at: now})
}

// endDropped records the requests that were dropped at a server that ended at a time; the caller holds the lock.
func (t *Table) endDropped(instance lavserver.InstanceKey, endedAt, now time.Time) {
	var remaining []drop
	for _, dropped := range t.drops {
		switch {
		case dropped.Instance == instance && endedAt.Sub(dropped.at) <= dropTime:
			t.end(dropped.Send, endedAt, now)
		case now.Sub(dropped.at) <= 2*dropTime:
			remaining = append(remaining, dropped)
		}
	}
	t.drops = remaining
}

// RecordAnswer records that a server survived an answer, which began at a time, to a request with the given keys. Earlier endings do not count
// any more. Answers to whole requests are kept only of those that are on record, as most requests come once.
func (t *Table) RecordAnswer(keys Keys, begunAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys.each(func(key Key, whole bool) {
		if !whole || t.records.Contains(key) {
			t.answer(key, t.current(key, now), begunAt, now)
		}
	})
}

// RecordContinued records that a server has gone on for a while with an answer that had begun, to a request with the given keys. It may still
// end, but ends before that speak less against parts that were answered lately.
func (t *Table) RecordContinued(keys Keys, now time.Time) {
	if !t.Suspects() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	keys.each(func(key Key, _ bool) {
		if _, suspected := t.suspects[key]; suspected {
			changed := t.current(key, now)
			changed.continuedAt = now
			t.put(key, changed)
		}
	})
}

// answer stores that a part or request was answered at a time; the caller holds the lock.
func (t *Table) answer(key Key, changed record, answeredAt, now time.Time) {
	if answeredAt.After(changed.answeredAt) {
		changed.answeredAt = answeredAt
	}
	if remaining := after(changed.endings, changed.answeredAt); len(remaining) < len(changed.endings) {
		t.removed.Answered += uint64(len(changed.endings) - len(remaining))
		changed.endings, changed.clearedAt = remaining, now
		t.cleared[key] = struct{}{}
	}
	t.put(key, changed)
}

// isQuarantined reports whether a part or request with the given record is kept from servers; the caller holds the lock.
func (t *Table) isQuarantined(key Key, of record, now time.Time) bool {
	return of.isSuspected() && !t.isExplained(key, of, Keys{}, now)
}

// isExplained reports whether another part or request, which is none of the excluded ones, explains all endings of this one: it
// was there each time, and at further ones, or rather at the beginning of its answers. The caller holds the lock.
func (t *Table) isExplained(key Key, of record, excluded Keys, now time.Time) bool {
	score := of.score()
	return t.isCovered(of, excluded, now, func(other Key, found record) bool {
		return other != key && len(found.endings) >= len(of.endings) && found.isSuspected() && (len(found.endings) > len(of.endings) || found.score() > score)
	})
}

// Suspects reports whether any part or request is under suspicion.
func (t *Table) Suspects() bool { return t.suspectCount.Load() > 0 }

// Quarantined reports whether requests with the given keys are kept from servers now.
func (t *Table) Quarantined(keys Keys, now time.Time) bool {
	if !t.Suspects() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	keys.each(func(key Key, _ bool) {
		found = found || t.isQuarantined(key, t.current(key, now), now)
	})
	return found
}

// MustCancel reports whether requests with the given keys that are in work at servers are to be cancelled: they are kept from
// servers, and no key that they do not have explains the same endings. Otherwise they serve as trials.
func (t *Table) MustCancel(keys Keys, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	cancel := false
	keys.each(func(key Key, _ bool) {
		found := t.current(key, now)
		cancel = cancel || t.isQuarantined(key, found, now) && !t.isAmbiguous(keys, found, now)
	})
	return cancel
}

// Counts returns the numbers of parts of prompts and of whole requests that are kept from servers.
func (t *Table) Counts(now time.Time) (parts, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key := range t.suspects {
		switch found := t.current(key, now); {
		case !t.isQuarantined(key, found, now):
		case found.whole:
			requests++
		default:
			parts++
		}
	}
	return parts, requests
}
