package lavcutover

import (
	"math"
	"time"

	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavrollout"
)

// Timing is the wait for one answer; it counts as slow as soon as it is, not only once the answer has come.
type Timing struct {
	statistics  *statistics
	key         Key
	baselineKey string
	oldRelease  bool
	varied      bool
	started     time.Time
	// slow and longer say that the wait has been counted as such.
	slow   bool
	longer bool
}

// timing starts the wait for an answer that is compared with others of its kind.
func (s *statistics) startTiming(server lavserver.Server, kind string, varied, oldRelease bool, now time.Time) *Timing {
	timing := &Timing{
		statistics:  s,
		key:         Key{Service: server.Service, Release: server.Release, Kind: kind},
		baselineKey: string(server.Service) + "\x00" + kind,
		oldRelease:  oldRelease,
		varied:      varied,
		started:     now,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingTimings[timing] = struct{}{}
	return timing
}

// Answered ends the wait with an answer.
func (t *Timing) Answered(now time.Time) {
	t.statistics.mu.Lock()
	defer t.statistics.mu.Unlock()
	if _, waiting := t.statistics.pendingTimings[t]; !waiting {
		return
	}
	delete(t.statistics.pendingTimings, t)
	took := now.Sub(t.started)
	if !t.slow {
		t.statistics.countSlow(t.key, t.baselineKey, took)
	}
	if t.varied && !t.longer {
		t.statistics.countLonger(t.key, t.baselineKey, took)
	}
	if t.oldRelease {
		t.statistics.updateBaseline(t.baselineKey, took)
	}
}

// Dropped ends the wait without an answer.
func (t *Timing) Dropped() {
	t.statistics.mu.Lock()
	defer t.statistics.mu.Unlock()
	delete(t.statistics.pendingTimings, t)
}

// countWaiting counts the waits that are longer than usual, or slow, by now.
func (s *statistics) countPending(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for timing := range s.pendingTimings {
		took := now.Sub(timing.started)
		if !timing.slow && s.exceeds(timing.baselineKey, took, slowFactor) {
			timing.slow = true
			s.countSlow(timing.key, timing.baselineKey, took)
		}
		if timing.varied && !timing.longer && s.exceeds(timing.baselineKey, took, longerFactor) {
			timing.longer = true
			s.countLonger(timing.key, timing.baselineKey, took)
		}
	}
}

// countSlow counts a time whose kind is known well enough.
func (s *statistics) countSlow(key Key, baselineKey string, took time.Duration) {
	if s.baselines[baselineKey].count < minBaselineTimes {
		return
	}
	counts := s.own[key]
	counts.Slow = withTrial(counts.Slow, s.exceeds(baselineKey, took, slowFactor))
	s.own[key] = counts
}

// countLonger does the same for any time above the usual one.
func (s *statistics) countLonger(key Key, baselineKey string, took time.Duration) {
	if s.baselines[baselineKey].count < minBaselineTimes {
		return
	}
	counts := s.own[key]
	counts.Longer = withTrial(counts.Longer, s.exceeds(baselineKey, took, longerFactor))
	s.own[key] = counts
}

func withTrial(sample lavrollout.Sample, bad bool) lavrollout.Sample {
	sample.Trials++
	if bad {
		sample.Bad++
	}
	return sample
}

// exceeds tells whether a time is more than a factor above the usual one of its kind.
func (s *statistics) exceeds(baselineKey string, took time.Duration, factor float64) bool {
	usual := s.baselines[baselineKey]
	return usual.count >= minBaselineTimes && took > 0 && math.Log(float64(took)) > usual.meanLog+math.Log(factor)
}

// learn takes a time of the old releases over into what is usual.
func (s *statistics) updateBaseline(baselineKey string, took time.Duration) {
	if took <= 0 {
		return
	}
	usual := s.baselines[baselineKey]
	if usual.count == 0 {
		usual.meanLog = math.Log(float64(took))
	}
	usual.count++
	usual.meanLog += baselineWeight * (math.Log(float64(took)) - usual.meanLog)
	s.baselines[baselineKey] = usual
}
