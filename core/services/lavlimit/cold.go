package lavlimit

import "time"

const (
	// coldFactor times the usual latency marks an answer of a cold server.
	coldFactor = 2.5
	// coldShare of the target is the least latency that can mark one.
	coldShare = 0.4
	// coldSamples in one window collapse the limit.
	coldSamples = 2
	// knownSamples are needed before a latency counts as usual.
	knownSamples = 20
	// failureSamples in one window collapse the limit.
	failureSamples = 2
)

func (l *Limiter) observeFirst(sample time.Duration, now time.Time) {
	l.window.first.add(sample)
	l.baseline.addUnloaded(sample)
	l.observe(&l.baseline.first, sample, l.settings.Targets.FirstToken, now)
}

func (l *Limiter) observeBetween(sample time.Duration, now time.Time) {
	l.window.between.add(sample)
	l.observe(&l.baseline.between, sample, l.settings.Targets.BetweenTokens, now)
}

func (l *Limiter) observe(usual *average, sample, target time.Duration, now time.Time) {
	if !isCold(*usual, sample, target) {
		usual.add(sample)
		return
	}
	l.window.coldSamples++
	if l.window.coldSamples >= coldSamples {
		l.fall(now)
	}
}

func (l *Limiter) observeFailure(now time.Time) {
	l.window.failures++
	if l.window.failures >= failureSamples {
		l.fall(now)
	}
}

// observeWait counts an unanswered request as soon as its wait is as long as a cold server's.
func (l *Limiter) observeWait(now time.Time) {
	if l.settings.plain() {
		return
	}
	late := 0
	for permit := range l.waiting {
		if isCold(l.baseline.first, now.Sub(permit.started), l.settings.Targets.FirstToken) {
			late++
		}
	}
	if late >= coldSamples {
		l.fall(now)
	}
}

func isCold(usual average, sample, target time.Duration) bool {
	if usual.count < knownSamples {
		return false
	}
	return float64(sample) > coldFactor*float64(usual.value) && float64(sample) > coldShare*float64(target)
}

// fall returns to the start; answers of requests sent before can't make it fall again.
func (l *Limiter) fall(now time.Time) {
	if l.phase == SlowStart && l.limit <= float64(l.settings.StartRunning) {
		return
	}
	l.collapse++
	l.restart(now)
}
