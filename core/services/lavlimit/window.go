package lavlimit

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// window collects the samples since the limit was last adjusted.
type window struct {
	started       time.Time
	firstToken    latencySamples
	betweenTokens latencySamples
	// maxRunning and maxTokens are the largest numbers of requests and tokens in progress at once.
	maxRunning int
	maxTokens  lavid.Tokens
	// refused reports whether the limit refused a request.
	refused     bool
	coldSamples int
	failures    int
}

func (w *window) recordUse(running int, tokens lavid.Tokens) {
	w.maxRunning = max(w.maxRunning, running)
	w.maxTokens = max(w.maxTokens, tokens)
}

// latencySamples keeps the count, the sum and the two largest of a set of samples.
type latencySamples struct {
	count         int
	sum           time.Duration
	largest       time.Duration
	secondLargest time.Duration
}

func (s *latencySamples) add(sample time.Duration) {
	s.count++
	s.sum += sample
	if sample > s.largest {
		s.largest, s.secondLargest = sample, s.largest
		return
	}
	s.secondLargest = max(s.secondLargest, sample)
}

// tail estimates the 95th percentile of a small window by its second largest sample, which ignores a single outlier.
func (s *latencySamples) tail() time.Duration {
	if s.count == 0 {
		return 0
	}
	if s.count == 1 {
		return s.largest
	}
	return s.secondLargest
}

func (s *latencySamples) mean() time.Duration {
	if s.count == 0 {
		return 0
	}
	return s.sum / time.Duration(s.count)
}

// movingAverage is an exponentially weighted moving average; its first samples have equal weight.
type movingAverage struct {
	value time.Duration
	count int
}

// minSampleWeight is the weight of each sample in the moving average once it has 20 samples.
const minSampleWeight = 0.05

func (a *movingAverage) add(sample time.Duration) {
	a.count++
	weight := max(minSampleWeight, 1/float64(a.count))
	a.value += time.Duration(weight * float64(sample-a.value))
}

// baseline holds the latencies of the server while it is warm.
type baseline struct {
	firstToken    movingAverage
	betweenTokens movingAverage
	// unloaded is the lowest latency measured. It drifts up slowly, so that an outdated minimum is replaced.
	unloaded time.Duration
}

// unloadedDrift multiplies the lowest latency after each window.
const unloadedDrift = 1.0005

func (b *baseline) addUnloaded(sample time.Duration) {
	if b.unloaded == 0 || sample < b.unloaded {
		b.unloaded = sample
	}
}

func (b *baseline) drift() {
	b.unloaded = time.Duration(float64(b.unloaded) * unloadedDrift)
}
