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

// HolderClient queries the process that an entry names as holder. Each query uses a new connection, because a pooled one
// may have stopped responding.
type HolderClient interface {
	Query(ctx context.Context, claim Claim, entry Entry) HolderReport
}

// Limits bound how long the ledger retries a call whose reply was lost.
type Limits struct {
	// Timeout bounds all tries of one call together.
	Timeout time.Duration
	// RetryInterval separates the tries.
	RetryInterval time.Duration
}

// DefaultLimits returns limits under which a call that got no reply on one connection can be sent a second time.
func DefaultLimits() Limits {
	return Limits{Timeout: 1500 * time.Millisecond, RetryInterval: 50 * time.Millisecond}
}

// maxWriteRounds bounds the attempts of one operation to write a row that other processes keep changing.
const maxWriteRounds = 8

// Ledger reads and writes ledger rows.
type Ledger struct {
	rows   Rows
	limits Limits
}

// New returns a ledger over the table service with the default limits. At a limit the ledger stops waiting for a call but
// does not cancel it.
func New(rows Rows) *Ledger {
	return NewWithLimits(detachedRows{rows}, DefaultLimits())
}

// NewWithLimits returns a ledger with the given limits, whose calls are cancelled when the limits are reached.
func NewWithLimits(rows Rows, limits Limits) *Ledger {
	return &Ledger{rows: rows, limits: limits}
}

// StoredEntry is the entry of a row and its revision.
type StoredEntry struct {
	Entry    Entry
	Revision lavplatform.Revision
	// NotRun is set by Seal when the attempt did not run and never will.
	NotRun bool
}

// Decision is the action of a claim and the stored entry that led to it.
type Decision struct {
	Action Action
	Stored StoredEntry
}

// Acquire claims a call; only ActionDispatch permits the claim to dispatch it.
//
// After an error the state of the row is unknown, and the intent may still be written later. The caller must therefore
// abandon the attempt before it reports that the attempt did not run.
func (l *Ledger) Acquire(ctx context.Context, claim Claim, holders HolderClient) (Decision, error) {
	stored, err := l.insert(ctx, claim.insert(claim.intentEntry(Entry{}), "Intent"))
	for range maxWriteRounds {
		if err != nil {
			return Decision{}, err
		}
		action := Decide(claim, stored.Entry)
		if action == ActionQueryHolder {
			action = DecideFromReport(stored.Entry, holders.Query(ctx, claim, stored.Entry))
		}
		if action != ActionTakeOver {
			return Decision{Action: action, Stored: stored}, nil
		}
		stored, err = l.takeOver(ctx, claim, stored)
	}
	if err != nil {
		return Decision{}, err
	}
	return Decision{Action: ActionRefuse, Stored: stored}, nil
}

// takeOver replaces the row that was found by the intent of the claim; the attempt of an intent that it replaces is sealed.
func (l *Ledger) takeOver(ctx context.Context, claim Claim, found StoredEntry) (StoredEntry, error) {
	entry := claim.intentEntry(found.Entry)
	if found.Entry.State == StateIntent {
		entry = entry.withSealed(found.Entry.Attempt)
	}
	return l.swap(ctx, claim.insert(entry, "Intent"), found.Revision)
}

// Confirm reads the row again and returns the claim's action; a process that was paused calls it before it dispatches.
func (l *Ledger) Confirm(ctx context.Context, claim Claim) (Decision, error) {
	stored, err := l.read(ctx, claim)
	if err != nil {
		return Decision{}, err
	}
	action := Decide(claim, stored.Entry)
	if action == ActionTakeOver || action == ActionQueryHolder {
		action = ActionRefuse
	}
	return Decision{Action: action, Stored: stored}, nil
}

// Finish stores the answer of the claim that holds the intent; the caller repeats it until it returns no error.
func (l *Ledger) Finish(ctx context.Context, claim Claim, answer Answer) error {
	return l.replaceHeld(ctx, claim, "Finished", func(held Entry) Entry {
		held.State = StateFinished
		held.Answer = &answer
		return held
	})
}

// Release seals the attempt of a claim that was abandoned before dispatch and ends its intent, so that another attempt
// can claim the row without a query to the holder.
func (l *Ledger) Release(ctx context.Context, claim Claim) error {
	stored, err := l.insert(ctx, claim.insert(claim.sealedEntry(Entry{}), "Released"))
	if err != nil || !stored.Entry.HeldBy(claim) {
		return err
	}
	return l.replaceHeld(ctx, claim, "Released", claim.sealedEntry)
}

