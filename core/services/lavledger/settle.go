package lavledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
)

// Settlement is an operator's decision on a call in doubt.
type Settlement struct {
	Account lavid.AccountID
	Request lavid.RequestID
	// Attempt is the attempt that the operator investigated; a row that names another attempt is not changed.
	Attempt lavid.AttemptID
	// Ran states that the backend server ran the call.
	Ran bool
	// Answer is returned to repeats of a call that ran; it is nil when the answer is unknown.
	Answer   *Answer
	Operator string
}

// SettleDelay is the time between the fencing of a call and its settlement as not run. A holder that confirmed its
// intent before the fencing dispatches the call within this time or never.
const SettleDelay = 5 * time.Second

// Settle resolves a call in doubt: its row becomes Finished when the call ran, and Sealed when it did not.
//
// The first settlement as not run only fences the call and returns an error that asks the operator to look at the
// backend server again. The fence prevents a holder that was paused from dispatching the call afterwards.
func (l *Ledger) Settle(ctx context.Context, settlement Settlement, now time.Time) (StoredEntry, error) {
	claim := Claim{Account: settlement.Account, Request: settlement.Request, Attempt: settlement.Attempt}
	stored, err := l.read(ctx, claim)
	if err != nil {
		return StoredEntry{}, err
	}
	entry := stored.Entry
	if entry.State != StateIntent || entry.Attempt != settlement.Attempt {
		return stored, conflictError(entry)
	}
	if !settlement.Ran && !entry.IsSealed(settlement.Attempt) {
		return l.fence(ctx, claim, stored, now)
	}
	if wait := time.UnixMilli(entry.FencedUnixMillis).Add(SettleDelay).Sub(now); !settlement.Ran && wait > 0 {
		return stored, fencedError(wait)
	}
	settled := settlement.applyTo(entry)
	written, err := l.swap(ctx, claim.insert(settled, "Settled/"+settlement.Operator), stored.Revision)
	if err != nil {
		return StoredEntry{}, err
	}
	if written.Entry.State != settled.State {
		return written, conflictError(written.Entry)
	}
	return written, nil
}

// fence seals the attempt that holds the intent, and returns an error that states when the call may be settled.
func (l *Ledger) fence(ctx context.Context, claim Claim, held StoredEntry, now time.Time) (StoredEntry, error) {
	entry := held.Entry.withSealed(claim.Attempt)
	entry.FencedUnixMillis = now.UnixMilli()
	stored, err := l.swap(ctx, claim.insert(entry, "Fenced"), held.Revision)
	if err != nil {
		return StoredEntry{}, err
	}
	return stored, fencedError(SettleDelay)
}

func fencedError(wait time.Duration) error {
	message := "the call is fenced, but its holder may have dispatched it just before"
	remedy := "look at the backend server once more and settle the call again after the stated time"
	return laverror.New(laverror.KindInDoubt, message, remedy).WithRun(laverror.InDoubt).WithRetryAfter(wait)
}

// applyTo returns the entry of the call after the settlement.
func (s Settlement) applyTo(held Entry) Entry {
	held.SettledBy = s.Operator
	if s.Ran {
		held.State = StateFinished
		held.Answer = s.Answer
		return held
	}
	held.State = StateSealed
	return held.withSealed(s.Attempt)
}

func conflictError(entry Entry) error {
	message := "call is not in doubt under this attempt: its row is " + string(entry.State) + " under attempt " + string(entry.Attempt)
	return laverror.New(laverror.KindConflict, message, "list the calls in doubt again")
}

// PendingCall is a call whose row is in StateIntent.
type PendingCall struct {
	Account lavid.AccountID
	Request lavid.RequestID
	Entry   Entry
}

// Page is a part of the list of pending calls.
type Page struct {
	Pending []PendingCall
	// Next is the key to pass as after for the next page; it is empty at the end.
	Next string
}

// ListInDoubt reads up to limit rows after a key and returns the pending calls among them. They include calls that their
// holders still run, because a row does not show whether its holder is alive.
func (l *Ledger) ListInDoubt(ctx context.Context, after string, limit int) (Page, error) {
	rows, err := l.rows.Scan(ctx, LedgerTable, after, limit)
	if err != nil {
		return Page{}, errors.Wrap(err, "list ledger rows")
	}
	var page Page
	for _, row := range rows {
		stored, err := decode(row)
		if err != nil {
			return Page{}, err
		}
		account, request, err := ParseKey(row.Key)
		if err != nil {
			return Page{}, err
		}
		if stored.Entry.State == StateIntent {
			page.Pending = append(page.Pending, PendingCall{Account: account, Request: request, Entry: stored.Entry})
		}
	}
	if len(rows) == limit && limit > 0 {
		page.Next = rows[len(rows)-1].Key
	}
	return page, nil
}
