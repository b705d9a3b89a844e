package lavdispatch

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/wire/lavwire"
)

// maxCommitTries bounds how often the conditions of a dispatch are checked before the attempt is abandoned.
const maxCommitTries = 4

// perform admits an attempt and runs it to its answer or refusal.
func (d *Dispatcher) perform(ctx context.Context, run *Run) {
	if refusal := d.admit(ctx, run); refusal != nil {
		d.abandon(run, refusal)
		return
	}
	if run.Attempt.GetIdempotent() {
		d.performIdempotent(ctx, run)
		return
	}
	d.performAtMostOnce(ctx, run)
}

// performIdempotent runs an attempt that may be repeated.
func (d *Dispatcher) performIdempotent(ctx context.Context, run *Run) {
	refusal := d.commit(run, func() (time.Time, *lavwire.Refusal) { return time.Now(), nil })
	if refusal != nil {
		d.abandon(run, refusal)
		return
	}
	buffer, _ := d.receive(ctx, run)
	d.finish(run, buffer)
}

// finish records that the attempt has ended and bills a complete answer.
func (d *Dispatcher) finish(run *Run, buffer *lavanswer.Buffer) {
	now := time.Now()
	d.attempts.End(run.id(), now)
	view := buffer.View(buffer.Length())
	if view.End == nil || view.Head.GetStored() || !run.Attempt.GetBill() {
		return
	}
	usage := view.End.GetUsage()
	bill := lavbill.ForAttempt(run.document, run.Attempt, billedUsage(usage), now)
	if !d.Bills.Add(bill) {
		d.Log.WithField(lavlog.FieldRequest, run.Attempt.GetRequestId()).Error("cannot keep the bill of an attempt; the entry host holds the other copy")
	}
}

// commit commits the attempt to its dispatch when all conditions of the dispatch still hold.
//
// The function recheck returns the time at which its result was valid. When the process was paused between recheck and the
// commit, that time is too old, and commit calls recheck again.
func (d *Dispatcher) commit(run *Run, recheck func() (time.Time, *lavwire.Refusal)) *lavwire.Refusal {
	for range maxCommitTries {
		validAt, refusal := recheck()
		if refusal != nil {
			return refusal
		}
		now := time.Now()
		if refusal := d.decide(run, now); refusal != nil {
			return refusal
		}
		if time.Since(validAt) > d.Limits.ConfirmAfter {
			d.Metrics.Count("Pauses", 1)
			continue
		}
		return d.commitNow(run)
	}
	return storeUnavailable()
}

// commitNow commits the attempt, or returns the refusal of one that is past its deadline or sealed.
func (d *Dispatcher) commitNow(run *Run) *lavwire.Refusal {
	now := time.Now()
	if d.attempts.Commit(run.id(), run.deadline(), now) {
		d.Metrics.Count("Dispatches", 1)
		d.Metrics.Observe("Admission", now.Sub(run.arrivedAt))
		return nil
	}
	if !now.Before(run.deadline()) {
		return deadlinePassed()
	}
	return notRun(lavwire.RefusalKind_REFUSAL_KIND_SEALED, "send a new attempt")
}

// abandon first makes sure that the attempt is never dispatched, and then refuses it. When it may already have been
// dispatched, the run state of the refusal is "in doubt" instead of "not run".
func (d *Dispatcher) abandon(run *Run, refusal *lavwire.Refusal) {
	phase := d.attempts.Abandon(run.id(), time.Now())
	if phase != lavledger.PhaseAbandoned && refusal.GetRunState() == lavwire.RunState_RUN_STATE_NOT_RUN {
		refusal.RunState = lavwire.RunState_RUN_STATE_IN_DOUBT
	}
	run.Buffer.Refuse(refusal)
}

func billedUsage(usage *lavwire.Usage) lavbill.Usage {
	return lavbill.Usage{Input: lavid.Tokens(usage.GetInputTokens()), Output: lavid.Tokens(usage.GetOutputTokens())}
}
