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
	// flushInterval separates the flushes that repeat unconfirmed writes.
	flushInterval = 500 * time.Millisecond
)

// Outbox writes answers and releases in the background until the table service confirms each; it is safe for concurrent
// use.
type Outbox struct {
	lavlife.DoneSignal
	ledger *Ledger
	// limit is the size in bytes at which Full reports true.
	limit int
	mu    sync.Mutex
	// pending holds the writes that no flush has in progress.
	pending []pendingWrite
	// count and bytes include the writes in progress.
	count int
	bytes int
	wake  chan struct{}
}

type pendingWrite struct {
	claim Claim
	// answer is nil when the claim is released.
	answer *Answer
}

// pendingOverheadBytes is the estimated size of a pending write besides the body of its answer.
const pendingOverheadBytes = 512

// NewOutbox returns an outbox that is full when its pending writes take limit bytes.
func NewOutbox(ledger *Ledger, limit int) *Outbox {
	return &Outbox{ledger: ledger, limit: limit, wake: make(chan struct{}, 1)}
}

// Store adds the answer of a claim; it is written in the background.
func (o *Outbox) Store(claim Claim, answer Answer) {
	o.add(pendingWrite{claim: claim, answer: &answer})
}

// Release adds the release of a claim; it is written in the background.
func (o *Outbox) Release(claim Claim) {
	o.add(pendingWrite{claim: claim})
}

func (o *Outbox) add(pending pendingWrite) {
	o.mu.Lock()
	o.pending = append(o.pending, pending)
	o.count++
	o.bytes += pending.size()
	o.mu.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// size returns the estimated memory of the write in bytes.
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

// Len returns the number of writes that the table service has not confirmed.
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
	batch := o.pending
	o.pending = nil
	o.mu.Unlock()
	tries := pool.New().WithMaxGoroutines(maxConcurrentWrites)
	for _, pending := range batch {
		tries.Go(func() { o.recordResult(pending, o.write(ctx, pending)) })
	}
	tries.Wait()
}

func (o *Outbox) write(ctx context.Context, pending pendingWrite) error {
	if pending.answer == nil {
		return o.ledger.Release(ctx, pending.claim)
	}
	return o.ledger.Finish(ctx, pending.claim, *pending.answer)
}

func (o *Outbox) recordResult(pending pendingWrite, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.pending = append(o.pending, pending)
		return
	}
	o.count--
	o.bytes -= pending.size()
}
