package lavledger

import (
	"encoding/json"
	"strings"

	"lavenderswitch/core/models/lavid"
)

// LedgerTable holds one row for each call that may not be repeated.
const LedgerTable = "Ledger"

// State is where a call stands.
type State string

// The states of a ledger row.
const (
	// StateIntent says that the holder may dispatch the call, or has done so.
	StateIntent State = "Intent"
	// StateFinished says that the call ran and what it answered.
	StateFinished State = "Finished"
	// StateSealed says that the call did not run; a later attempt may take the row over.
	StateSealed State = "Sealed"
)

// Entry is the value of a ledger row.
type Entry struct {
	State       State
	Attempt     lavid.AttemptID
	Holder      string
	Fingerprint uint64
	Answer      *Answer `json:",omitempty"`
	// SettledBy names the operator who settled a call in doubt.
	SettledBy string `json:",omitempty"`
}

// Answer is the stored answer of a finished call.
type Answer struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// Key returns the row key of a request.
func Key(account lavid.AccountID, request lavid.RequestID) string {
	return strings.ReplaceAll(string(account), "/", "%2F") + "/" + string(request)
}

// Encode returns the row value.
func (e Entry) Encode() json.RawMessage {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return data
}
