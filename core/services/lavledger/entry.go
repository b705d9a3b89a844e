package lavledger

import (
	"encoding/json"
	"net/url"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

// LedgerTable holds one row for each call that may not be repeated.
const LedgerTable = "Ledger"

// maxSealed bounds the attempts that one row can list as sealed.
const maxSealed = 64

// State is where a call stands.
type State string

// The states of a ledger row.
const (
	// StateIntent says that the holder may dispatch the call, or has done so.
	StateIntent State = "Intent"
	// StateFinished says that the call ran and what it answered.
	StateFinished State = "Finished"
	// StateSealed says that the call did not run; an attempt that is not sealed may take the row over.
	StateSealed State = "Sealed"
)

// ProcessID names one run of a side process; a restart gives a new one.
type ProcessID string

// Entry is the value of a ledger row.
type Entry struct {
	State   State
	Attempt lavid.AttemptID
	// Holder is the address of the side process that holds the intent, as IP:port.
	Holder string
	// Process is the run of the holder; its successor at the same address knows nothing of the attempt.
	Process     ProcessID
	Server      lavid.BackendServerID
	Fingerprint uint64
	// ClaimedUnixMillis is when the holder claimed the call, by its own clock.
	ClaimedUnixMillis int64
	// Sealed lists the attempts that may never take the row, whatever its state.
	Sealed []lavid.AttemptID `json:",omitempty"`
	Answer *Answer           `json:",omitempty"`
	// FencedUnixMillis is when an operator forbade the holder to dispatch any more.
	FencedUnixMillis int64 `json:",omitempty"`
	// SettledBy names the operator who settled a call in doubt.
	SettledBy string `json:",omitempty"`
}

// Answer is the stored answer of a finished call.
type Answer struct {
	StatusCode  int
	ContentType string
	Body        []byte
}

// IsSealed tells whether an attempt is sealed.
func (e Entry) IsSealed(attempt lavid.AttemptID) bool {
	return slices.Contains(e.Sealed, attempt)
}

// HeldBy tells whether the claim's own process holds the intent for the claim's attempt.
func (e Entry) HeldBy(claim Claim) bool {
	return e.State == StateIntent && e.Attempt == claim.Attempt && e.Process == claim.Process
}

// withSealed returns a copy that also seals the attempt.
func (e Entry) withSealed(attempt lavid.AttemptID) Entry {
	if !e.IsSealed(attempt) {
		e.Sealed = append(slices.Clone(e.Sealed), attempt)
	}
	return e
}

// Key returns the row key of a request; it has no slash, so that it fits one path segment.
func Key(account lavid.AccountID, request lavid.RequestID) string {
	return url.QueryEscape(string(account)) + ":" + url.QueryEscape(string(request))
}

// ParseKey returns the client account and the request of a row key.
func ParseKey(key string) (lavid.AccountID, lavid.RequestID, error) {
	left, right, ok := strings.Cut(key, ":")
	account, accountErr := url.QueryUnescape(left)
	request, requestErr := url.QueryUnescape(right)
	if !ok || accountErr != nil || requestErr != nil {
		return "", "", errors.Errorf("ledger key %q is not of the form account:request; remove the row from the table service", key)
	}
	return lavid.AccountID(account), lavid.RequestID(request), nil
}

// Encode returns the row value.
func (e Entry) Encode() json.RawMessage {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return data
}
