package main

import (
	"context"
	"sync"
	"sync/atomic"

	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavspread"
)

// store is an in-memory table that counts reads and can be made unavailable.
type store struct {
	mu    sync.RWMutex
	rows  map[string]lavplatform.Row
	down  atomic.Bool
	reads atomic.Int64
}

func newStore() *store {
	return &store{rows: make(map[string]lavplatform.Row)}
}

// Get returns one row, or lavplatform.ErrRowNotExist.
func (s *store) Get(_ context.Context, table, key string) (lavplatform.Row, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return lavplatform.Row{}, lavplatform.ErrStoreUnavailable{Reason: "made unavailable"}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	row, ok := s.rows[key]
	if !ok {
		return row, lavplatform.ErrRowNotExist{Table: table, Key: key}
	}
	return row, nil
}

// Insert writes a row if its key does not exist. Won is also true when the same writer wrote the existing row.
func (s *store) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	if s.down.Load() {
		return lavplatform.WriteResult{}, lavplatform.ErrStoreUnavailable{Reason: "made unavailable"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[insert.Key]
	if !ok {
		row = lavplatform.Row{Table: insert.Table, Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
		s.rows[insert.Key] = row
	}
	return lavplatform.WriteResult{Won: row.Writer == insert.Writer, Row: row}, nil
}

// Scan returns only the newest row, because a host needs no other. Keys sort newest first.
func (s *store) Scan(_ context.Context, _, _ string, _ int) ([]lavplatform.Row, error) {
	s.reads.Add(1)
	if s.down.Load() {
		return nil, lavplatform.ErrStoreUnavailable{Reason: "made unavailable"}
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	newest := ""
	for key := range s.rows {
		if newest == "" || key < newest {
			newest = key
		}
	}
	if newest == "" {
		return nil, nil
	}
	return []lavplatform.Row{s.rows[newest]}, nil
}

var _ lavspread.Rows = (*store)(nil)
