package lavrating

import (
	"math"
	"sync"
	"time"
)

// BreakerSettings are the parameters of ratings before delivery.
type BreakerSettings struct {
	// MaxWait is the longest time limit of one rating.
	MaxWait time.Duration
	// MinWait is the shortest time limit of one rating.
	MinWait time.Duration
	// WaitFactor times the mean time of a rating is its time limit, within MinWait and MaxWait.
	WaitFactor float64
	// Smoothing is the weight of the newest rating in the moving averages of the time and of the share of failures.
	Smoothing float64
	// MaxFailureShare is the share of failed ratings above which the breaker opens.
	MaxFailureShare float64
	// OpenTime is how long the breaker stays open before it lets one rating through as a probe.
	OpenTime time.Duration
	// MaxRunning is the highest number of ratings running at once.
	MaxRunning int
}

// DefaultBreakerSettings returns the settings for production.
func DefaultBreakerSettings() BreakerSettings {
	return BreakerSettings{
		MaxWait:         time.Second,
		MinWait:         50 * time.Millisecond,
		WaitFactor:      4,
		Smoothing:       0.1,
		MaxFailureShare: 0.3,
		OpenTime:        2 * time.Second,
		MaxRunning:      64,
	}
}

// Breaker is a circuit breaker that decides whether an answer may be rated before delivery. It is safe for
// concurrent use.
type Breaker struct {
	settings BreakerSettings

	mu           sync.Mutex
	meanTime     time.Duration
	failureShare float64
	running      int
	open         bool
	probing      bool
	probeAt      time.Time
}

// NewBreaker returns a closed breaker.
func NewBreaker(settings BreakerSettings) *Breaker {
	// With the default WaitFactor, this mean makes the first time limit MaxWait.
	return &Breaker{settings: settings, meanTime: settings.MaxWait / 4}
}

// CanCheck reports whether a rating could be started now, so that plans may include ratings before delivery.
func (b *Breaker) CanCheck(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayStart(now)
}

// Start starts a rating and returns its time limit, or false if none may be started. Each started rating needs a
// call of Finish.
func (b *Breaker) Start(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.mayStart(now) {
		return 0, false
	}
	b.probing = b.open
	b.running++
	return b.timeLimit(), true
}

// Finish ends a rating and records its result. Callers set failed if the rating returned an error or exceeded its time
// limit.
func (b *Breaker) Finish(took time.Duration, failed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = max(b.running-1, 0)
	b.recordOutcome(took, failed)
	switch {
	case b.open && !failed:
		b.open = false
		b.failureShare = 0
	case b.open || b.failureShare > b.settings.MaxFailureShare:
		b.open = true
		b.probeAt = now.Add(b.settings.OpenTime)
	}
	b.probing = false
}

// mayStart reports whether a rating may start; the caller holds the lock.
func (b *Breaker) mayStart(now time.Time) bool {
	if b.running >= b.settings.MaxRunning {
		return false
	}
	return !b.open || (!b.probing && !now.Before(b.probeAt))
}

// timeLimit returns the time limit of the next rating.
func (b *Breaker) timeLimit() time.Duration {
	scaled := time.Duration(float64(b.meanTime) * b.settings.WaitFactor)
	return max(b.settings.MinWait, min(b.settings.MaxWait, scaled))
}

// recordOutcome updates the moving averages. Failed ratings do not count in the mean time.
func (b *Breaker) recordOutcome(took time.Duration, failed bool) {
	weight := b.settings.Smoothing
	value := 0.0
	if failed {
		value = 1
	}
	b.failureShare += weight * (value - b.failureShare)
	if !failed {
		b.meanTime += time.Duration(math.Round(weight * float64(took-b.meanTime)))
	}
}

// BreakerDump is the state dump of a breaker. Its field names are the keys of the dump.
type BreakerDump struct {
	Open    bool
	Running int
	// Failing is the moving average of the share of failed ratings.
	Failing   float64
	TimeLimit time.Duration
}

// Dump returns the state of the breaker, for the state dump.
func (b *Breaker) Dump() BreakerDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BreakerDump{Open: b.open, Running: b.running, Failing: b.failureShare, TimeLimit: b.timeLimit()}
}
