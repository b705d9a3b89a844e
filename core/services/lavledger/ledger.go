package lavledger

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// Rows is the part of the table service that the ledger needs.
type Rows interface {
	Insert(ctx context.Context, insert lavplatform.Insert) (lavplatform.Written, error)
	Swap(ctx context.Context, swap lavplatform.Swap) (lavplatform.Written, error)
	Get(ctx context.Context, table, key string) (lavplatform.Row, error)
	Scan(ctx context.Context, table, after string, limit int) ([]lavplatform.Row, error)
}

// Ledger reads and writes ledger rows.
type Ledger struct {
	rows Rows
}

// New returns a ledger over the table service.
func New(rows Rows) *Ledger {
	return &Ledger{rows: rows}
}

// Claim names the attempt that wants to run a call.
type Claim struct {
	Account     lavid.AccountID
	Request     lavid.RequestID
	Attempt     lavid.AttemptID
	Holder      string
	Fingerprint uint64
}

// Position is where a call stands and at which revision of its row.
type Position struct {
	Entry    Entry
	Revision lavplatform.Revision
	// Won says that the claim's attempt holds the intent.
	Won bool
}

// Begin writes the intent of a claim; only the attempt that won may dispatch.
func (l *Ledger) Begin(ctx context.Context, claim Claim) (Position, error) {
	written, err := l.rows.Insert(ctx, claim.insert(StateIntent))
	if err != nil {
		return Position{}, err
	}
	position, err := decode(written)
	if err != nil || position.Won || position.Entry.State != StateSealed {
		return position, err
	}
	return l.takeOver(ctx, claim, position)
}

func (l *Ledger) takeOver(ctx context.Context, claim Claim, sealed Position) (Position, error) {
	swap := lavplatform.Swap{Insert: claim.insert(StateIntent), Revision: sealed.Revision}
	written, err := l.rows.Swap(ctx, swap)
	if err != nil {
		return Position{}, err
	}
	return decode(written)
}

// Finish stores the answer of the attempt that holds the intent.
func (l *Ledger) Finish(ctx context.Context, claim Claim, held Position, answer Answer) (Position, error) {
	entry := claim.entry(StateFinished)
	entry.Answer = &answer
	insert := claim.insert(StateFinished)
	insert.Value = entry.Encode()
	written, err := l.rows.Swap(ctx, lavplatform.Swap{Insert: insert, Revision: held.Revision})
	if err != nil {
		return Position{}, err
	}
	return decode(written)
}

// Seal makes sure that no attempt of the request can start any more, unless one already holds the intent.
func (l *Ledger) Seal(ctx context.Context, claim Claim) (Position, error) {
	written, err := l.rows.Insert(ctx, claim.insert(StateSealed))
	if err != nil {
		return Position{}, err
	}
	return decode(written)
}

func (c Claim) entry(state State) Entry {
	return Entry{State: state, Attempt: c.Attempt, Holder: c.Holder, Fingerprint: c.Fingerprint}
}

func (c Claim) insert(state State) lavplatform.Insert {
	return lavplatform.Insert{
		Table:  LedgerTable,
		Key:    Key(c.Account, c.Request),
		Writer: string(c.Attempt) + "/" + string(state),
		Value:  c.entry(state).Encode(),
	}
}

func decode(written lavplatform.Written) (Position, error) {
	var entry Entry
	if err := json.Unmarshal(written.Row.Value, &entry); err != nil {
		return Position{}, errors.Wrapf(err, "decode ledger row %s; restore the row in the table service", written.Row.Key)
	}
	return Position{Entry: entry, Revision: written.Row.Revision, Won: written.Won}, nil
}
