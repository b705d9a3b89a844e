package main

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavspread"
)

// memoryRows is an in-memory configuration table that counts its reads.
type memoryRows struct {
	mu    sync.Mutex
	rows  map[string]lavplatform.Row
	reads atomic.Int64
}

func newMemoryRows() *memoryRows {
	return &memoryRows{rows: make(map[string]lavplatform.Row)}
}

// seed stores the initial configuration.
func (m *memoryRows) seed(first *lavconfig.Document) error {
	value, err := json.Marshal(lavspread.Accepted{PatchID: "first", Patch: json.RawMessage("[]"), Document: *first})
	if err != nil {
		return errors.Wrap(err, "encode configuration")
	}
	_, err = m.Insert(context.Background(), lavplatform.Insert{Table: lavspread.ConfigTable, Key: lavspread.Key(first.Number), Writer: "first", Value: value})
	return err
}

// Get returns one row, or lavplatform.ErrRowNotExist.
func (m *memoryRows) Get(_ context.Context, table, key string) (lavplatform.Row, error) {
	m.reads.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return lavplatform.Row{}, lavplatform.ErrRowNotExist{Table: table, Key: key}
	}
	return row, nil
}

// Insert writes a row if its key does not exist. Won is also true when the same writer wrote the existing row.
func (m *memoryRows) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if row, ok := m.rows[insert.Key]; ok {
		return lavplatform.WriteResult{Won: row.Writer == insert.Writer, Row: row}, nil
	}
	row := lavplatform.Row{Table: insert.Table, Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
	m.rows[insert.Key] = row
	return lavplatform.WriteResult{Won: true, Row: row}, nil
}

// Scan returns up to limit rows whose keys follow after, in key order.
func (m *memoryRows) Scan(_ context.Context, _, after string, limit int) ([]lavplatform.Row, error) {
	m.reads.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	var keys []string
	for key := range m.rows {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var found []lavplatform.Row
	for _, key := range keys[:min(len(keys), limit)] {
		found = append(found, m.rows[key])
	}
	return found, nil
}
