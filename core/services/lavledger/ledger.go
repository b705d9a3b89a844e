package lavledger

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavplatform"
)

// Rows is the part of the table service that the ledger needs.
type Rows interface {
	Insert(ctx context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error)
	Swap(ctx context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error)
	Get(ctx context.Context, table, key string) (lavplatform.Row, error)
	Scan(ctx context.Context, table, after string, limit int) ([]lavplatform.Row, error)
}

// Holders asks the process that an entry names, over a new connection.
type Holders interface {
	Ask(ctx context.Context, claim Claim, entry Entry) Report
}

// Limits bound how long the ledger repeats a write whose reply was lost.
type Limits struct {
	// GiveUpAfter bounds all repeats of one write.
	GiveUpAfter time.Duration
	// Pause separates repeats.
	Pause time.Duration
}

// DefaultLimits leave a call that waits on a silent connection time for its second sending.
func DefaultLimits() Limits {
	return Limits{GiveUpAfter: 1500 * time.Millisecond, Pause: 50 * time.Millisecond}
}

// maxRounds bounds how often a claim decides anew because another one changed the row.
const maxRounds = 8

// Ledger reads and writes ledger rows.
type Ledger struct {
	rows   Rows
	limits Limits
}

// New returns a ledger over the table service; it stops waiting for a call within the default limits, but does not cut it off.
func New(rows Rows) *Ledger {
	return NewLimited(patient{rows}, DefaultLimits())
}

// NewLimited returns a ledger with limits of its own whose calls end with their context.
func NewLimited(rows Rows, limits Limits) *Ledger {
	return &Ledger{rows: rows, limits: limits}
}

// Position is the entry of a row and its revision.
type Position struct {
	Entry    Entry
	Revision lavplatform.Revision
	// NotRun is set by Seal when the attempt did not run and never does.
	NotRun bool
}

// Verdict is what a claim has to do.
type Verdict struct {
	Action   Action
	Position Position
}

// Acquire claims a call; only ActionDispatch allows its dispatch.
//
// An error says that the row is not known. The claim's process then has to
// abandon the attempt before it says so, because the intent may still appear.
func (l *Ledger) Acquire(ctx context.Context, claim Claim, holders Holders) (Verdict, error) {
	position, err := l.insert(ctx, claim.insert(claim.intent(Entry{}), "Intent"))
	for range maxRounds {
		if err != nil {
			return Verdict{}, err
		}
		action := Decide(claim, position.Entry)
		if action == ActionAskHolder {
			action = DecideHolder(position.Entry, holders.Ask(ctx, claim, position.Entry))
		}
		if action != ActionTakeOver {
			return Verdict{Action: action, Position: position}, nil
		}
		position, err = l.takeOver(ctx, claim, position)
	}
	if err != nil {
		return Verdict{}, err
	}
	return Verdict{Action: ActionRefuse, Position: position}, nil
}

func (l *Ledger) takeOver(ctx context.Context, claim Claim, found Position) (Position, error) {
	entry := claim.intent(found.Entry)
	if found.Entry.State == StateIntent {
		entry = entry.withSealed(found.Entry.Attempt)
	}
	return l.swap(ctx, claim.insert(entry, "Intent"), found.Revision)
}

// Confirm reads the row again and returns what the claim has to do now; a paused process calls it before dispatch.
func (l *Ledger) Confirm(ctx context.Context, claim Claim) (Verdict, error) {
	position, err := l.read(ctx, claim)
	if err != nil {
		return Verdict{}, err
	}
	action := Decide(claim, position.Entry)
	if action == ActionTakeOver || action == ActionAskHolder {
		action = ActionRefuse
	}
	return Verdict{Action: action, Position: position}, nil
}

// Finish stores the answer of the claim that holds the intent; it is repeated until it returns no error.
func (l *Ledger) Finish(ctx context.Context, claim Claim, answer Answer) error {
	return l.replaceHeld(ctx, claim, "Finished", func(held Entry) Entry {
		held.State = StateFinished
		held.Answer = &answer
		return held
	})
}

