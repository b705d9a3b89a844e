package lavforward

import (
	"context"
	"sync/atomic"
	"time"
)

// stall ends a send whose server stands still.
type stall struct {
	timer *time.Timer
	ended atomic.Bool
}

func newStall(cancel context.CancelFunc) *stall {
	s := &stall{}
	s.timer = time.AfterFunc(time.Hour, func() {
		s.ended.Store(true)
		cancel()
	})
	s.timer.Stop()
	return s
}

// reset starts the time anew.
func (s *stall) reset(length time.Duration) {
	if !s.ended.Load() {
		s.timer.Reset(length)
	}
}

func (s *stall) stop() { s.timer.Stop() }

// fired tells whether the server stood still for too long.
func (s *stall) fired() bool { return s.ended.Load() }
