package lavhedge

import (
	"sync"
	"time"
)

const (
	// hedgeShare of the requests may be hedged.
	hedgeShare = 0.05
	// maxBudget bounds the hedges that calm times save up.
	maxBudget = 10
	// maxLoad of the pool is the load above which hedges add to the harm.
	maxLoad = 0.7
	// maxThreshold is the latency of work that is too long to hedge.
	maxThreshold = 500 * time.Millisecond
	// minThreshold keeps ordinary jitter from causing hedges.
	minThreshold = 2 * time.Millisecond
	// minSamples are needed before the threshold is trusted.
	minSamples = 40
	// percentile is the part of attempts that answer before the threshold.
	percentile = 0.95
	// stepShare moves the threshold by a part of itself for each sample.
	stepShare = 0.05
)

// Conditions is what a kind of request allows.
type Conditions struct {
	Idempotent bool
	// Load is the part of the pool's limits in use.
	Load float64
	// Candidates counts the backend servers that may take the hedge.
	Candidates int
}

// Hedger decides for one kind of request, such as one call of a plain service; it is safe for concurrent use.
type Hedger struct {
	mu        sync.Mutex
	threshold time.Duration
	samples   int
	budget    float64
}

// New returns a hedger that knows no latency yet.
func New() *Hedger {
	return &Hedger{}
}

// Observe takes the latency of an attempt that answered.
func (h *Hedger) Observe(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples++
	h.budget = min(h.budget+hedgeShare, maxBudget)
	if h.samples == 1 {
		h.threshold = latency
		return
	}
	step := stepShare * float64(max(h.threshold, minThreshold))
	if latency > h.threshold {
		h.threshold += time.Duration(percentile * step)
		return
	}
	h.threshold -= time.Duration((1 - percentile) * step)
}

// Delay returns when to send a hedge, counted from the first attempt, or false when none pays.
func (h *Hedger) Delay(conditions Conditions) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !conditions.Idempotent || conditions.Candidates < 1 || conditions.Load > maxLoad {
		return 0, false
	}
	if h.samples < minSamples || h.threshold > maxThreshold || h.budget < 1 {
		return 0, false
	}
	return max(h.threshold, minThreshold), true
}

// Spend takes a hedge from the budget, or returns false when others have used it up.
func (h *Hedger) Spend() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.budget < 1 {
		return false
	}
	h.budget--
	return true
}
