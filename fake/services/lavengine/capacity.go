package lavengine

import (
	"math"
	"time"
)

const (
	// overloadFactor is how far above its capacity an engine still answers, very slowly.
	overloadFactor = 2
	// overloadSlowdown is the factor by which an overloaded engine slows down.
	overloadSlowdown = 20
)

// capacity returns the number of running answers that the engine bears at now.
func (w Warmth) capacity(coldSince, now time.Time) int {
	if w.WarmUp <= 0 {
		return w.Capacity
	}
	warmed := min(1, float64(now.Sub(coldSince))/float64(w.WarmUp))
	return w.ColdCapacity + int(warmed*float64(w.Capacity-w.ColdCapacity))
}

// fails tells whether work that makes the engine run so many answers ends in an error.
func isOverrun(running, capacity int) bool {
	return running > overloadFactor*capacity
}

// slowdown returns the factor on the time between tokens.
func (s Speed) slowdown(running, capacity int) float64 {
	factor := 1 + s.BatchSlope*math.Max(0, float64(running-1))
	if running > capacity {
		factor *= overloadSlowdown
	}
	return factor
}
