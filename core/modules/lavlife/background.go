package lavlife

import (
	"context"
	"sync"
	"time"
)

// DoneSignal is embedded in types with a goroutine that runs in the background. The goroutine calls Finish when it ends, and
// others wait for the channel of Done. The zero value is ready to use.
type DoneSignal struct {
	makeOnce  sync.Once
	closeOnce sync.Once
	done      chan struct{}
}

// Done returns a channel that is closed by Finish.
func (s *DoneSignal) Done() <-chan struct{} {
	s.makeOnce.Do(func() { s.done = make(chan struct{}) })
	return s.done
}

// Finish closes the done channel. Further calls have no effect.
func (s *DoneSignal) Finish() {
	s.Done()
	s.closeOnce.Do(func() { close(s.done) })
}

// Pause waits for a duration and reports whether it passed before ctx ended.
func Pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Tick calls step immediately and then once per interval until ctx ends.
func Tick(ctx context.Context, interval time.Duration, step func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	step(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			step(now)
		}
	}
}

// Sleep waits for a duration or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
