package lavlimit

import (
	"math"
	"time"
)

const (
	// windowSamples are enough to move the limit at a tick.
	windowSamples = 4
	// windowAge moves the limit with fewer samples.
	windowAge = time.Second
	// idleAge without use halves an unused limit.
	idleAge = 10 * time.Second
	// slowStartFactor multiplies the limit in each window of a slow start.
	slowStartFactor = 1.5
	// growShare of the target is the latency below which the limit grows.
	growShare = 0.8
	// usedShare of the limit has to be in use for it to grow.
	usedShare = 0.75
	// steadyStep is the relative growth in a steady window, at least one request.
	steadyStep = 0.05
	// lowestFactor bounds the fall in one window.
	lowestFactor = 0.5
	// keptFactor times the work in use is kept of an unused limit.
	keptFactor = 2
	// plainTolerance times the unloaded latency is the target of a plain service.
	plainTolerance = 2
)

// Tick moves the limit by what was seen since it last moved.
func (l *Limiter) Tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observeWait(now)
	age := now.Sub(l.window.started)
	samples := l.window.first.count + l.window.between.count
	if samples == 0 {
		l.decayUnused(age, now)
		return
	}
	if samples < windowSamples && age < windowAge {
		return
	}
	l.move(l.pressure())
	l.baseline.drift()
	l.window = window{started: now}
	l.window.use(l.running, l.inTokens)
}

// pressure is the measured latency relative to its target; above one the server has too much to do.
func (l *Limiter) pressure() float64 {
	if l.settings.plain() {
		return float64(l.window.first.mean()) / float64(plainTolerance*max(l.baseline.unloaded, time.Millisecond))
	}
	first := float64(l.window.first.tail()) / float64(l.settings.Targets.FirstToken)
	between := float64(l.window.between.tail()) / float64(l.settings.Targets.BetweenTokens)
	return math.Max(first, between)
}

func (l *Limiter) move(pressure float64) {
	switch {
	case pressure > 1:
		l.lower(math.Max(lowestFactor, 1/pressure))
	case pressure > growShare:
		l.phase = Steady
	default:
		l.raise()
	}
}

// lower starts from the work in use, because a larger limit was never tried.
func (l *Limiter) lower(factor float64) {
	l.phase = Steady
	l.limit = math.Max(1, math.Min(l.limit, float64(l.window.maxRunning))*factor)
	tokens := math.Min(l.tokens, float64(l.window.maxTokens))
	l.tokens = math.Max(float64(l.settings.StartTokens), tokens*factor)
}

func (l *Limiter) raise() {
	factor := 1 + steadyStep
	if l.phase == SlowStart {
		factor = slowStartFactor
	}
	runningFull := float64(l.window.maxRunning) >= usedShare*math.Floor(l.limit)
	tokensFull := float64(l.window.maxTokens) >= usedShare*l.tokens
	if runningFull || l.window.refused && !tokensFull {
		l.limit = math.Max(l.limit+1, l.limit*factor)
	}
	if tokensFull || l.window.refused && !runningFull {
		l.tokens *= factor
	}
	if l.limit >= float64(l.settings.MaxRunning) {
		l.limit = float64(l.settings.MaxRunning)
		l.phase = Steady
	}
}

func (l *Limiter) decayUnused(age time.Duration, now time.Time) {
	if age < idleAge || l.running > 0 {
		return
	}
	l.phase = SlowStart
	l.limit = math.Max(float64(l.settings.StartRunning), math.Min(l.limit, l.limit/keptFactor))
	l.tokens = math.Max(float64(l.settings.StartTokens), l.tokens/keptFactor)
	l.window = window{started: now}
}
