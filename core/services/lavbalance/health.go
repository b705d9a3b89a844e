package lavbalance

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// rampDuration is the time in which a returning server or data centre ramps up to its full share.
	rampDuration = 20 * time.Second
	// initialRampShare is the share at the start of the ramp.
	initialRampShare = 0.1
	// firstPause and maxPause bound the time for which a failed server is excluded.
	firstPause = 500 * time.Millisecond
	maxPause   = 15 * time.Second
	// maxDoublings keeps the doubling of pauses from overflowing.
	maxDoublings = 5
)

// RampShare returns the share of its normal load that a server or data centre may receive after its return to service.
func RampShare(returned, now time.Time) lavid.Share {
	if returned.IsZero() {
		return 1
	}
	passed := now.Sub(returned).Seconds() / rampDuration.Seconds()
	return lavid.Share(min(1, max(initialRampShare, passed)))
}

// Health tracks the failures of one backend server that this host has observed.
type Health struct {
	// Failures is the number of failures since the last success, without those during a pause.
	Failures int
	// FailedUntil is the end of the pause in which the server is not chosen.
	FailedUntil time.Time
	// Returned is the time at which the server answered again after more than one failure; zero when it has not.
	Returned time.Time
}

// AfterFailure returns the health after an attempt got no answer. Failures during a pause are not counted.
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

// AfterSuccess returns the health after an attempt was answered. After more than one failure the server ramps up again.
func (h Health) AfterSuccess(now time.Time) Health {
	if h.Failures > 1 {
		h.Returned = now
	}
	h.Failures = 0
	return h
}

// Usable reports whether the server may be chosen.
func (h Health) Usable(now time.Time) bool {
	return !now.Before(h.FailedUntil)
}
