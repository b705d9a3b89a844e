package lavplatform

import (
	"context"
	"encoding/json"

	"lavenderswitch/core/models/lavid"
)

// Revision is the number of changes of one row, counted from one.
type Revision uint64

// Row is one row of a table.
type Row struct {
	Table    string
	Key      string
	Revision Revision
	// Writer is the id given by the last writer. The store uses it to recognise a repeated write.
	Writer string
	Value  json.RawMessage
}

// Insert is a row to be written if its key is absent.
type Insert struct {
	Table  string
	Key    string
	Writer string
	Value  json.RawMessage
}

// Swap is a row to be replaced if it still has the given revision.
type Swap struct {
	Insert
	Revision Revision
}

// WriteResult is the result of an Insert or Swap. Won reports whether this writer's value was stored, and Row is the
// stored row.
type WriteResult struct {
	Won bool
	Row Row
}

// Store is the platform's table service. Each method fails with ErrStoreUnavailable if the outcome is unknown.
type Store interface {
	Insert(ctx context.Context, insert Insert) (WriteResult, error)
	InsertAll(ctx context.Context, inserts []Insert) ([]WriteResult, error)
	Swap(ctx context.Context, swap Swap) (WriteResult, error)
	Get(ctx context.Context, table, key string) (Row, error)
	Scan(ctx context.Context, table, after string, limit int) ([]Row, error)
}

// Host is one row of the platform's host list.
type Host struct {
	ID         lavid.HostID
	Role       HostRole
	Address    string
	DataCentre lavid.DataCentreID
	Leaving    bool
	// BackendServer is set only for hosts of side processes.
	BackendServer lavid.BackendServerID
}

// HostRole identifies the program that runs on a host.
type HostRole string

// The roles of hosts.
const (
	RoleEntry HostRole = "Entry"
	RoleSide  HostRole = "Side"
)
