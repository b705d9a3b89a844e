package lavdispatch

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/wire/lavwire"
)

// performAtMostOnce runs an attempt of a call that is not idempotent and must run at most once.
func (d *Dispatcher) performAtMostOnce(ctx context.Context, run *Run) {
	if d.Outbox.Full() {
		d.abandon(run, storeUnavailable())
		return
	}
	claim := d.claim(run)
	askedAt := time.Now()
	decision, err := d.Ledger.Acquire(ctx, claim, holderLookup{d})
	d.Metrics.Observe("Claim", time.Since(askedAt))
	if err != nil {
		d.Log.WithError(err).WithField(lavlog.FieldAttempt, claim.Attempt).Warning("cannot claim the call in the ledger; the attempt is abandoned")
		d.abandon(run, storeUnavailable())
		d.Outbox.Release(claim)
		return
	}
	if decision.Action != lavledger.ActionDispatch {
		d.answerFromLedger(run, decision)
		return
	}
	d.dispatchClaimed(ctx, run, claim, askedAt)
}

// dispatchClaimed dispatches the attempt that has claimed the call in the ledger, unless a reason against it has come up
// since the claim.
func (d *Dispatcher) dispatchClaimed(ctx context.Context, run *Run, claim lavledger.Claim, confirmedAt time.Time) {
	usedClaim := false
	refusal := d.commit(run, func() (time.Time, *lavwire.Refusal) {
		// The claim itself is the confirmation for the first try.
		if !usedClaim {
			usedClaim = true
			return confirmedAt, nil
		}
		return d.confirm(ctx, claim)
	})
	if refusal != nil {
		d.abandon(run, refusal)
		d.Outbox.Release(claim)
		return
	}
	buffer, sent := d.receive(ctx, run)
	if !sent {
		d.Outbox.Release(claim)
		return
	}
	d.storeOutcome(buffer, claim)
	d.finish(run, buffer)
	if buffer != run.Buffer {
		buffer.Free()
	}
}

// confirm reads the ledger row again. It returns the time before the read, and a refusal when the attempt must not run.
func (d *Dispatcher) confirm(ctx context.Context, claim lavledger.Claim) (time.Time, *lavwire.Refusal) {
	askedAt := time.Now()
	decision, err := d.Ledger.Confirm(ctx, claim)
	if err != nil {
		return askedAt, storeUnavailable()
	}
	if decision.Action != lavledger.ActionDispatch {
		return askedAt, notRun(lavwire.RefusalKind_REFUSAL_KIND_SEALED, "send a new attempt")
	}
	return askedAt, nil
}

// storeOutcome adds a complete answer to the outbox. Without one, the ledger row keeps the intent and the call is in doubt.
func (d *Dispatcher) storeOutcome(buffer *lavanswer.Buffer, claim lavledger.Claim) {
	view := buffer.View(0)
	if view.End == nil {
		d.Metrics.Count("CallsInDoubt", 1)
		d.Log.WithField(lavlog.FieldRequest, claim.Request).WithField(lavlog.FieldAccount, claim.Account).
			WithField(lavlog.FieldAttempt, claim.Attempt).Warning("backend server returned no complete answer; the call is in doubt until an operator settles it")
		return
	}
	d.Outbox.Store(claim, lavledger.Answer{
		StatusCode:  int(view.Head.GetStatusCode()),
		ContentType: view.Head.GetContentType(),
		Body:        view.Body,
	})
}

func (d *Dispatcher) claim(run *Run) lavledger.Claim {
	return lavledger.Claim{
		Account:     lavid.AccountID(run.Attempt.GetAccountId()),
		Request:     lavid.RequestID(run.Attempt.GetRequestId()),
		Attempt:     run.id(),
		Holder:      d.Holder,
		Process:     d.Process,
		Server:      d.Server,
		Fingerprint: run.Attempt.GetFingerprint(),
		Claimed:     run.arrivedAt,
	}
}

// answerFromLedger answers an attempt that must not run from the call's ledger row.
func (d *Dispatcher) answerFromLedger(run *Run, decision lavledger.Decision) {
	entry := decision.Stored.Entry
	if decision.Action != lavledger.ActionReplay || entry.Answer == nil {
		d.abandon(run, refusalForAction(decision.Action, entry))
		return
	}
	d.attempts.Abandon(run.id(), time.Now())
	run.Buffer.SetHead(&lavwire.Head{
		AttemptId:   string(entry.Attempt),
		StatusCode:  int32(entry.Answer.StatusCode),
		ContentType: entry.Answer.ContentType,
		Stored:      true,
	})
	if run.Buffer.Append(context.Background(), entry.Answer.Body) == nil {
		run.Buffer.Close(&lavwire.Usage{})
	}
}

// refusalForAction returns the refusal of an attempt that must not run, by the ledger's action for it.
func refusalForAction(action lavledger.Action, entry lavledger.Entry) *lavwire.Refusal {
	switch action {
	case lavledger.ActionReplay:
		refusal := notRun(lavwire.RefusalKind_REFUSAL_KIND_REQUEST_SETTLED, "ask the backend server's owner for the answer; the call must not be repeated under a new key")
		refusal.RunState = lavwire.RunState_RUN_STATE_RAN
		return refusal
	case lavledger.ActionMismatch:
		return notRun(lavwire.RefusalKind_REFUSAL_KIND_REQUEST_MISMATCH, "give a request with another body an idempotency key of its own")
	case lavledger.ActionSealed:
		return notRun(lavwire.RefusalKind_REFUSAL_KIND_SEALED, "send a new attempt")
	case lavledger.ActionAttach:
		return &lavwire.Refusal{
			Kind:             lavwire.RefusalKind_REFUSAL_KIND_REQUEST_RUNNING,
			RunState:         lavwire.RunState_RUN_STATE_IN_DOUBT,
			Remedy:           "attach to the holder of the request",
			RetryAfterMillis: retryAfterRunning.Milliseconds(),
			HolderAddress:    entry.Holder,
			HolderAttemptId:  string(entry.Attempt),
		}
	case lavledger.ActionInDoubt:
		return &lavwire.Refusal{
			Kind:             lavwire.RefusalKind_REFUSAL_KIND_REQUEST_IN_DOUBT,
			RunState:         lavwire.RunState_RUN_STATE_IN_DOUBT,
			Remedy:           "ask an operator to settle the request, then repeat it with the same idempotency key",
			RetryAfterMillis: retryAfterDoubt.Milliseconds(),
		}
	default:
		return storeUnavailable()
	}
}

// holderLookup is the lavledger.HolderClient that answers for attempts of this process itself and queries other processes
// over the network.
type holderLookup struct{ dispatcher *Dispatcher }

// Query returns the phase of the entry's attempt at the process that holds it.
func (h holderLookup) Query(ctx context.Context, claim lavledger.Claim, entry lavledger.Entry) lavledger.HolderReport {
	if entry.Process == h.dispatcher.Process {
		phase := h.dispatcher.attempts.Phase(entry.Attempt)
		return lavledger.HolderReport{Reached: true, Process: entry.Process, Phase: phase}
	}
	return h.dispatcher.Holders.Query(ctx, claim, entry)
}
