package lavanswer

import "sync"

// Budget bounds the total bytes that the buffers of a process hold; it is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	freed chan struct{}
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, freed: make(chan struct{})}
}

// reserve reports whether it reserved the bytes; if not, it returns a channel that closes when bytes are released. While
// nothing is reserved any size is granted, so that a block above the limit does not wait forever.
func (b *Budget) reserve(bytes int64) (bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used > 0 && b.used+bytes > b.limit {
		return false, b.freed
	}
	b.used += bytes
	return true, nil
}

// release returns bytes to the budget and wakes the buffers that wait for them.
func (b *Budget) release(bytes int64) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	close(b.freed)
	b.freed = make(chan struct{})
}

// pressureShare is the used share of the limit above which buffers drop bytes that their readers have.
const pressureShare = 0.75

// UnderPressure reports whether more than pressureShare of the budget is used.
func (b *Budget) UnderPressure() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.used) > pressureShare*float64(b.limit)
}

// Used returns the bytes that are reserved now.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
