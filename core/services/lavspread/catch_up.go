package lavspread

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavmembership"
)

// catchUpInterval is how long the result of one fetch stands for all who want the same number.
const catchUpInterval = 100 * time.Millisecond

// fetchLimiter lets one fetch at a time run, so that a burst of requests does not become a burst of reads.
type fetchLimiter struct {
	// running guards what follows.
	running    chan struct{}
	lastNumber lavid.ConfigNumber
	lastEnded  time.Time
}

// CatchUp asks the host that named a higher number for it, then the store; callers use it before they act for that host.
func (s *Spreader) CatchUp(ctx context.Context, address string, number lavid.ConfigNumber) bool {
	if s.hasNumber(number) {
		return true
	}
	select {
	case s.fetchLimiter.running <- struct{}{}:
		defer func() { <-s.fetchLimiter.running }()
	case <-ctx.Done():
		return s.hasNumber(number)
	}
	if s.hasNumber(number) || s.fetchLimiter.triedRecently(number, time.Now()) {
		return s.hasNumber(number)
	}
	s.exchange(ctx, lavmembership.Member{Address: address})
	if !s.hasNumber(number) {
		s.readStore(ctx, time.Now())
	}
	s.fetchLimiter.lastNumber, s.fetchLimiter.lastEnded = number, time.Now()
	return s.hasNumber(number)
}

func (s *Spreader) hasNumber(number lavid.ConfigNumber) bool {
	return s.options.Current.Number() >= number
}

// triedRecently tells whether the number, or a higher one, was looked for just before.
func (c *fetchLimiter) triedRecently(number lavid.ConfigNumber, now time.Time) bool {
	return number <= c.lastNumber && now.Sub(c.lastEnded) < catchUpInterval
}
