package lavlimit

import (
	"math"
	"time"
)

const (
	// minWindowSamples are enough to move the limit at a tick.
	minWindowSamples = 4
	// maxWindowAge moves the limit with fewer samples.
	maxWindowAge = time.Second
	// idleDecayAge without use halves an unused limit.
	idleDecayAge = 10 * time.Second
	// slowStartFactor multiplies the limit in each window of a slow start.
	slowStartFactor = 1.5
	// growthThreshold of the target is the latency below which the limit grows.
	growthThreshold = 0.8
	// minUtilisation of the limit has to be in use for it to grow.
	minUtilisation = 0.75
	// steadyStep is the relative growth in a steady window, at least one request.
	steadyStep = 0.05
	// minDecreaseFactor bounds the fall in one window.
	minDecreaseFactor = 0.5
	// idleDecayDivisor times the work in use is kept of an unused limit.
	idleDecayDivisor = 2
	// plainTargetFactor times the unloaded latency is the target of a plain service.
	plainTargetFactor = 2
)

// Tick moves the limit by what was seen since it last moved.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeWait(now)
	age := now.Sub(l.window.started)
	samples := l.window.firstToken.count + l.window.betweenTokens.count
	if samples == 0 {
		l.decayUnused(age, now)
		return
	}
	if samples < minWindowSamples && age < maxWindowAge {
		return
	}
	l.adjust(l.pressure())
	l.baseline.drift()
	l.window = window{started: now}
	l.window.recordUse(l.running, l.runningTokens)
}

// pressure is the measured latency relative to its target; above one the server has too much to do.
func (l *Limiter) pressure() float64 {
	if l.settings.plain() {
		return float64(l.window.firstToken.mean()) / float64(plainTargetFactor*max(l.baseline.unloaded, time.Millisecond))
	}
	first := float64(l.window.firstToken.tail()) / float64(l.settings.Targets.FirstToken)
	between := float64(l.window.betweenTokens.tail()) / float64(l.settings.Targets.BetweenTokens)
	return math.Max(first, between)
}

func (l *Limiter) adjust(pressure float64) {
	switch {
	case pressure > 1:
		l.lower(math.Max(minDecreaseFactor, 1/pressure))
	case pressure > growthThreshold:
		l.phase = Steady
	default:
		l.raise()
	}
}

// lower starts from the work in use, because a larger limit was never tried.
func (l *Limiter) lower(factor float64) {
	l.phase = Steady
	l.limit = math.Max(1, math.Min(l.limit, float64(l.window.maxRunning))*factor)
	tokens := math.Min(l.tokenLimit, float64(l.window.maxTokens))
	l.tokenLimit = math.Max(float64(l.settings.StartTokens), tokens*factor)
}

func (l *Limiter) raise() {
	factor := 1 + steadyStep
	if l.phase == SlowStart {
		factor = slowStartFactor
	}
	runningFull := float64(l.window.maxRunning) >= minUtilisation*math.Floor(l.limit)
	tokensFull := float64(l.window.maxTokens) >= minUtilisation*l.tokenLimit
	if runningFull || l.window.refused && !tokensFull {
		l.limit = math.Max(l.limit+1, l.limit*factor)
	}
	if tokensFull || l.window.refused && !runningFull {
		l.tokenLimit *= factor
	}
	if l.limit >= float64(l.settings.MaxRunning) {
		l.limit = float64(l.settings.MaxRunning)
		l.phase = Steady
	}
}

func (l *Limiter) decayUnused(age time.Duration, now time.Time) {
	if age < idleDecayAge || l.running > 0 {
		return
	}
	l.phase = SlowStart
	l.limit = math.Max(float64(l.settings.StartRunning), math.Min(l.limit, l.limit/idleDecayDivisor))
	l.tokenLimit = math.Max(float64(l.settings.StartTokens), l.tokenLimit/idleDecayDivisor)
	l.window = window{started: now}
}
