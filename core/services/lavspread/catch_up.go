package lavspread

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavmembership"
)

// fetchResultTTL is how long the result of a fetch is reused for requests that need the same or a lower number.
const fetchResultTTL = 100 * time.Millisecond

// fetchLimiter allows one fetch at a time, so that a burst of requests does not cause a burst of reads.
type fetchLimiter struct {
	// running is a semaphore of one that guards the fields below.
	running chan struct{}
	// lastNumber is the number that the last fetch was for, and lastEnded is when it ended.
	lastNumber lavid.ConfigNumber
	lastEnded  time.Time
}

// CatchUp fetches a configuration number from the host at address, then from the store, and reports whether this host
// has that number or a higher one afterwards. Callers use it before they act on a request under that number.
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
	if s.hasNumber(number) || s.fetchLimiter.fetchedRecently(number, time.Now()) {
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

// fetchedRecently reports whether a fetch of this number or a higher one ended within fetchResultTTL.
func (l *fetchLimiter) fetchedRecently(number lavid.ConfigNumber, now time.Time) bool {
	return number <= l.lastNumber && now.Sub(l.lastEnded) < fetchResultTTL
}
