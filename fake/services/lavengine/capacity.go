package lavengine

import (
	"math"
	"time"
)

const (
	// overloadFactor is the multiple of its capacity above which an engine refuses requests.
	overloadFactor = 2
	// overloadSlowdown is the factor by which an engine above its capacity slows down.
	overloadSlowdown = 20
)

// capacity returns the number of concurrent answers that the engine can handle at now. It grows linearly during the
// warm-up.
func (w Warmth) capacity(coldSince, now time.Time) int {
	if w.WarmUp <= 0 {
		return w.Capacity
	}
	warmed := min(1, float64(now.Sub(coldSince))/float64(w.WarmUp))
	return w.ColdCapacity + int(warmed*float64(w.Capacity-w.ColdCapacity))
}

// mustRefuse reports whether an engine refuses a request that brings the number of running answers to running.
func mustRefuse(running, capacity int) bool {
	return running > overloadFactor*capacity
}

// slowdown returns the factor by which the running answers slow each other down.
func (s Speed) slowdown(running, capacity int) float64 {
	factor := 1 + s.BatchSlope*math.Max(0, float64(running-1))
	if running > capacity {
		factor *= overloadSlowdown
	}
	return factor
}
