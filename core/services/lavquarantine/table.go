package lavquarantine

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavserver"
)

const (
	// maxParts bounds the parts on record; the one that was used least recently is removed first. maxInstances bounds the
	// servers that are known to have ended with an answer that had begun, and maxEndings the endings of a part.
	maxParts     = 8192
	maxInstances = 1024
	maxEndings   = 8
	// lifetime is how long an ending counts.
	lifetime = 10 * time.Minute
	// begunWeight is what an ending adds to the score of a part if the server had just begun to answer, and besideWeight what it
	// adds if the prompt waited, or part of the answer had been delivered. A server that ends takes all requests with it.
	begunWeight  = 1.0
	besideWeight = 0.5
	// unansweredScore is the score from which a part is kept from servers, and answeredScore the one for a part that was
	// answered within answerMemory before its first ending. The score begins anew with each answer.
	unansweredScore = 2.0
	answeredScore   = 5.0
	answerMemory    = time.Minute
	// simultaneous is the time within which several endings count as one, such as those of a rack that loses power.
	simultaneous = 100 * time.Millisecond
	// firstTrialPause is how long after the latest ending a part is first tried again. Each further ending multiplies the
	// pause by trialPauseFactor, up to maxTrialPause.
	firstTrialPause  = 5 * time.Second
	trialPauseFactor = 3
	maxTrialPause    = 5 * time.Minute
	// ambiguousTrialPause is the time between trials of a part, by one host after the other, while another part explains its
	// endings as well.
	ambiguousTrialPause = time.Second
	// minReturnAfter is the shortest time after which a caller is asked to come back.
	minReturnAfter = time.Second
	// dropTime is how long after a send was dropped a server that ends may have ended with its prompt, and maxDrops the number
	// of such sends on record.
	dropTime = time.Second
	maxDrops = 256
	// maxEnded bounds the instances of endings; beyond it, those without endings on record are removed.
	maxEnded = 4096
)

// Table holds which servers ended with which parts of prompts. It is safe for concurrent use.
type Table struct {
	// suspectCount is the number of suspects, so that most prompts are admitted without a look at their parts.
	suspectCount atomic.Int64

	mu      sync.Mutex
	records *lru.Cache[Key, record]
	// suspects are the parts on record that have endings, and cleared those whose endings were removed lately.
	suspects map[Key]struct{}
	cleared  map[Key]struct{}
	// ended holds the instances of the endings on record, and begun those that ended with an answer that had just begun.
	ended map[lavserver.InstanceKey]struct{}
	begun *lru.Cache[lavserver.InstanceKey, struct{}]
	// alive holds when a request was sent to each instance that it answered, the latest one.
	alive *lru.Cache[lavserver.InstanceKey, proof]
	// drops holds the latest dropped sends.
	drops []drop
}

// proof shows that an instance had not ended at a time.
type proof struct {
	at time.Time
	// refutedAt is when it last removed endings of the instance.
	refutedAt time.Time
}

// drop is a send that this host gave up before the server had survived its prompt.
type drop struct {
	parts    []Key
	instance lavserver.InstanceKey
	begun    bool
	at       time.Time
}

// New returns an empty table.
func New() *Table {
	t := &Table{
		suspects: make(map[Key]struct{}), cleared: make(map[Key]struct{}), ended: make(map[lavserver.InstanceKey]struct{}),
	}
	records, err := lru.NewWithEvict(maxParts, func(part Key, _ record) {
		delete(t.suspects, part)
		delete(t.cleared, part)
	})
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	begun, err := lru.New[lavserver.InstanceKey, struct{}](maxInstances)
	if err != nil {
		panic(err)
	}
	alive, err := lru.New[lavserver.InstanceKey, proof](maxInstances)
	if err != nil {
		panic(err)
	}
	t.records, t.begun, t.alive = records, begun, alive
	return t
}

// put stores the record of a part; the caller holds the lock.
func (t *Table) put(part Key, changed record) {
	t.records.Add(part, changed)
	if len(changed.endings) > 0 {
		t.suspects[part] = struct{}{}
	} else {
		delete(t.suspects, part)
	}
	t.suspectCount.Store(int64(len(t.suspects)))
}

// current returns the record of a part without endings that are too old; the caller holds the lock.
func (t *Table) current(part Key, now time.Time) record {
	found, _ := t.records.Peek(part)
	found.endings = after(found.endings, now.Add(-lifetime))
	return found
}

// RecordEnding records that a server ended while it had a prompt with the given parts in work, or just that it ended if there
// are none. The prompts that were dropped there shortly before are recorded too.
func (t *Table) RecordEnding(parts []Key, instance lavserver.InstanceKey, begun bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(parts, Ending{Instance: instance, At: now, Begun: begun}, now)
	t.endDropped(instance, now, now)
}

// end stores an ending with the given parts; the caller holds the lock.
func (t *Table) end(parts []Key, ending Ending, now time.Time) {
	if len(parts) == 0 {
		return
	}
	t.noteEnding(ending)
	for _, part := range parts {
		changed := t.current(part, now)
		changed.endings = with(changed.endings, ending)
		t.put(part, changed)
	}
}

