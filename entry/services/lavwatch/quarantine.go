package lavwatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/services/lavquarantine"
)

// quarantineKeepInterval separates two comparisons of what is kept from servers with what is stored.
const quarantineKeepInterval = 500 * time.Millisecond

// QuarantineStore keeps which requests are kept from backend servers.
type QuarantineStore interface {
	Quarantine(ctx context.Context) ([]lavquarantine.Report, error)
	PutQuarantine(ctx context.Context, kept []lavquarantine.Report) error
}

// QuarantineKeeper stores which requests are kept from backend servers, so that hosts know it that start after all others have
// ended. One host writes at a time.
type QuarantineKeeper struct {
	lavlife.DoneSignal
	Table *lavquarantine.Table
	Store QuarantineStore
	// Reads reports whether this host reads the row after its start. Others are told by hosts that do.
	Reads func() bool
	// Writes reports whether this host writes changes.
	Writes func() bool
	// Era returns the era of the store. After a rise, the row may hold an earlier state.
	Era func() lavrevision.Era
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	Log         logrus.FieldLogger
	Clock       func() time.Time

	// hasRead states that the row was read since the start.
	hasRead bool
	// stored is the digest of the row. It is known from a read, and as long as no other host writes.
	stored      uint64
	storedKnown bool
	era         lavrevision.Era
}

// Run reads the row, then writes changes until ctx ends.
func (k *QuarantineKeeper) Run(ctx context.Context) {
	defer k.Finish()
	for ctx.Err() == nil {
		k.step(ctx)
		lavlife.Sleep(ctx, quarantineKeepInterval)
	}
}

// step reads the row if this host has just started or begins to write, and writes it if it differs from what is kept from
// servers.
func (k *QuarantineKeeper) step(ctx context.Context) {
	writes := k.Writes()
	era := k.Era()
	k.storedKnown = k.storedKnown && writes && era == k.era
	k.era = era
	if writes && !k.storedKnown || !k.hasRead && k.Reads() {
		k.readRow(ctx)
	}
	if !writes || !k.storedKnown {
		return
	}
	kept := k.Table.Kept(k.Clock())
	if digest := lavquarantine.Digest(kept); digest != k.stored && k.callStore(ctx, func(ctx context.Context) error { return k.Store.PutQuarantine(ctx, kept) }) {
		k.stored = digest
	}
}

// readRow takes over what was stored, in addition to what this host has seen itself and was told.
func (k *QuarantineKeeper) readRow(ctx context.Context) {
	var kept []lavquarantine.Report
	read := func(ctx context.Context) (err error) {
		kept, err = k.Store.Quarantine(ctx)
		return err
	}
	if !k.callStore(ctx, read) {
		return
	}
	k.Table.Apply(lavquarantine.Findings{Keys: kept}, k.Clock())
	if len(kept) > 0 && !k.hasRead {
		k.Log.WithField("count", len(kept)).Info("stored quarantine read")
	}
	k.hasRead, k.stored, k.storedKnown = true, lavquarantine.Digest(kept), true
}

// callStore makes one call to the store and reports whether it succeeded. It is repeated with the next step.
func (k *QuarantineKeeper) callStore(ctx context.Context, call func(context.Context) error) bool {
	callCtx, cancel := context.WithTimeout(ctx, k.CallTimeout)
	defer cancel()
	if err := call(callCtx); err != nil {
		k.Log.WithError(err).Debug("access to the stored quarantine failed")
		return false
	}
	return true
}
