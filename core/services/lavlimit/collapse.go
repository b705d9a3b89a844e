package lavlimit

import "time"

const (
	// coldFactor times the baseline latency is the latency above which an answer counts as that of a cold server.
	coldFactor = 2.5
	// minColdShare of the target is the lowest latency that can count as that of a cold server.
	minColdShare = 0.4
	// coldSamplesToCollapse is the number of cold samples in one window that collapses the limit.
	coldSamplesToCollapse = 2
	// minBaselineSamples is the number of samples that a baseline needs before others are compared with it.
	minBaselineSamples = 20
	// failuresToCollapse is the number of failures in one window that collapses the limit.
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

// observe adds a sample to its baseline, or counts it as that of a cold server, which may collapse the limit.
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

// observeFailure counts a failed request, which may collapse the limit.
func (l *Limiter) observeFailure(now time.Time) {
	l.window.failures++
	if l.window.failures >= failuresToCollapse {
		l.collapse(now)
	}
}

// observeWait collapses the limit when enough requests have waited for their first token as long as at a cold server. It
// detects a cold server before the answers arrive.
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

// isCold reports whether a sample is as slow as that of a cold server. It is false until the baseline has enough samples.
func isCold(baseline movingAverage, sample, target time.Duration) bool {
	if baseline.count < minBaselineSamples {
		return false
	}
	return float64(sample) > coldFactor*float64(baseline.value) && float64(sample) > minColdShare*float64(target)
}

// collapse returns the limit to its start value. A limit that is already there stays as it is, so that late answers to
// requests sent before a collapse are not counted as another one.
func (l *Limiter) collapse(now time.Time) {
	if l.phase == SlowStart && l.limit <= float64(l.settings.StartRunning) {
		return
	}
	l.collapses++
	l.restart(now)
}
