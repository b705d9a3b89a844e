package lavplatform

import (
	"sync"
	"time"
)

const (
	// breakerThreshold is the number of consecutive failures that opens the circuit breaker.
	breakerThreshold = 5
	// breakerProbeInterval is the time between probes while the circuit breaker is open.
	breakerProbeInterval = 300 * time.Millisecond
)

// outcome is the result of a call as counted by the circuit breaker.
type outcome int

const (
	succeeded outcome = iota
	failed
	// abandoned calls were cancelled by their caller and do not indicate a failure of the platform.
	abandoned
)

// breaker is a circuit breaker. It opens after consecutive failures and then allows one probe per interval.
type breaker struct {
	mu sync.Mutex
	// failures is the number of consecutive failures.
	failures  int
	nextProbe time.Time
}

// allow reports whether a call may be sent now.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold {
		return true
	}
	if now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe = now.Add(breakerProbeInterval)
	return true
}

// record counts the outcome of a call that was sent.
func (b *breaker) record(outcome outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch outcome {
	case succeeded:
		b.failures = 0
	case failed:
		b.failures++
		if b.failures == breakerThreshold {
			b.nextProbe = now.Add(breakerProbeInterval)
		}
	case abandoned:
	}
}
