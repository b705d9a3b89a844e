package lavplatform

import (
	"sync"
	"time"
)

const (
	// breakerThreshold is the number of failures in a row that open the circuit breaker.
	breakerThreshold = 5
	// breakerProbeInterval separates probes while the circuit breaker is open.
	breakerProbeInterval = 300 * time.Millisecond
)

// outcome is how a call ended for the circuit breaker.
type outcome int

const (
	succeeded outcome = iota
	failed
	// abandoned calls were given up by their caller and say nothing of the platform.
	abandoned
)

// breaker refuses calls after several failures in a row and lets one probe through each pause.
type breaker struct {
	mu        sync.Mutex
	failures  int
	nextProbe time.Time
}

// allow tells whether a call may be sent now.
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
