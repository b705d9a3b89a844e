package lavplatform

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// batchWindow is how long an insert waits for others to share its call.
	batchWindow = 2 * time.Millisecond
	// batchRows bounds the rows of one shared call.
	batchRows = 200
)

type insertFunc func(ctx context.Context, inserts []Insert) ([]Written, error)

// batches gathers the inserts of concurrent callers into shared calls.
type batches struct {
	send insertFunc
	work conc.WaitGroup
	mu   sync.Mutex
	open *batch
}

// batch is one shared call.
type batch struct {
	inserts []Insert
	full    chan struct{}
	done    chan struct{}
	written []Written
	err     error
}

func newBatches(send insertFunc) *batches {
	return &batches{send: send}
}

// insert returns the results of the rows once the call that they share has ended.
func (b *batches) insert(ctx context.Context, inserts []Insert) ([]Written, error) {
	if len(inserts) == 0 {
		return nil, nil
	}
	if len(inserts) >= batchRows {
		return b.send(ctx, inserts)
	}
	shared, first := b.join(inserts)
	select {
	case <-shared.done:
	case <-ctx.Done():
		return nil, ErrStoreUnavailable{Reason: ctx.Err().Error()}
	}
	if shared.err != nil {
		return nil, shared.err
	}
	return shared.written[first : first+len(inserts)], nil
}

// join adds rows to the open batch, or opens one, and returns the position of the first row in it.
func (b *batches) join(inserts []Insert) (*batch, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open != nil && len(b.open.inserts)+len(inserts) > batchRows {
		close(b.open.full)
		b.open = nil
	}
	if b.open == nil {
		b.open = &batch{full: make(chan struct{}), done: make(chan struct{})}
		opened := b.open
		b.work.Go(func() { b.flush(opened) })
	}
	first := len(b.open.inserts)
	b.open.inserts = append(b.open.inserts, inserts...)
	return b.open, first
}

// flush sends a batch when its window has passed or it is full.
func (b *batches) flush(shared *batch) {
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-shared.full:
	}
	b.mu.Lock()
	if b.open == shared {
		b.open = nil
	}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	shared.written, shared.err = b.send(ctx, shared.inserts)
	close(shared.done)
}
