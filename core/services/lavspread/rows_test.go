package lavspread

import (
	"context"
	"maps"
	"slices"
	"sync"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// memoryRows is a table service in memory that can be made unavailable.
type memoryRows struct {
	mu   sync.Mutex
	rows map[string]lavplatform.Row
	down bool
}

func newMemoryRows() *memoryRows {
	return &memoryRows{rows: make(map[string]lavplatform.Row)}
}

func (m *memoryRows) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *memoryRows) Get(_ context.Context, table, key string) (lavplatform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return lavplatform.Row{}, lavplatform.ErrStoreUnavailable{Reason: "down"}
	}
	row, ok := m.rows[key]
	if !ok {
		return lavplatform.Row{}, lavplatform.ErrRowNotExist{Table: table, Key: key}
	}
	return row, nil
}

func (m *memoryRows) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return lavplatform.WriteResult{}, lavplatform.ErrStoreUnavailable{Reason: "down"}
	}
	if row, ok := m.rows[insert.Key]; ok {
		return lavplatform.WriteResult{Won: row.Writer == insert.Writer, Row: row}, nil
	}
	row := lavplatform.Row{Table: insert.Table, Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
	m.rows[insert.Key] = row
	return lavplatform.WriteResult{Won: true, Row: row}, nil
}

func (m *memoryRows) Scan(_ context.Context, _, after string, limit int) ([]lavplatform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, lavplatform.ErrStoreUnavailable{Reason: "down"}
	}
	var found []lavplatform.Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if key > after && len(found) < limit {
			found = append(found, m.rows[key])
		}
	}
	return found, nil
}

func (m *memoryRows) copy() *memoryRows {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &memoryRows{rows: maps.Clone(m.rows)}
}

func (m *memoryRows) document(number lavid.ConfigNumber) *lavconfig.Document {
	accepted, err := ReadAccepted(context.Background(), m, number)
	if err != nil {
		return (*lavconfig.Document)(nil).WithTables()
	}
	return &accepted.Document
}

func (m *memoryRows) writer(number lavid.ConfigNumber) lavid.PatchID {
	row, _ := m.Get(context.Background(), ConfigTable, Key(number))
	return lavid.PatchID(row.Writer)
}
