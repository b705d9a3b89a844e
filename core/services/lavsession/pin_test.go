package lavsession

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
)

// TestDecideKeepsThePinUnlessItIsReplaced guards against a session that moves to another version although its own
// version may still serve.
func TestDecideKeepsThePinUnlessItIsReplaced(t *testing.T) {
	now := time.Unix(100, 0)
	existing := Pin{Version: "v1", Stored: true}
	tests := []struct {
		name     string
		exists   bool
		proposal Proposal
		version  string
		changed  bool
	}{
		{"new session gets the proposed version", false, Proposal{Proposed: "v2"}, "v2", true},
		{"session with a pin keeps its version", true, Proposal{Proposed: "v2"}, "v1", false},
		{"withdrawn version is replaced", true, Proposal{Proposed: "v2", Replaces: "v1"}, "v2", true},
		{"replacement of another version changes nothing", true, Proposal{Proposed: "v3", Replaces: "v0"}, "v1", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pin, changed := Decide(existing, test.exists, test.proposal, now)
			is.Equal(string(pin.Version), test.version)
			is.Equal(changed, test.changed)
		})
	}
}

// TestDerivedSessionIsTheSameInLaterTurns guards against a new session id for each turn of a conversation without one.
func TestDerivedSessionIsTheSameInLaterTurns(t *testing.T) {
	is := is.New(t)
	first := DeriveSession(json.RawMessage(`[{"role":"system","content":"s"},{"role":"user","content":"hello"}]`))
	later := DeriveSession(json.RawMessage(`[{"role":"system","content":"s"},{"role":"user","content":"hello"},{"role":"assistant","content":"hi"},{"role":"user","content":"more"}]`))
	other := DeriveSession(json.RawMessage(`[{"role":"system","content":"s"},{"role":"user","content":"good day"}]`))
	is.Equal(first.Session, later.Session)
	is.True(first.First)
	is.True(!later.First)
	is.True(first.Session != other.Session)
	is.Equal(DeriveSession(json.RawMessage(`{`)).Session, lavid.SessionID(""))
}
