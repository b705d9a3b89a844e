package lavbill

import (
	"sync"
)

// MaxPending bounds the unconfirmed bills of a process.
const MaxPending = 100_000

// Pending holds bills until the table service confirms them; it is safe for concurrent use.
type Pending struct {
	mu    sync.Mutex
	limit int
	order []Key
	bills map[Key]Bill
}

// NewPending returns an empty set of at most limit bills.
func NewPending(limit int) *Pending {
	return &Pending{limit: limit, bills: make(map[Key]Bill)}
}

// Add keeps a bill, once for each key, and reports whether the bill is kept; it is not when the set is full.
func (p *Pending) Add(bill Bill) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.bills[bill.Key]; ok {
		return true
	}
	if len(p.bills) >= p.limit {
		return false
	}
	p.bills[bill.Key] = bill
	p.order = append(p.order, bill.Key)
	return true
}

// Full reports whether new work must be refused, because its bill could not be kept.
func (p *Pending) Full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.bills) >= p.limit
}

// Len returns the number of unconfirmed bills.
func (p *Pending) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.bills)
}

// Batch returns up to size bills, oldest first.
func (p *Pending) Batch(size int) []Bill {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := make([]Bill, 0, min(size, len(p.order)))
	for _, key := range p.order[:min(size, len(p.order))] {
		batch = append(batch, p.bills[key])
	}
	return batch
}

// Confirm removes a batch, which must be the oldest bills as returned by Batch.
func (p *Pending) Confirm(batch []Bill) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, bill := range batch {
		delete(p.bills, bill.Key)
	}
	p.order = p.order[len(batch):]
}
