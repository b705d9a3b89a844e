package lavforward

import (
	"context"
	"sync"
	"time"
)

// watchdog cancels a send when its timeout has passed and its server counts as silent.
type watchdog struct {
	cancel context.CancelFunc
	// silent reports whether the server counts as silent since the given time.
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

// reset restarts the timeout with a new length.
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

// check cancels the send, or waits for another timeout if the server is not silent.
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

// stop stops the timer.
func (s *watchdog) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// hasFired reports whether the watchdog has cancelled the send.
func (s *watchdog) hasFired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expired
}
