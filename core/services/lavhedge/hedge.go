package lavhedge

import (
	"sync"
	"time"
)

const (
	// maxShare of the requests may be hedged.
	maxShare = 0.05
	// maxSaved bounds the hedges that calm times save up.
	maxSaved = 10
	// maxLoad of the pool is the load above which hedges add to the harm.
	maxLoad = 0.7
	// longestThreshold is the latency of work that is too long to hedge.
	longestThreshold = 500 * time.Millisecond
	// shortestThreshold keeps ordinary jitter from causing hedges.
	shortestThreshold = 2 * time.Millisecond
	// knownSamples are needed before the threshold is trusted.
	knownSamples = 40
	// percentile is the part of attempts that answer before the threshold.
	percentile = 0.95
	// stepShare moves the threshold by a part of itself for each sample.
	stepShare = 0.05
)

// Work is what a kind of request allows.
type Work struct {
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
	saved     float64
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
	h.saved = min(h.saved+maxShare, maxSaved)
	if h.samples == 1 {
		h.threshold = latency
		return
	}
	step := stepShare * float64(max(h.threshold, shortestThreshold))
	if latency > h.threshold {
		h.threshold += time.Duration(percentile * step)
		return
	}
	h.threshold -= time.Duration((1 - percentile) * step)
}

// After returns when to send a hedge, counted from the first attempt, or false when none pays.
func (h *Hedger) After(work Work) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !work.Idempotent || work.Candidates < 1 || work.Load > maxLoad {
		return 0, false
	}
	if h.samples < knownSamples || h.threshold > longestThreshold || h.saved < 1 {
		return 0, false
	}
	return max(h.threshold, shortestThreshold), true
}

// Sent takes a hedge from the budget, or returns false when others have used it up.
func (h *Hedger) Sent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.saved < 1 {
		return false
	}
	h.saved--
	return true
}
