package lavplatform

import (
	"sync"
	"time"
)

const (
	// breakerFailures is the number of failures in a row that open the circuit breaker.
	breakerFailures = 5
	// breakerPause separates probes while the circuit breaker is open.
	breakerPause = 300 * time.Millisecond
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
	mu       sync.Mutex
	failures int
	probe    time.Time
}

// allow tells whether a call may be sent now.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	if now.Before(b.probe) {
		return false
	}
	b.probe = now.Add(breakerPause)
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
		if b.failures == breakerFailures {
			b.probe = now.Add(breakerPause)
		}
	case abandoned:
	}
}
