package lavledger

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
)

// Settlement is an operator's word on a call in doubt.
type Settlement struct {
	Account lavid.AccountID
	Request lavid.RequestID
	// Attempt is the one that the operator looked into; a row that names another one is left alone.
	Attempt lavid.AttemptID
	// Ran says that the backend server ran the call.
	Ran bool
	// Answer is stored for repeats when the call ran; nil when nobody knows it.
	Answer   *Answer
	Operator string
}

// SettleDelay separates the fencing of a call from its settlement; a holder dispatches earlier or not at all.
const SettleDelay = 5 * time.Second

// Settle ends the doubt about a call: it is Finished when it ran, and Sealed when it did not.
//
// The first settlement as not run fences the call, so that a holder that was
// paused dispatches no more, and asks to look at the backend server again.
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

// PendingCall is a call whose row has an intent and no outcome.
type PendingCall struct {
	Account lavid.AccountID
	Request lavid.RequestID
	Entry   Entry
}

// Page is a part of the calls without outcome.
type Page struct {
	Pending []PendingCall
	// Next is the key after which the next page begins; empty at the end.
	Next string
}

// ListInDoubt returns the calls without outcome among the next limit rows; those whose holder still runs them are among them.
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
