package lavhedge

import (
	"sync"
	"time"
)

const (
	// hedgeShare is the part of all requests that may be hedged.
	hedgeShare = 0.05
	// maxBudget bounds the hedges that can accumulate while few are sent.
	maxBudget = 10
	// maxLoad is the load of the pool above which hedges would make an overload worse.
	maxLoad = 0.7
	// maxThreshold is the threshold above which requests are too long to hedge.
	maxThreshold = 500 * time.Millisecond
	// minThreshold keeps ordinary jitter from causing hedges.
	minThreshold = 2 * time.Millisecond
	// minSamples is the number of samples needed before the threshold is used.
	minSamples = 40
	// percentile is the part of attempts that answer before the threshold.
	percentile = 0.95
	// stepShare is the part of the threshold by which one sample can move it.
	stepShare = 0.05
)

// Conditions are the properties of a request and its pool that decide whether it may be hedged.
type Conditions struct {
	Idempotent bool
	// Load is the part of the pool's limits in use.
	Load float64
	// Candidates is the number of backend servers that may serve the hedge.
	Candidates int
}

// Hedger decides about hedges of similar requests, such as those of one call of a plain service. It is safe for concurrent
// use.
type Hedger struct {
	mu sync.Mutex
	// threshold is the estimated percentile of the latencies.
	threshold time.Duration
	samples   int
	// budget is the number of hedges that may be sent now.
	budget float64
}

// New returns a Hedger without latency samples.
func New() *Hedger {
	return &Hedger{}
}

// Observe records the latency of an answered attempt and adds hedgeShare to the budget.
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

// Delay returns the time after the start of the first attempt at which to send a hedge, or false when none should be sent.
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

// Spend takes one hedge from the budget and reports whether it may be sent. It takes nothing when less than one is left.
func (h *Hedger) Spend() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.budget < 1 {
		return false
	}
	h.budget--
	return true
}
