package lavledger

import (
	"encoding/json"
	"net/url"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

// LedgerTable is the table that holds one row for each call that is not idempotent.
const LedgerTable = "Ledger"

// maxSealed bounds the sealed attempts that Seal adds to one row.
const maxSealed = 64

// State is the state of a call in its ledger row.
type State string

// The states of a ledger row.
const (
	// StateIntent means that the holder may dispatch the call or has dispatched it.
	StateIntent State = "Intent"
	// StateFinished means that the call ran; the entry holds its answer, if that is known.
	StateFinished State = "Finished"
	// StateSealed means that the call did not run; an attempt that is not sealed may claim the row.
	StateSealed State = "Sealed"
)

// ProcessID identifies one start of a side process; a restart gives a new id.
type ProcessID string

// Entry is the value of a ledger row.
type Entry struct {
	State   State
	Attempt lavid.AttemptID
	// Holder is the address of the side process that holds the intent, as IP:port.
	Holder string
	// Process identifies the process that holds the intent. A later process at the same address has no record of the
	// attempt.
	Process     ProcessID
	Server      lavid.BackendServerID
	Fingerprint uint64
	// ClaimedUnixMillis is when the holder claimed the call, by the holder's clock.
	ClaimedUnixMillis int64
	// Sealed lists the attempts that may never claim the row, whatever its state.
	Sealed []lavid.AttemptID `json:",omitempty"`
	// Answer is nil unless the call has finished and its answer is known.
	Answer *Answer `json:",omitempty"`
	// FencedUnixMillis is when an operator's settlement forbade the holder to dispatch the call.
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

// IsSealed reports whether an attempt is sealed.
func (e Entry) IsSealed(attempt lavid.AttemptID) bool {
	return slices.Contains(e.Sealed, attempt)
}

// HeldBy reports whether the claim's process holds the intent for the claim's attempt.
func (e Entry) HeldBy(claim Claim) bool {
	return e.State == StateIntent && e.Attempt == claim.Attempt && e.Process == claim.Process
}

// withSealed returns a copy of the entry in which the attempt is sealed too.
func (e Entry) withSealed(attempt lavid.AttemptID) Entry {
	if !e.IsSealed(attempt) {
		e.Sealed = append(slices.Clone(e.Sealed), attempt)
	}
	return e
}

// Key returns the row key of a request. Both ids are escaped, so that the key has no slash and fits one path segment.
func Key(account lavid.AccountID, request lavid.RequestID) string {
	return url.QueryEscape(string(account)) + ":" + url.QueryEscape(string(request))
}

// ParseKey returns the client account and the request of a row key, or an error for a key that Key cannot return.
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
