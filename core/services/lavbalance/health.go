package lavbalance

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// rampDuration is how long a returning server or data centre takes to its whole part.
	rampDuration = 20 * time.Second
	// initialRampShare is the part taken at once.
	initialRampShare = 0.1
	// firstPause and longestPause bound the time that a failed server is left out.
	firstPause = 500 * time.Millisecond
	maxPause   = 15 * time.Second
	// maxDoublings keeps the doubling of pauses in range.
	maxDoublings = 5
)

// RampShare returns the part of its usual work that something returned at a time may take now.
func RampShare(returned, now time.Time) lavid.Share {
	if returned.IsZero() {
		return 1
	}
	passed := now.Sub(returned).Seconds() / rampDuration.Seconds()
	return lavid.Share(min(1, max(initialRampShare, passed)))
}

// Health tracks the failures of one backend server as this host sees them.
type Health struct {
	Failures    int
	FailedUntil time.Time
	// Returned is when the server answered again after failures, or when it came back into service.
	Returned time.Time
}

// AfterFailure returns the health after an attempt got no answer.
func (h Health) AfterFailure(now time.Time) Health {
	if now.Before(h.FailedUntil) {
		return h
	}
	pause := firstPause << min(h.Failures, maxDoublings)
	h.Failures++
	h.FailedUntil = now.Add(min(pause, maxPause))
	h.Returned = time.Time{}
	return h
}

// AfterSuccess returns the health after an attempt was answered.
func (h Health) AfterSuccess(now time.Time) Health {
	if h.Failures > 1 {
		h.Returned = now
	}
	h.Failures = 0
	return h
}

// Usable tells whether the server may be chosen.
func (h Health) Usable(now time.Time) bool {
	return !now.Before(h.FailedUntil)
}
