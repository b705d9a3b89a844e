package lavwatch

import (
	"context"
	"time"

	"lavenderswitch/core/modules/lavlife"
)

// backoff pauses between tries and doubles the pause after each, up to a limit.
type backoff struct {
	initial time.Duration
	limit   time.Duration
	next    time.Duration
}

func (w *Watcher) newBackoff() *backoff {
	initial := w.Settings.RetryPause
	return &backoff{initial: initial, limit: max(initial, w.Settings.MaxRetryPause), next: initial}
}

// wait pauses before the next try, or until ctx ends.
func (r *backoff) wait(ctx context.Context) {
	lavlife.Sleep(ctx, r.next)
	r.next = min(2*r.next, r.limit)
}

// reset makes the next pause the shortest again.
func (r *backoff) reset() {
	r.next = r.initial
}
