package lavspread

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavmembership"
)

// catchUpPause is how long the result of one fetch stands for all who want the same number.
const catchUpPause = 100 * time.Millisecond

// catcher lets one fetch at a time run, so that a burst of requests does not become a burst of reads.
type catcher struct {
	// slot guards what follows.
	slot   chan struct{}
	number lavid.ConfigNumber
	ended  time.Time
}

// CatchUp asks the host that named a higher number for it, then the store; callers use it before they act for that host.
func (s *Spreader) CatchUp(ctx context.Context, address string, number lavid.ConfigNumber) bool {
	if s.has(number) {
		return true
	}
	select {
	case s.catcher.slot <- struct{}{}:
		defer func() { <-s.catcher.slot }()
	case <-ctx.Done():
		return s.has(number)
	}
	if s.has(number) || s.catcher.tried(number, time.Now()) {
		return s.has(number)
	}
	s.exchange(ctx, lavmembership.Member{Address: address})
	if !s.has(number) {
		s.readStore(ctx, time.Now())
	}
	s.catcher.number, s.catcher.ended = number, time.Now()
	return s.has(number)
}

func (s *Spreader) has(number lavid.ConfigNumber) bool {
	return s.options.Current.Number() >= number
}

// tried tells whether the number, or a higher one, was looked for just before.
func (c *catcher) tried(number lavid.ConfigNumber, now time.Time) bool {
	return number <= c.number && now.Sub(c.ended) < catchUpPause
}
