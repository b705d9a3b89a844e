package lavsession

import (
	"net/url"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

// SessionTable holds one row for each session that outlives its owners.
const SessionTable = "Session"

// Key names a session.
type Key struct {
	Account lavid.AccountID
	Session lavid.SessionID
	// Model is what the caller named, such as a model or auto.
	Model string
}

// String returns the row key of a session.
func (k Key) String() string {
	return url.PathEscape(string(k.Account)) + "/" + url.PathEscape(string(k.Session)) + "/" + url.PathEscape(k.Model)
}

// Pin is the version of a session.
type Pin struct {
	Version lavid.VersionID
	// Moves counts the times that the session had to leave a version.
	Moves int
	Used  time.Time
	// Stored says that the table service has this pin.
	Stored bool
}

// Proposal asks for a session's version.
type Proposal struct {
	Key      Key
	Proposed lavid.VersionID
	// Replaces names the version that may serve no longer; a pin to any other version is kept.
	Replaces lavid.VersionID
}

// Table holds the pins of an owner; the least recently used go first.
type Table struct {
	pins *lru.Cache[Key, Pin]
}

// NewTable returns a table of at most size pins.
func NewTable(size int) (*Table, error) {
	pins, err := lru.New[Key, Pin](size)
	if err != nil {
		return nil, errors.Wrap(err, "make the session table; give a size above zero")
	}
	return &Table{pins: pins}, nil
}

// Get returns the pin that the table has.
func (t *Table) Get(key Key) (Pin, bool) {
	return t.pins.Get(key)
}

// Store keeps a pin.
func (t *Table) Store(key Key, pin Pin) {
	t.pins.Add(key, pin)
}

// Len returns the number of pins.
func (t *Table) Len() int {
	return t.pins.Len()
}

// Decide returns the pin that a proposal leads to, given the known one, and whether it differs from it.
func Decide(known Pin, exists bool, proposal Proposal, now time.Time) (Pin, bool) {
	if !exists {
		return Pin{Version: proposal.Proposed, Used: now}, true
	}
	if proposal.Replaces != "" && known.Version == proposal.Replaces {
		return Pin{Version: proposal.Proposed, Moves: known.Moves + 1, Used: now}, true
	}
	known.Used = now
	return known, false
}