// replaceHeld changes the row while the claim holds it; it does nothing when the claim does not hold it.
func (l *Ledger) replaceHeld(ctx context.Context, claim Claim, purpose string, change func(held Entry) Entry) error {
	stored, err := l.read(ctx, claim)
	for range maxWriteRounds {
		if err != nil || !stored.Entry.HeldBy(claim) {
			return err
		}
		stored, err = l.swap(ctx, claim.insert(change(stored.Entry), purpose), stored.Revision)
	}
	if err != nil || !stored.Entry.HeldBy(claim) {
		return err
	}
	return errors.Errorf("ledger row %s keeps changing; repeat the write", Key(claim.Account, claim.Request))
}

// Seal prevents the claim's attempt from starting, unless the attempt already holds the intent or has run.
//
// When the returned entry has NotRun set, the attempt did not run and never will; a Finished entry then holds the
// answer of another attempt.
func (l *Ledger) Seal(ctx context.Context, claim Claim) (StoredEntry, error) {
	stored, err := l.insert(ctx, claim.insert(claim.sealedEntry(Entry{}), "Sealed"))
	for range maxWriteRounds {
		if err != nil {
			return StoredEntry{}, err
		}
		entry := stored.Entry
		done, notRun := sealResult(claim, entry)
		if done {
			stored.NotRun = notRun
			return stored, nil
		}
		stored, err = l.swap(ctx, claim.insert(entry.withSealed(claim.Attempt), "Sealed"), stored.Revision)
	}
	return StoredEntry{}, errors.Errorf("ledger row %s keeps changing; seal the attempt again", Key(claim.Account, claim.Request))
}

// sealResult reports whether Seal has its result without another write, and whether the attempt then counts as not run.
// An entry with maxSealed sealed attempts takes no more, so the attempt does not count as not run.
func sealResult(claim Claim, entry Entry) (bool, bool) {
	switch {
	case entry.Attempt == claim.Attempt:
		return true, entry.State == StateSealed
	case entry.IsSealed(claim.Attempt) || entry.State == StateFinished:
		return true, true
	default:
		return len(entry.Sealed) >= maxSealed, false
	}
}

func (l *Ledger) read(ctx context.Context, claim Claim) (StoredEntry, error) {
	return l.retry(ctx, func(ctx context.Context) (lavplatform.WriteResult, error) {
		row, err := l.rows.Get(ctx, LedgerTable, Key(claim.Account, claim.Request))
		return lavplatform.WriteResult{Row: row}, err
	})
}

func (l *Ledger) insert(ctx context.Context, insert lavplatform.Insert) (StoredEntry, error) {
	return l.retry(ctx, func(ctx context.Context) (lavplatform.WriteResult, error) {
		return l.rows.Insert(ctx, insert)
	})
}

func (l *Ledger) swap(ctx context.Context, insert lavplatform.Insert, revision lavplatform.Revision) (StoredEntry, error) {
	return l.retry(ctx, func(ctx context.Context) (lavplatform.WriteResult, error) {
		return l.rows.Swap(ctx, lavplatform.Swap{Insert: insert, Revision: revision})
	})
}

// retry makes the same call until it returns a result, an error that is not retryable, or the limits are reached.
func (l *Ledger) retry(ctx context.Context, call func(ctx context.Context) (lavplatform.WriteResult, error)) (StoredEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, l.limits.Timeout)
	defer cancel()
	for {
		written, err := call(ctx)
		if err == nil {
			return decode(written.Row)
		}
		if !isRetryable(err) || !pause(ctx, l.limits.RetryInterval) {
			return StoredEntry{}, err
		}
	}
}

// isRetryable reports whether a call failed without a reply from the table service. A call that was not sent is not retried,
// because the platform client's circuit breaker is open.
func isRetryable(err error) bool {
	var unavailable lavplatform.ErrStoreUnavailable
	return errors.As(err, &unavailable) && !unavailable.NotSent
}

// pause waits for a length of time and reports whether it passed before ctx ended.
func pause(ctx context.Context, length time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(length):
		return true
	}
}

func decode(row lavplatform.Row) (StoredEntry, error) {
	var entry Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return StoredEntry{}, errors.Wrapf(err, "decode ledger row %s; restore the row in the table service", row.Key)
	}
	return StoredEntry{Entry: entry, Revision: row.Revision}, nil
}
