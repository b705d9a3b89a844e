package lavevidence

import (
	"slices"
	"sync"

	"lavenderswitch/core/models/lavid"
)

// Collector sums the counts of one sender until the owner of their model has confirmed them.
type Collector struct {
	mu      sync.Mutex
	sums    map[Key]Counts
	number  uint64
	pending *Report
}

// NewCollector returns a collector that numbers its reports from first+1. A restarted sender has to pass a number
// not below that of its last report, since reports with older numbers are ignored.
func NewCollector(first uint64) *Collector {
	return &Collector{sums: make(map[Key]Counts), number: first}
}

// Add adds the counts of an answer or of a late rating.
func (c *Collector) Add(count Count) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sums[count.Key] = c.sums[count.Key].Plus(count.Counts)
}

// Next returns the report to send: the unconfirmed one if there is one, else a new one with the counts added since the
// last. It returns false if there are none.
func (c *Collector) Next(sender lavid.HostID) (Report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return *c.pending, true
	}
	if len(c.sums) == 0 {
		return Report{}, false
	}
	c.number++
	c.pending = &Report{Sender: sender, Number: c.number, Counts: sortedCounts(c.sums)}
	c.sums = make(map[Key]Counts)
	return *c.pending, true
}

// Confirm removes the pending report with the number after its owner has merged it.
func (c *Collector) Confirm(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil && c.pending.Number == number {
		c.pending = nil
	}
}

func sortedCounts(sums map[Key]Counts) []Count {
	counts := make([]Count, 0, len(sums))
	for key, sum := range sums {
		counts = append(counts, Count{Key: key, Counts: sum})
	}
	slices.SortFunc(counts, func(a, b Count) int { return a.Compare(b.Key) })
	return counts
}
