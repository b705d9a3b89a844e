package lavtable

import (
	"cmp"
	"slices"
	"sync"
)

// Table holds rows by id. It is safe for concurrent use.
type Table[ID cmp.Ordered, Row any] struct {
	mu   sync.RWMutex
	rows map[ID]Row
}

// New returns an empty table.
func New[ID cmp.Ordered, Row any]() *Table[ID, Row] {
	return &Table[ID, Row]{rows: make(map[ID]Row)}
}

// Get returns the row of an id, and whether there is one.
func (t *Table[ID, Row]) Get(id ID) (Row, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[id]
	return row, ok
}

// Put stores the row of an id.
func (t *Table[ID, Row]) Put(id ID, row Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[id] = row
}

// Delete removes the row of an id.
func (t *Table[ID, Row]) Delete(id ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, id)
}

// Len returns the number of rows.
func (t *Table[ID, Row]) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}

// IDs returns all ids in ascending order.
func (t *Table[ID, Row]) IDs() []ID {
	t.mu.RLock()
	ids := make([]ID, 0, len(t.rows))
	for id := range t.rows {
		ids = append(ids, id)
	}
	t.mu.RUnlock()
	slices.Sort(ids)
	return ids
}

// Update replaces the row of an id by the result of change and returns it. If there is no row, change gets the zero value.
// The table is locked during the call.
func (t *Table[ID, Row]) Update(id ID, change func(row Row, exists bool) Row) Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, exists := t.rows[id]
	row := change(old, exists)
	t.rows[id] = row
	return row
}

// DeleteIf removes the rows for which match returns true, and returns their number.
func (t *Table[ID, Row]) DeleteIf(match func(id ID, row Row) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.rows)
	for id, row := range t.rows {
		if match(id, row) {
			delete(t.rows, id)
		}
	}
	return before - len(t.rows)
}
