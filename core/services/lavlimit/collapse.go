package lavlimit

import "time"

const (
	// coldFactor times the usual latency marks an answer of a cold server.
	coldFactor = 2.5
	// minColdShare of the target is the least latency that can mark one.
	minColdShare = 0.4
	// coldSamplesToCollapse in one window collapse the limit.
	coldSamplesToCollapse = 2
	// minBaselineSamples are needed before a latency counts as usual.
	minBaselineSamples = 20
	// failuresToCollapse in one window collapse the limit.
	failuresToCollapse = 2
)

func (l *Limiter) observeFirstToken(sample time.Duration, now time.Time) {
	l.window.firstToken.add(sample)
	l.baseline.addUnloaded(sample)
	l.observe(&l.baseline.firstToken, sample, l.settings.Targets.FirstToken, now)
}

func (l *Limiter) observeBetweenTokens(sample time.Duration, now time.Time) {
	l.window.betweenTokens.add(sample)
	l.observe(&l.baseline.betweenTokens, sample, l.settings.Targets.BetweenTokens, now)
}

func (l *Limiter) observe(baseline *movingAverage, sample, target time.Duration, now time.Time) {
	if !isCold(*baseline, sample, target) {
		baseline.add(sample)
		return
	}
	l.window.coldSamples++
	if l.window.coldSamples >= coldSamplesToCollapse {
		l.collapse(now)
	}
}

func (l *Limiter) observeFailure(now time.Time) {
	l.window.failures++
	if l.window.failures >= failuresToCollapse {
		l.collapse(now)
	}
}

// observeWait counts an unanswered request as soon as its wait is as long as a cold server's.
func (l *Limiter) observeWait(now time.Time) {
	if l.settings.plain() {
		return
	}
	late := 0
	for permit := range l.awaitingFirstToken {
		if isCold(l.baseline.firstToken, now.Sub(permit.started), l.settings.Targets.FirstToken) {
			late++
		}
	}
	if late >= coldSamplesToCollapse {
		l.collapse(now)
	}
}

func isCold(baseline movingAverage, sample, target time.Duration) bool {
	if baseline.count < minBaselineSamples {
		return false
	}
	return float64(sample) > coldFactor*float64(baseline.value) && float64(sample) > minColdShare*float64(target)
}

// collapse returns to the start; answers of requests sent before can't make it collapse again.
func (l *Limiter) collapse(now time.Time) {
	if l.phase == SlowStart && l.limit <= float64(l.settings.StartRunning) {
		return
	}
	l.collapses++
	l.restart(now)
}
