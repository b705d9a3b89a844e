package lavwatch

import (
	"context"
	"time"

	"lavenderswitch/core/modules/lavlife"
)

// backoff pauses between tries. It doubles the pause after each try, up to a limit.
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
func (b *backoff) wait(ctx context.Context) {
	lavlife.Sleep(ctx, b.next)
	b.next = min(2*b.next, b.limit)
}

// reset makes the next pause the initial one.
func (b *backoff) reset() {
	b.next = b.initial
}
