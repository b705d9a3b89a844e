package lavledger

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"lavenderswitch/core/modules/lavlife"
)

const (
	// maxConcurrentWrites bounds the writes in progress at once.
	maxConcurrentWrites = 16
	// flushInterval separates tries while the store gives no reply.
	flushInterval = 500 * time.Millisecond
)

// Outbox writes answers and releases in the background until the store confirms each; it is safe for concurrent use.
type Outbox struct {
	lavlife.DoneSignal
	ledger *Ledger
	limit  int
	mu     sync.Mutex
	rows   []pendingWrite
	count  int
	bytes  int
	wake   chan struct{}
}

type pendingWrite struct {
	claim Claim
	// answer is nil when the claim is released.
	answer *Answer
}

// pendingOverheadBytes is the estimated size of a pending write besides the body of its answer.
const pendingOverheadBytes = 512

// NewOutbox returns an outbox that is full at limit bytes.
func NewOutbox(ledger *Ledger, limit int) *Outbox {
	return &Outbox{ledger: ledger, limit: limit, wake: make(chan struct{}, 1)}
}

// Store stores the answer of a claim in the background.
func (o *Outbox) Store(claim Claim, answer Answer) {
	o.add(pendingWrite{claim: claim, answer: &answer})
}

// Release releases a claim in the background.
func (o *Outbox) Release(claim Claim) {
	o.add(pendingWrite{claim: claim})
}

func (o *Outbox) add(row pendingWrite) {
	o.mu.Lock()
	o.rows = append(o.rows, row)
	o.count++
	o.bytes += row.size()
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (p pendingWrite) size() int {
	if p.answer == nil {
		return pendingOverheadBytes
	}
	return pendingOverheadBytes + len(p.answer.Body)
}

// Full reports whether a new call has to be refused, because the outbox has no memory left for its answer.
func (o *Outbox) Full() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes >= o.limit
}

// Len returns the number of writes that the store has not confirmed.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

// Run flushes until ctx ends.
func (o *Outbox) Run(ctx context.Context) {
	defer o.Finish()
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-o.wake:
		}
		o.Flush(ctx)
	}
}

// Flush tries every pending write once and keeps those that fail.
func (o *Outbox) Flush(ctx context.Context) {
	o.mu.Lock()
	rows := o.rows
	o.rows = nil
	o.mu.Unlock()
	tries := pool.New().WithMaxGoroutines(maxConcurrentWrites)
	for _, row := range rows {
		tries.Go(func() { o.recordResult(row, o.write(ctx, row)) })
	}
	tries.Wait()
}

func (o *Outbox) write(ctx context.Context, row pendingWrite) error {
	if row.answer == nil {
		return o.ledger.Release(ctx, row.claim)
	}
	return o.ledger.Finish(ctx, row.claim, *row.answer)
}

func (o *Outbox) recordResult(row pendingWrite, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.rows = append(o.rows, row)
		return
	}
	o.count--
	o.bytes -= row.size()
}
