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

type insertFunc func(ctx context.Context, inserts []Insert) ([]WriteResult, error)

// batches gathers the inserts of concurrent callers into shared calls, one table to a call.
type batches struct {
	send insertFunc
	work conc.WaitGroup
	mu   sync.Mutex
	open map[string]*batch
}

// batch is one shared call.
type batch struct {
	inserts []Insert
	full    chan struct{}
	done    chan struct{}
	written []WriteResult
	err     error
}

func newBatches(send insertFunc) *batches {
	return &batches{send: send, open: make(map[string]*batch)}
}

// insert returns the results of the rows once the call that they share has ended.
func (b *batches) insert(ctx context.Context, inserts []Insert) ([]WriteResult, error) {
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

// join adds rows to the open batch of their table, or opens one, and returns the position of the first row in it.
func (b *batches) join(inserts []Insert) (*batch, int) {
	table := inserts[0].Table
	b.mu.Lock()
	defer b.mu.Unlock()
	shared := b.open[table]
	if shared != nil && len(shared.inserts)+len(inserts) > batchRows {
		close(shared.full)
		shared = nil
	}
	if shared == nil {
		shared = &batch{full: make(chan struct{}), done: make(chan struct{})}
		b.open[table] = shared
		b.work.Go(func() { b.flush(table, shared) })
	}
	first := len(shared.inserts)
	shared.inserts = append(shared.inserts, inserts...)
	return shared, first
}

// flush sends a batch when its window has passed or it is full.
func (b *batches) flush(table string, shared *batch) {
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-shared.full:
	}
	b.mu.Lock()
	if b.open[table] == shared {
		delete(b.open, table)
	}
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	shared.written, shared.err = b.send(ctx, shared.inserts)
	close(shared.done)
}
