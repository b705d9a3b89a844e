package lavwatch

import (
	"context"
	"time"

	"lavenderswitch/core/modules/lavlife"
)

// retry pauses between tries, longer after each.
type retry struct {
	first   time.Duration
	longest time.Duration
	next    time.Duration
}

func (w *Watcher) newRetry() *retry {
	first := w.Settings.RetryPause
	return &retry{first: first, longest: max(first, w.Settings.MaxRetryPause), next: first}
}

// wait pauses before the next try.
func (r *retry) wait(ctx context.Context) {
	lavlife.Sleep(ctx, r.next)
	r.next = min(2*r.next, r.longest)
}

// reset makes the next pause the first again.
func (r *retry) reset() {
	r.next = r.first
}
