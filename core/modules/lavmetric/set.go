package lavmetric

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The bounds and precision of the histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Set is a group of named counters and latency histograms.
type Set struct {
	vars       *expvar.Map
	mu         sync.Mutex
	histograms map[string]*Histogram
}

// NewSet returns an empty set that is not yet published.
func NewSet() *Set {
	return &Set{vars: new(expvar.Map).Init(), histograms: make(map[string]*Histogram)}
}

// Publish publishes the set with expvar under a name. It panics if the name is already published.
func (s *Set) Publish(name string) {
	expvar.Publish(name, s.vars)
}

// Count adds delta to a counter.
func (s *Set) Count(name string, delta int64) {
	s.vars.Add(name, delta)
}

// Value returns the current value of a counter, or zero if nothing was counted.
func (s *Set) Value(name string) int64 {
	counter, ok := s.vars.Get(name).(*expvar.Int)
	if !ok {
		return 0
	}
	return counter.Value()
}

// Observe adds a duration to a histogram.
func (s *Set) Observe(name string, elapsed time.Duration) {
	s.histogram(name).observe(elapsed)
}

func (s *Set) histogram(name string) *Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	histogram, ok := s.histograms[name]
	if !ok {
		histogram = &Histogram{values: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
		s.histograms[name] = histogram
		s.vars.Set(name, expvar.Func(func() any { return histogram.Summary() }))
	}
	return histogram
}

// Histogram is a latency histogram in microseconds. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// Summary is the published form of a histogram.
type Summary struct {
	Count     int64
	P50Micros int64
	P95Micros int64
	P99Micros int64
	MaxMicros int64
}

func (h *Histogram) observe(elapsed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	micros := min(max(elapsed.Microseconds(), lowestMicros), highestMicros)
	_ = h.values.RecordValue(micros)
}

// Summary returns the count, the percentiles and the maximum.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count:     h.values.TotalCount(),
		P50Micros: h.values.ValueAtQuantile(50),
		P95Micros: h.values.ValueAtQuantile(95),
		P99Micros: h.values.ValueAtQuantile(99),
		MaxMicros: h.values.Max(),
	}
}
