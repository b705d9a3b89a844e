package lavlife

import (
	"context"
	"sync"
	"time"
)

// DoneSignal is embedded in whatever runs in the background; its done channel closes when the part has ended.
type DoneSignal struct {
	makeOnce  sync.Once
	closeOnce sync.Once
	done      chan struct{}
}

// Done returns the channel that closes when the part has ended.
func (p *DoneSignal) Done() <-chan struct{} {
	p.makeOnce.Do(func() { p.done = make(chan struct{}) })
	return p.done
}

// Finish closes the done channel; further calls do nothing.
func (p *DoneSignal) Finish() {
	p.Done()
	p.closeOnce.Do(func() { close(p.done) })
}

// Pause waits for a length of time, or returns false when ctx ends first.
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

// Tick calls step with the present time at once and then each interval until ctx ends.
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

// Sleep waits for a length of time or until ctx ends.
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
