package lavwatch

import (
	"context"
	"time"

	"lavenderswitch/core/modules/lavlife"
)

// backoff pauses between tries, longer after each.
type backoff struct {
	initial time.Duration
	limit   time.Duration
	next    time.Duration
}

func (w *Watcher) newBackoff() *backoff {
	initial := w.Settings.RetryPause
	return &backoff{initial: initial, limit: max(initial, w.Settings.MaxRetryPause), next: initial}
}

// wait pauses before the next try.
func (r *backoff) wait(ctx context.Context) {
	lavlife.Sleep(ctx, r.next)
	r.next = min(2*r.next, r.limit)
}

// reset makes the next pause the first again.
func (r *backoff) reset() {
	r.next = r.initial
}
