package lavlimit

import (
	"math"
	"time"
)

const (
	// minWindowSamples is the number of samples that ends a window at the next tick.
	minWindowSamples = 4
	// maxWindowAge is the age at which a window with fewer samples ends.
	maxWindowAge = time.Second
	// idleDecayAge is the time without samples and requests after which the limit decays.
	idleDecayAge = 10 * time.Second
	// slowStartFactor multiplies the limit in each window of a slow start.
	slowStartFactor = 1.5
	// growthThreshold is the part of the target latency up to which the limit grows.
	growthThreshold = 0.8
	// minUtilisation is the part of the limit that must be in use for it to grow.
	minUtilisation = 0.75
	// steadyStep is the relative growth in each steady window; the limit of requests grows by at least one.
	steadyStep = 0.05
	// minDecreaseFactor bounds the decrease in one window.
	minDecreaseFactor = 0.5
	// idleDecayDivisor divides an unused limit when it decays.
	idleDecayDivisor = 2
	// plainTargetFactor times the unloaded latency is the target latency of a plain service.
	plainTargetFactor = 2
)

// Tick adjusts the limit by the samples of the current window, once the window has enough samples or age.
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

// pressure returns the measured latency relative to its target; above one the server is overloaded.
func (l *Limiter) pressure() float64 {
	if l.settings.plain() {
		return float64(l.window.firstToken.mean()) / float64(plainTargetFactor*max(l.baseline.unloaded, time.Millisecond))
	}
	first := float64(l.window.firstToken.tail()) / float64(l.settings.Targets.FirstToken)
	between := float64(l.window.betweenTokens.tail()) / float64(l.settings.Targets.BetweenTokens)
	return math.Max(first, between)
}

// adjust lowers the limits above a pressure of one and raises them up to growthThreshold. Between the two it only ends slow
// start.
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

// lower decreases the limits. It starts from the highest use in the window, because a higher limit was not tested.
func (l *Limiter) lower(factor float64) {
	l.phase = Steady
	l.limit = math.Max(1, math.Min(l.limit, float64(l.window.maxRunning))*factor)
	tokens := math.Min(l.tokenLimit, float64(l.window.maxTokens))
	l.tokenLimit = math.Max(float64(l.settings.StartTokens), tokens*factor)
}

// raise increases each limit that was nearly used up or caused a refusal in the window.
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

// decayUnused shrinks the limits and returns to slow start once the window has had no samples for idleDecayAge, unless a
// request is in progress.
func (l *Limiter) decayUnused(age time.Duration, now time.Time) {
	if age < idleDecayAge || l.running > 0 {
		return
	}
	l.phase = SlowStart
	l.limit = math.Max(float64(l.settings.StartRunning), math.Min(l.limit, l.limit/idleDecayDivisor))
	l.tokenLimit = math.Max(float64(l.settings.StartTokens), l.tokenLimit/idleDecayDivisor)
	l.window = window{started: now}
}
