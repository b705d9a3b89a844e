package lavlimit

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// window collects what happened since the limit last moved.
type window struct {
	started     time.Time
	first       peak
	between     peak
	maxRunning  int
	maxTokens   lavid.Tokens
	refused     bool
	coldSamples int
	failures    int
}

func (w *window) use(running int, tokens lavid.Tokens) {
	w.maxRunning = max(w.maxRunning, running)
	w.maxTokens = max(w.maxTokens, tokens)
}

// peak keeps the count, sum and largest two of some samples.
type peak struct {
	count  int
	sum    time.Duration
	most   time.Duration
	second time.Duration
}

func (p *peak) add(sample time.Duration) {
	p.count++
	p.sum += sample
	if sample > p.most {
		p.most, p.second = sample, p.most
		return
	}
	p.second = max(p.second, sample)
}

// tail estimates the 95th percentile of a small window without its single worst sample.
func (p *peak) tail() time.Duration {
	if p.count == 0 {
		return 0
	}
	if p.count == 1 {
		return p.most
	}
	return p.second
}

func (p *peak) mean() time.Duration {
	if p.count == 0 {
		return 0
	}
	return p.sum / time.Duration(p.count)
}

// average is an exponentially weighted mean.
type average struct {
	value time.Duration
	count int
}

const averageWeight = 0.05

func (a *average) add(sample time.Duration) {
	a.count++
	weight := max(averageWeight, 1/float64(a.count))
	a.value += time.Duration(weight * float64(sample-a.value))
}

// baseline is what the server's answers take while it is warm.
type baseline struct {
	first   average
	between average
	// unloaded is the lowest latency seen, drifting up slowly so that it can be forgotten.
	unloaded time.Duration
}

// unloadedDrift multiplies the lowest latency in each window.
const unloadedDrift = 1.0005

func (b *baseline) addUnloaded(sample time.Duration) {
	if b.unloaded == 0 || sample < b.unloaded {
		b.unloaded = sample
	}
}

func (b *baseline) drift() {
	b.unloaded = time.Duration(float64(b.unloaded) * unloadedDrift)
}
