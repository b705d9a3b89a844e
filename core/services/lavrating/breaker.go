package lavrating

import (
	"math"
	"sync"
	"time"
)

// BreakerSettings are the constants of asking for ratings before delivery.
type BreakerSettings struct {
	// MaxWait is the longest that one rating is waited for.
	MaxWait time.Duration
	// MinWait is the shortest time limit that is set.
	MinWait time.Duration
	// WaitFactor times the usual time of a rating gives its time limit.
	WaitFactor float64
	// Smoothing is the weight of the newest rating in the usual time and in the part that fails.
	Smoothing float64
	// MaxFailureShare is the part of failed ratings at which the breaker opens.
	MaxFailureShare float64
	// OpenTime is how long the breaker stays open before one rating is tried.
	OpenTime time.Duration
	// MaxRunning bounds the ratings waited for at once.
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

// Breaker decides whether a rating can be asked for before delivery.
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
	return &Breaker{settings: settings, meanTime: settings.MaxWait / 4}
}

// CanCheck says whether plans may count on ratings before delivery.
func (b *Breaker) CanCheck(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mayStart(now)
}

// Start takes a place among the ratings waited for and returns the time limit, or false when none may be asked for.
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

// Finish gives the place back and learns from the rating, which failed when it gave an error or no answer in time.
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

func (b *Breaker) mayStart(now time.Time) bool {
	if b.running >= b.settings.MaxRunning {
		return false
	}
	return !b.open || (!b.probing && !now.Before(b.probeAt))
}

func (b *Breaker) timeLimit() time.Duration {
	scaled := time.Duration(float64(b.meanTime) * b.settings.WaitFactor)
	return max(b.settings.MinWait, min(b.settings.MaxWait, scaled))
}

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

// BreakerDump is the part of the state dump about ratings before delivery.
type BreakerDump struct {
	Open      bool
	Running   int
	Failing   float64
	TimeLimit time.Duration
}

// Dump returns what the breaker knows, for the state dump.
func (b *Breaker) Dump() BreakerDump {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BreakerDump{Open: b.open, Running: b.running, Failing: b.failureShare, TimeLimit: b.timeLimit()}
}
