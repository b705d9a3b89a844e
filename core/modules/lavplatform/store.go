package lavplatform

import (
	"context"
	"encoding/json"

	"lavenderswitch/core/models/lavid"
)

// Revision counts the changes of one row from one.
type Revision uint64

// Row is one row of a table.
type Row struct {
	Table    string
	Key      string
	Revision Revision
	// Writer is the id that the last writer gave; a repeat of its write is recognised by it.
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

// Swap replaces a row if it still has the stated revision.
type Swap struct {
	Insert
	Revision Revision
}

// WriteResult is the result of an Insert or Swap: whether this writer's value stands, and the row that does.
type WriteResult struct {
	Won bool
	Row Row
}

// Store is the platform's table service; every method fails with ErrStoreUnavailable when the outcome is unknown.
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
	// BackendServer is set for hosts of side processes.
	BackendServer lavid.BackendServerID
}

// HostRole is the program that runs on a host.
type HostRole string

// The roles of hosts.
const (
	RoleEntry HostRole = "Entry"
	RoleSide  HostRole = "Side"
)
