package lavforward

import (
	"context"
	"sync"
	"time"
)

// watchdog ends a send whose server stands still: it has sent this host nothing at all since the time was started.
type watchdog struct {
	cancel context.CancelFunc
	// silent tells whether the server has sent nothing since a time.
	silent func(since time.Time) bool
	clock  func() time.Time

	mu        sync.Mutex
	timer     *time.Timer
	startedAt time.Time
	timeout   time.Duration
	expired   bool
}

func newWatchdog(cancel context.CancelFunc, silent func(since time.Time) bool, clock func() time.Time) *watchdog {
	return &watchdog{cancel: cancel, silent: silent, clock: clock}
}

// reset starts the time anew.
func (s *watchdog) reset(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expired {
		return
	}
	s.startedAt, s.timeout = s.clock(), timeout
	if s.timer == nil {
		s.timer = time.AfterFunc(timeout, s.check)
		return
	}
	s.timer.Reset(timeout)
}

// check ends the send, or waits on while the server answers others.
func (s *watchdog) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expired {
		return
	}
	now := s.clock()
	if remaining := s.timeout - now.Sub(s.startedAt); remaining > 0 {
		s.timer.Reset(remaining)
		return
	}
	if !s.silent(now.Add(-s.timeout)) {
		s.timer.Reset(s.timeout)
		return
	}
	s.expired = true
	s.cancel()
}

// stop ends the watch.
func (s *watchdog) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// hasFired tells whether the server stood still for too long.
func (s *watchdog) hasFired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expired
}
