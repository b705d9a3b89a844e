package lavledger

import (
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// Claim identifies an attempt to run a call, and the process and backend server that would run it. Ledger.Seal does not use
// Holder, Server and Claimed.
type Claim struct {
	Account lavid.AccountID
	Request lavid.RequestID
	Attempt lavid.AttemptID
	// Holder is the address of the side process that makes the claim, as IP:port.
	Holder  string
	Process ProcessID
	Server  lavid.BackendServerID
	// Fingerprint is the hash of the request body, by which a request id that is reused with another body is detected.
	Fingerprint uint64
	// Claimed is when the side process made the claim, by its own clock.
	Claimed time.Time
}

// intentEntry returns the entry with which the claim holds the call; it keeps the sealed attempts of the previous entry.
func (c Claim) intentEntry(previous Entry) Entry {
	return Entry{
		State:             StateIntent,
		Attempt:           c.Attempt,
		Holder:            c.Holder,
		Process:           c.Process,
		Server:            c.Server,
		Fingerprint:       c.Fingerprint,
		ClaimedUnixMillis: c.Claimed.UnixMilli(),
		Sealed:            previous.Sealed,
	}
}

// sealedEntry returns the entry of a call that did not run, in which the claim's attempt is sealed besides those of the
// previous entry.
func (c Claim) sealedEntry(previous Entry) Entry {
	return Entry{
		State:       StateSealed,
		Attempt:     c.Attempt,
		Fingerprint: c.Fingerprint,
		Sealed:      previous.Sealed,
	}.withSealed(c.Attempt)
}

// insert returns a write whose writer id is unique to the attempt, process and purpose.
func (c Claim) insert(entry Entry, purpose string) lavplatform.Insert {
	return lavplatform.Insert{
		Table:  LedgerTable,
		Key:    Key(c.Account, c.Request),
		Writer: string(c.Attempt) + "/" + string(c.Process) + "/" + purpose,
		Value:  entry.Encode(),
	}
}