// noteEnding stores the instance of an ending; the caller holds the lock.
func (t *Table) noteEnding(ending Ending) {
	t.ended[ending.Instance] = struct{}{}
	if ending.Begun {
		t.begun.Add(ending.Instance, struct{}{})
	}
}

// RecordAlive records that an instance answered a request that was sent to it at a time. What looked like its end before was a
// broken connection.
func (t *Table) RecordAlive(instance lavserver.InstanceKey, sentAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refute(instance, sentAt, now)
}

// refute removes the endings of an instance before a time; the caller holds the lock.
func (t *Table) refute(instance lavserver.InstanceKey, before, now time.Time) {
	known, _ := t.alive.Get(instance)
	if !before.After(known.at) {
		return
	}
	known.at = before
	if _, ended := t.ended[instance]; ended {
		remaining := false
		for part := range t.suspects {
			found := t.current(part, now)
			if kept := without(found.endings, instance, before); len(kept) < len(found.endings) {
				found.endings, known.refutedAt = kept, now
				t.put(part, found)
			}
			remaining = remaining || found.hasInstance(instance)
		}
		if !remaining {
			delete(t.ended, instance)
			t.begun.Remove(instance)
		}
	}
	t.alive.Add(instance, known)
}

// RecordDropped records that this host gave up a send of a prompt with the given parts. Its server may still work on it for a
// moment, and end.
func (t *Table) RecordDropped(parts []Key, instance lavserver.InstanceKey, begun bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drops = append(t.drops[max(0, len(t.drops)+1-maxDrops):], drop{parts: parts, instance: instance, begun: begun, at: now})
}

// endDropped records the prompts that were dropped at a server that ended at a time; the caller holds the lock.
func (t *Table) endDropped(instance lavserver.InstanceKey, endedAt, now time.Time) {
	var remaining []drop
	for _, dropped := range t.drops {
		switch {
		case dropped.instance == instance && endedAt.Sub(dropped.at) <= dropTime:
			t.end(dropped.parts, Ending{Instance: instance, At: endedAt, Begun: dropped.begun}, now)
		case now.Sub(dropped.at) <= 2*dropTime:
			remaining = append(remaining, dropped)
		}
	}
	t.drops = remaining
}

// RecordAnswer records that a server survived an answer to a prompt with the given parts. Their endings do not count any more.
func (t *Table) RecordAnswer(parts []Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		t.answer(part, t.current(part, now), now, now)
	}
}

// answer stores that a part was answered at a time; the caller holds the lock.
func (t *Table) answer(part Key, changed record, answeredAt, now time.Time) {
	if answeredAt.After(changed.answeredAt) {
		changed.answeredAt = answeredAt
	}
	if remaining := after(changed.endings, changed.answeredAt); len(remaining) < len(changed.endings) {
		changed.endings, changed.clearedAt = remaining, now
		t.cleared[part] = struct{}{}
	}
	t.put(part, changed)
}

// score returns how much speaks against a part; the caller holds the lock. Of simultaneous endings, the one with the largest
// weight counts. An ending at which the answer to another prompt had just begun says nothing about the prompts beside it.
func (t *Table) score(of record) float64 {
	score, weight := 0.0, 0.0
	var began time.Time
	for i, ending := range of.endings {
		if i == 0 || ending.At.Sub(began) >= simultaneous {
			score, weight, began = score+weight, 0, ending.At
		}
		weight = math.Max(weight, t.weight(ending))
	}
	return score + weight
}

func (t *Table) weight(ending Ending) float64 {
	switch {
	case ending.Begun:
		return begunWeight
	case t.begun.Contains(ending.Instance):
		return 0
	default:
		return besideWeight
	}
}

// isQuarantined reports whether a part with the given record is kept from servers; the caller holds the lock.
func (t *Table) isQuarantined(part Key, of record, now time.Time) bool {
	if len(of.endings) == 0 {
		return false
	}
	score := t.score(of)
	return score >= of.requiredScore() && !t.isExplained(part, of, score, now)
}

// isExplained reports whether another part explains all endings of this one: it was there each time, and at further ones.
func (t *Table) isExplained(part Key, of record, score float64, now time.Time) bool {
	for other := range t.suspects {
		if other == part {
			continue
		}
		found := t.current(other, now)
		if len(found.endings) > len(of.endings) && found.containsInstances(of) && t.score(found) > score && t.score(found) >= found.requiredScore() {
			return true
		}
	}
	return false
}

// Suspects reports whether any part is under suspicion.
func (t *Table) Suspects() bool { return t.suspectCount.Load() > 0 }

// Quarantined reports whether prompts with the given parts are kept from servers now.
func (t *Table) Quarantined(parts []Key, now time.Time) bool {
	if !t.Suspects() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if t.isQuarantined(part, t.current(part, now), now) {
			return true
		}
	}
	return false
}

// Count returns the number of parts that are kept from servers.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for part := range t.suspects {
		if t.isQuarantined(part, t.current(part, now), now) {
			count++
		}
	}
	return count
}
