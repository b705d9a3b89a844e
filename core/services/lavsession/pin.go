package lavsession

import (
	"net/url"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

// SessionTable is the table that holds the stored copy of each pin.
const SessionTable = "Session"

// Key identifies a session.
type Key struct {
	Account lavid.AccountID
	Session lavid.SessionID
	// Model is the name in the request: a model, or auto.
	Model string
}

// String returns the row key of a session.
func (k Key) String() string {
	return url.PathEscape(string(k.Account)) + "/" + url.PathEscape(string(k.Session)) + "/" + url.PathEscape(k.Model)
}

// Pin is the version to which a session is pinned.
type Pin struct {
	Version lavid.VersionID
	// Moves counts how often the session was moved to another version.
	Moves int
	// Used is when a request of the session last used the pin.
	Used time.Time
	// Stored reports whether the table service has this pin.
	Stored bool
}

// Proposal asks for the pinned version of a session and proposes one in case the session has no pin.
type Proposal struct {
	Key      Key
	Proposed lavid.VersionID
	// Replaces is the version that may no longer serve; a pin to any other version is kept.
	Replaces lavid.VersionID
}

// Table holds the pins of the sessions that a host owns and evicts the least recently used; it is safe for concurrent
// use.
type Table struct {
	pins *lru.Cache[Key, Pin]
}

// NewTable returns a table of at most size pins.
func NewTable(size int) (*Table, error) {
	pins, err := lru.New[Key, Pin](size)
	if err != nil {
		return nil, errors.Wrap(err, "create the session table: the size must be above zero")
	}
	return &Table{pins: pins}, nil
}

// Get returns the pin of a session, and whether the table has one.
func (t *Table) Get(key Key) (Pin, bool) {
	return t.pins.Get(key)
}

// Store adds or replaces the pin of a session.
func (t *Table) Store(key Key, pin Pin) {
	t.pins.Add(key, pin)
}

// Len returns the number of pins.
func (t *Table) Len() int {
	return t.pins.Len()
}

// Decide returns the pin that results from a proposal and the existing pin, and reports whether the pin changed.
func Decide(existing Pin, exists bool, proposal Proposal, now time.Time) (Pin, bool) {
	if !exists {
		return Pin{Version: proposal.Proposed, Used: now}, true
	}
	if proposal.Replaces != "" && existing.Version == proposal.Replaces {
		return Pin{Version: proposal.Proposed, Moves: existing.Moves + 1, Used: now}, true
	}
	existing.Used = now
	return existing, false
}