// Release gives back the intent of a claim that was abandoned before dispatch, so that another attempt need not ask.
func (l *Ledger) Release(ctx context.Context, claim Claim) error {
	position, err := l.insert(ctx, claim.insert(claim.sealed(Entry{}), "Released"))
	if err != nil || !position.Entry.HeldBy(claim) {
		return err
	}
	return l.replaceHeld(ctx, claim, "Released", claim.sealed)
}

// replaceHeld changes the row while the claim holds it, and does nothing once it does not.
func (l *Ledger) replaceHeld(ctx context.Context, claim Claim, purpose string, change func(held Entry) Entry) error {
	position, err := l.read(ctx, claim)
	for range maxRounds {
		if err != nil || !position.Entry.HeldBy(claim) {
			return err
		}
		position, err = l.swap(ctx, claim.insert(change(position.Entry), purpose), position.Revision)
	}
	if err != nil || !position.Entry.HeldBy(claim) {
		return err
	}
	return errors.Errorf("ledger row %s keeps changing; repeat the write", Key(claim.Account, claim.Request))
}

// Seal makes sure that the claim's attempt never starts, unless it already holds the intent or has run.
//
// The attempt did not run and never does when the returned position says
// NotRun; a Finished entry then holds the answer of another attempt.
func (l *Ledger) Seal(ctx context.Context, claim Claim) (Position, error) {
	position, err := l.insert(ctx, claim.insert(claim.sealed(Entry{}), "Sealed"))
	for range maxRounds {
		if err != nil {
			return Position{}, err
		}
		entry := position.Entry
		done, notRun := sealed(claim, entry)
		if done {
			position.NotRun = notRun
			return position, nil
		}
		position, err = l.swap(ctx, claim.insert(entry.withSealed(claim.Attempt), "Sealed"), position.Revision)
	}
	return Position{}, errors.Errorf("ledger row %s keeps changing; seal the attempt again", Key(claim.Account, claim.Request))
}

// sealed tells whether nothing is left to write, and whether the attempt then counts as not run.
func sealed(claim Claim, entry Entry) (bool, bool) {
	switch {
	case entry.Attempt == claim.Attempt:
		return true, entry.State == StateSealed
	case entry.Forbids(claim.Attempt) || entry.State == StateFinished:
		return true, true
	default:
		return len(entry.Sealed) >= maxSealed, false
	}
}

func (l *Ledger) read(ctx context.Context, claim Claim) (Position, error) {
	return l.repeat(ctx, func(ctx context.Context) (lavplatform.WriteResult, error) {
		row, err := l.rows.Get(ctx, LedgerTable, Key(claim.Account, claim.Request))
		return lavplatform.WriteResult{Row: row}, err
	})
}

func (l *Ledger) insert(ctx context.Context, insert lavplatform.Insert) (Position, error) {
	return l.repeat(ctx, func(ctx context.Context) (lavplatform.WriteResult, error) {
		return l.rows.Insert(ctx, insert)
	})
}

func (l *Ledger) swap(ctx context.Context, insert lavplatform.Insert, revision lavplatform.Revision) (Position, error) {
	return l.repeat(ctx, func(ctx context.Context) (lavplatform.WriteResult, error) {
		return l.rows.Swap(ctx, lavplatform.Swap{Insert: insert, Revision: revision})
	})
}

// repeat makes the same call until its outcome is known or the limits are reached.
func (l *Ledger) repeat(ctx context.Context, call func(ctx context.Context) (lavplatform.WriteResult, error)) (Position, error) {
	ctx, cancel := context.WithTimeout(ctx, l.limits.GiveUpAfter)
	defer cancel()
	for {
		written, err := call(ctx)
		if err == nil {
			return decode(written.Row)
		}
		if !worthRepeating(err) || !pause(ctx, l.limits.Pause) {
			return Position{}, err
		}
	}
}

// worthRepeating tells whether a call may have been sent to a store that still answers others.
func worthRepeating(err error) bool {
	var unavailable lavplatform.ErrStoreUnavailable
	return errors.As(err, &unavailable) && !unavailable.NotSent
}

func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

func decode(row lavplatform.Row) (Position, error) {
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return Position{}, errors.Wrapf(err, "decode ledger row %s; restore the row in the table service", row.Key)
	}
	return Position{Entry: entry, Revision: row.Revision}, nil
}
