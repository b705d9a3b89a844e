package lavforward

import (
	"context"
	"sync"
	"time"
)

// stall ends a send whose server stands still: it has sent this host nothing at all since the time was started.
type stall struct {
	cancel context.CancelFunc
	// silent tells whether the server has sent nothing since a time.
	silent func(since time.Time) bool
	clock  func() time.Time

	mu      sync.Mutex
	timer   *time.Timer
	started time.Time
	length  time.Duration
	ended   bool
}

func newStall(cancel context.CancelFunc, silent func(since time.Time) bool, clock func() time.Time) *stall {
	return &stall{cancel: cancel, silent: silent, clock: clock}
}

// reset starts the time anew.
func (s *stall) reset(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.started, s.length = s.clock(), length
	if s.timer == nil {
		s.timer = time.AfterFunc(length, s.check)
		return
	}
	s.timer.Reset(length)
}

// check ends the send, or waits on while the server answers others.
func (s *stall) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	now := s.clock()
	if left := s.length - now.Sub(s.started); left > 0 {
		s.timer.Reset(left)
		return
	}
	if !s.silent(now.Add(-s.length)) {
		s.timer.Reset(s.length)
		return
	}
	s.ended = true
	s.cancel()
}

// stop ends the watch.
func (s *stall) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// fired tells whether the server stood still for too long.
func (s *stall) fired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}
