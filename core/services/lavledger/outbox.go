package lavledger

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"lavenderswitch/core/modules/lavlife"
)

const (
	// flushers bounds the writes in progress at once.
	flushers = 16
	// flushInterval separates tries while the store gives no reply.
	flushInterval = 500 * time.Millisecond
)

// Outbox writes outcomes and releases until each stands; it is safe for concurrent use.
type Outbox struct {
	lavlife.DoneSignal
	ledger *Ledger
	limit  int
	mu     sync.Mutex
	rows   []pending
	count  int
	bytes  int
	wake   chan struct{}
}

type pending struct {
	claim Claim
	// answer is nil when the claim is released.
	answer *Answer
}

// pendingBytes is what a row takes besides its body.
const pendingBytes = 512

// NewOutbox returns an outbox that is full at limit bytes.
func NewOutbox(ledger *Ledger, limit int) *Outbox {
	return &Outbox{ledger: ledger, limit: limit, wake: make(chan struct{}, 1)}
}

// Store stores the answer of a claim in the background.
func (o *Outbox) Store(claim Claim, answer Answer) {
	o.add(pending{claim: claim, answer: &answer})
}

// Release gives a claim back in the background.
func (o *Outbox) Release(claim Claim) {
	o.add(pending{claim: claim})
}

func (o *Outbox) add(row pending) {
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

func (p pending) size() int {
	if p.answer == nil {
		return pendingBytes
	}
	return pendingBytes + len(p.answer.Body)
}

// Full tells whether a new call has to be refused because its outcome could not be kept.
func (o *Outbox) Full() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes >= o.limit
}

// Len returns the number of writes that do not stand yet.
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
	tries := pool.New().WithMaxGoroutines(flushers)
	for _, row := range rows {
		tries.Go(func() { o.settle(row, o.try(ctx, row)) })
	}
	tries.Wait()
}

func (o *Outbox) try(ctx context.Context, row pending) error {
	if row.answer == nil {
		return o.ledger.Release(ctx, row.claim)
	}
	return o.ledger.Finish(ctx, row.claim, *row.answer)
}

func (o *Outbox) settle(row pending, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.rows = append(o.rows, row)
		return
	}
	o.count--
	o.bytes -= row.size()
}
