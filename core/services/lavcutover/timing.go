package lavcutover

import (
	"math"
	"time"

	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavrollout"
)

// Timing measures the time to one answer. A pending answer is counted as slow, or as longer, as soon as
// its time exceeds slowFactor or longerFactor times the baseline, even if it never arrives.
type Timing struct {
	Awaited
	statistics  *statistics
	key         Key
	baselineKey string
	oldRelease  bool
	started     time.Time
	// slow, longer and delayed report whether the time has been counted as slow, as longer, or as delayed, before the answer
	// arrived.
	slow    bool
	longer  bool
	delayed bool
}

// Awaited describes an answer that is timed.
type Awaited struct {
	// Kind groups the answers whose times may be compared with each other.
	Kind string
	// Varied states that the times depend on the request and the load more than on the server.
	Varied bool
	// Expected is the time that an answer usually takes for its work and with the load of its server, or zero if that is not
	// known.
	Expected time.Duration
}

// startTiming starts timing an answer, which is compared with others of its kind.
func (s *statistics) startTiming(server lavserver.Server, awaited Awaited, oldRelease bool, now time.Time) *Timing {
	timing := &Timing{
		Awaited:     awaited,
		statistics:  s,
		key:         Key{Service: server.Service, Release: server.Release, Kind: awaited.Kind},
		baselineKey: string(server.Service) + "\x00" + awaited.Kind,
		oldRelease:  oldRelease,
		started:     now,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingTimings[timing] = struct{}{}
	return timing
}

// Answered ends the timing with an answer.
func (t *Timing) Answered(now time.Time) {
	t.statistics.mu.Lock()
	defer t.statistics.mu.Unlock()
	if _, pending := t.statistics.pendingTimings[t]; !pending {
		return
	}
	delete(t.statistics.pendingTimings, t)
	took := now.Sub(t.started)
	if !t.slow {
		t.statistics.countSlow(t.key, t.baselineKey, took)
	}
	if t.Varied && !t.longer {
		t.statistics.countLonger(t.key, t.baselineKey, took)
	}
	if !t.delayed {
		t.countDelayed(took)
	}
	if t.oldRelease {
		t.statistics.updateBaseline(t.baselineKey, took)
		if t.Expected > 0 {
			t.statistics.updateBaseline(t.relativeKey(), t.relative(took))
		}
	}
}

// Dropped ends the timing without an answer; it has no effect after Answered.
func (t *Timing) Dropped() {
	t.statistics.mu.Lock()
	defer t.statistics.mu.Unlock()
	delete(t.statistics.pendingTimings, t)
}

// countPending counts the pending timings that are longer, or slow, by now.
func (s *statistics) countPending(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for timing := range s.pendingTimings {
		took := now.Sub(timing.started)
		if !timing.slow && s.exceeds(timing.baselineKey, took, slowFactor) {
			timing.slow = true
			s.countSlow(timing.key, timing.baselineKey, took)
		}
		if timing.Varied && !timing.longer && s.exceeds(timing.baselineKey, took, longerFactor) {
			timing.longer = true
			s.countLonger(timing.key, timing.baselineKey, took)
		}
		if timing.Expected > 0 && !timing.delayed && s.exceeds(timing.relativeKey(), timing.relative(took), slowFactor) {
			timing.delayed = true
			timing.countDelayed(took)
		}
	}
}

// relativeKey returns the key of the baseline of times relative to the expected ones.
func (t *Timing) relativeKey() string { return t.baselineKey + "\x00relative" }

// relative returns a time relative to the expected one, as what a time of one second would have been.
func (t *Timing) relative(took time.Duration) time.Duration {
	return time.Duration(float64(took) / float64(t.Expected) * float64(time.Second))
}

// countDelayed counts a time as slow or not for its work and the load of its server, once that baseline has enough times; the
// caller holds the lock. A new release has little load at first, so that its times are short however slow it is.
func (t *Timing) countDelayed(took time.Duration) {
	s := t.statistics
	if t.Expected <= 0 || s.baselines[t.relativeKey()].count < minBaselineTimes {
		return
	}
	counts := s.own[t.key]
	counts.Delayed = withTrial(counts.Delayed, s.exceeds(t.relativeKey(), t.relative(took), slowFactor))
	s.own[t.key] = counts
}

// countSlow counts a time as slow or not, once its baseline has enough times.
func (s *statistics) countSlow(key Key, baselineKey string, took time.Duration) {
	if s.baselines[baselineKey].count < minBaselineTimes {
		return
	}
	counts := s.own[key]
	counts.Slow = withTrial(counts.Slow, s.exceeds(baselineKey, took, slowFactor))
	s.own[key] = counts
}

// countLonger counts a time as longer or not, once the baseline has enough times.
func (s *statistics) countLonger(key Key, baselineKey string, took time.Duration) {
	if s.baselines[baselineKey].count < minBaselineTimes {
		return
	}
	counts := s.own[key]
	counts.Longer = withTrial(counts.Longer, s.exceeds(baselineKey, took, longerFactor))
	s.own[key] = counts
}

// withTrial returns the sample with one more trial.
func withTrial(sample lavrollout.Sample, bad bool) lavrollout.Sample {
	sample.Trials++
	if bad {
		sample.Bad++
	}
	return sample
}

// exceeds reports whether a time is above its baseline multiplied by a factor.
func (s *statistics) exceeds(baselineKey string, took time.Duration, factor float64) bool {
	baseline := s.baselines[baselineKey]
	return baseline.count >= minBaselineTimes && took > 0 && math.Log(float64(took)) > baseline.meanLog+math.Log(factor)
}

// updateBaseline adds a time of an old release to its baseline.
func (s *statistics) updateBaseline(baselineKey string, took time.Duration) {
	if took <= 0 {
		return
	}
	baseline := s.baselines[baselineKey]
	if baseline.count == 0 {
		baseline.meanLog = math.Log(float64(took))
	}
	baseline.count++
	baseline.meanLog += baselineWeight * (math.Log(float64(took)) - baseline.meanLog)
	s.baselines[baselineKey] = baseline
}
