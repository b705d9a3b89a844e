package lavplatform

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// batchWindow is how long an insert waits for other inserts to join its batch.
	batchWindow = 2 * time.Millisecond
	// maxBatchRows is the maximum number of rows in one batch.
	maxBatchRows = 200
)

type insertFunc func(ctx context.Context, inserts []Insert) ([]WriteResult, error)

// batcher combines the inserts of concurrent callers into batches of one table each.
type batcher struct {
	send    insertFunc
	flushes conc.WaitGroup
	mu      sync.Mutex
	// open holds the batch of each table that further inserts can join.
	open map[string]*batch
}

// batch is one combined call.
type batch struct {
	inserts []Insert
	// full is closed if an insert does not fit into the batch, which is then sent at once.
	full chan struct{}
	// done is closed once written and err are set.
	done    chan struct{}
	written []WriteResult
	err     error
}

func newBatcher(send insertFunc) *batcher {
	return &batcher{send: send, open: make(map[string]*batch)}
}

// insert adds the rows, which all belong to one table, to a batch and returns their results once the batch has been sent. A
// call with maxBatchRows or more is sent alone.
func (b *batcher) insert(ctx context.Context, inserts []Insert) ([]WriteResult, error) {
	if len(inserts) == 0 {
		return nil, nil
	}
	if len(inserts) >= maxBatchRows {
		return b.send(ctx, inserts)
	}
	shared, offset := b.join(inserts)
	select {
	case <-shared.done:
	case <-ctx.Done():
		return nil, ErrStoreUnavailable{Reason: ctx.Err().Error()}
	}
	if shared.err != nil {
		return nil, shared.err
	}
	return shared.written[offset : offset+len(inserts)], nil
}

// join adds rows to the open batch of their table, or opens a new batch. It returns the index of the first row.
func (b *batcher) join(inserts []Insert) (*batch, int) {
	table := inserts[0].Table
	b.mu.Lock()
	defer b.mu.Unlock()
	shared := b.open[table]
	if shared != nil && len(shared.inserts)+len(inserts) > maxBatchRows {
		close(shared.full)
		shared = nil
	}
	if shared == nil {
		shared = &batch{full: make(chan struct{}), done: make(chan struct{})}
		b.open[table] = shared
		b.flushes.Go(func() { b.flush(table, shared) })
	}
	offset := len(shared.inserts)
	shared.inserts = append(shared.inserts, inserts...)
	return shared, offset
}

// flush sends a batch when its window has passed or it is full.
func (b *batcher) flush(table string, shared *batch) {
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
