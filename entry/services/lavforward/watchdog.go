package lavforward

import (
	"context"
	"sync"
	"time"
)

// watchdog cancels a send when its timeout has passed and shouldCancel returns true.
type watchdog struct {
	cancel context.CancelFunc
	// shouldCancel reports whether to cancel the send; since is the start of the timeout that has just passed.
	shouldCancel func(since time.Time) bool
	clock        func() time.Time

	mu        sync.Mutex
	timer     *time.Timer
	startedAt time.Time
	timeout   time.Duration
	fired     bool
}

func newWatchdog(cancel context.CancelFunc, shouldCancel func(since time.Time) bool, clock func() time.Time) *watchdog {
	return &watchdog{cancel: cancel, shouldCancel: shouldCancel, clock: clock}
}

// reset restarts the timeout with a new length.
func (w *watchdog) reset(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fired {
		return
	}
	w.startedAt, w.timeout = w.clock(), timeout
	if w.timer == nil {
		w.timer = time.AfterFunc(timeout, w.check)
		return
	}
	w.timer.Reset(timeout)
}

// check cancels the send, or waits for another timeout if shouldCancel returns false.
func (w *watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fired {
		return
	}
	now := w.clock()
	if remaining := w.timeout - now.Sub(w.startedAt); remaining > 0 {
		w.timer.Reset(remaining)
		return
	}
	if !w.shouldCancel(now.Add(-w.timeout)) {
		w.timer.Reset(w.timeout)
		return
	}
	w.fired = true
	w.cancel()
}

// stop stops the timer.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// hasFired reports whether the watchdog has cancelled the send.
func (w *watchdog) hasFired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}
