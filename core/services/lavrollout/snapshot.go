package lavrollout

import "maps"

// Snapshot is a copy of the state, for restoring it and for the state dump.
type Snapshot struct {
	Rows []Row
}

// Snapshot returns a copy of the state in order of version ids.
func (s *State) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var snapshot Snapshot
	for _, id := range s.ids() {
		snapshot.Rows = append(snapshot.Rows, s.rows[id].clone())
	}
	return snapshot
}

// Restore replaces the state by a snapshot, for example one from another owner. Reports since the last tick are
// discarded.
func (s *State) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.rows)
	clear(s.pending)
	for _, row := range snapshot.Rows {
		s.rows[row.Version] = row.clone()
	}
}

func (r Row) clone() Row {
	r.Failures = r.Failures.clone()
	r.Ratings = r.Ratings.clone()
	r.Beside = r.Beside.clone()
	r.Recent = r.Recent.clone()
	r.Past = r.Past.clone()
	r.Waiting = r.Waiting.clone()
	r.Control = r.Control.clone()
	return r
}

// clone never returns nil, since blocks are written to after a restore.
func (b Blocks) clone() Blocks {
	if b == nil {
		return make(Blocks)
	}
	return maps.Clone(b)
}
