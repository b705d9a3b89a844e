package lavcutover

import (
	"math"
	"time"

	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavrollout"
)

// Timing is the wait for one answer; it counts as slow as soon as it is, not only once the answer has come.
type Timing struct {
	tally   *tally
	key     Key
	name    string
	old     bool
	varied  bool
	started time.Time
	// slow and longer say that the wait has been counted as such.
	slow   bool
	longer bool
}

// timing starts the wait for an answer that is compared with others of its kind.
func (t *tally) timing(server lavserver.Server, kind string, varied, old bool, now time.Time) *Timing {
	timing := &Timing{
		tally:   t,
		key:     Key{Service: server.Service, Release: server.Release, Kind: kind},
		name:    string(server.Service) + "\x00" + kind,
		old:     old,
		varied:  varied,
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
	if !t.slow {
		t.tally.countSlow(t.key, t.name, took)
	}
	if t.varied && !t.longer {
		t.tally.countLonger(t.key, t.name, took)
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

// countWaiting counts the waits that are longer than usual, or slow, by now.
func (t *tally) countWaiting(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for timing := range t.waiting {
		took := now.Sub(timing.started)
		if !timing.slow && t.exceeds(timing.name, took, slowFactor) {
			timing.slow = true
			t.countSlow(timing.key, timing.name, took)
		}
		if timing.varied && !timing.longer && t.exceeds(timing.name, took, longerFactor) {
			timing.longer = true
			t.countLonger(timing.key, timing.name, took)
		}
	}
}

// countSlow counts a time whose kind is known well enough.
func (t *tally) countSlow(key Key, name string, took time.Duration) {
	if t.times[name].count < knownTimes {
		return
	}
	counts := t.own[key]
	counts.Slow = judged(counts.Slow, t.exceeds(name, took, slowFactor))
	t.own[key] = counts
}

// countLonger does the same for any time above the usual one.
func (t *tally) countLonger(key Key, name string, took time.Duration) {
	if t.times[name].count < knownTimes {
		return
	}
	counts := t.own[key]
	counts.Longer = judged(counts.Longer, t.exceeds(name, took, longerFactor))
	t.own[key] = counts
}

func judged(sample lavrollout.Sample, bad bool) lavrollout.Sample {
	sample.Trials++
	if bad {
		sample.Bad++
	}
	return sample
}

// exceeds tells whether a time is more than a factor above the usual one of its kind.
func (t *tally) exceeds(name string, took time.Duration, factor float64) bool {
	known := t.times[name]
	return known.count >= knownTimes && took > 0 && math.Log(float64(took)) > known.log+math.Log(factor)
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
