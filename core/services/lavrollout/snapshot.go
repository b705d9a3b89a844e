package lavrollout

import "maps"

// Snapshot is a copy of the state, for its second owner and for the state dump.
type Snapshot struct {
	Rows []Row
}

// Snapshot returns a copy of the state in order of versions.
func (s *State) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var snapshot Snapshot
	for _, id := range s.ids() {
		snapshot.Rows = append(snapshot.Rows, s.rows[id].clone())
	}
	return snapshot
}

// Restore replaces the state by a snapshot, when another owner takes over.
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

// clone never returns nil, since rows are written to after a restore.
func (b Blocks) clone() Blocks {
	if b == nil {
		return make(Blocks)
	}
	return maps.Clone(b)
}
