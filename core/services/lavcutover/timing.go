package lavcutover

import (
	"math"
	"time"

	"lavenderswitch/core/models/lavserver"
)

// Timing is the wait for one answer; it counts as slow as soon as it is, not only once the answer has come.
type Timing struct {
	tally   *tally
	key     Key
	name    string
	old     bool
	started time.Time
	counted bool
}

// timing starts the wait for an answer that is compared with others of its kind.
func (t *tally) timing(server lavserver.Server, kind string, old bool, now time.Time) *Timing {
	timing := &Timing{
		tally:   t,
		key:     Key{Service: server.Service, Release: server.Release, Kind: kind},
		name:    string(server.Service) + "\x00" + kind,
		old:     old,
		started: now,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[timing] = struct{}{}
	return timing
}

// Answered ends the wait with an answer.
func (t *Timing) Answered(now time.Time) {
	t.tally.mu.Lock()
	defer t.tally.mu.Unlock()
	if _, waiting := t.tally.waiting[t]; !waiting {
		return
	}
	delete(t.tally.waiting, t)
	took := now.Sub(t.started)
	if !t.counted {
		t.tally.count(t.key, t.name, took)
	}
	if t.old {
		t.tally.learn(t.name, took)
	}
}

// Dropped ends the wait without an answer.
func (t *Timing) Dropped() {
	t.tally.mu.Lock()
	defer t.tally.mu.Unlock()
	delete(t.tally.waiting, t)
}

// countWaiting counts the waits that are slow by now.
func (t *tally) countWaiting(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for timing := range t.waiting {
		took := now.Sub(timing.started)
		if timing.counted || !t.slow(timing.name, took) {
			continue
		}
		timing.counted = true
		t.count(timing.key, timing.name, took)
	}
}

// count counts a time whose kind is known well enough.
func (t *tally) count(key Key, name string, took time.Duration) {
	if t.times[name].count < knownTimes {
		return
	}
	counts := t.own[key]
	counts.Slow.Trials++
	if t.slow(name, took) {
		counts.Slow.Bad++
	}
	t.own[key] = counts
}

func (t *tally) slow(name string, took time.Duration) bool {
	known := t.times[name]
	return known.count >= knownTimes && took > 0 && math.Log(float64(took)) > known.log+math.Log(slowFactor)
}

// learn takes a time of the old releases over into what is usual.
func (t *tally) learn(name string, took time.Duration) {
	if took <= 0 {
		return
	}
	known := t.times[name]
	if known.count == 0 {
		known.log = math.Log(float64(took))
	}
	known.count++
	known.log += timeWeight * (math.Log(float64(took)) - known.log)
	t.times[name] = known
}
