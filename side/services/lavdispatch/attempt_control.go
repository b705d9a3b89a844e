package lavdispatch

import (
	"context"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/wire/lavwire"
)

// Seal prevents an attempt from being dispatched, unless it already was, and returns its run state.
//
// An attempt that is unknown here may have been dispatched by an earlier process at the same address. For a call that is
// not idempotent, its ledger row then decides.
func (d *Dispatcher) Seal(ctx context.Context, request *lavwire.SealRequest, now time.Time) *lavwire.SealResponse {
	attempt := lavid.AttemptID(request.GetAttemptId())
	switch d.attempts.Seal(attempt, now) {
	case lavledger.PhaseAbandoned:
		return &lavwire.SealResponse{RunState: lavwire.RunState_RUN_STATE_NOT_RUN}
	case lavledger.PhaseDispatched:
		return &lavwire.SealResponse{RunState: lavwire.RunState_RUN_STATE_RAN, Running: true}
	case lavledger.PhaseEnded:
		return &lavwire.SealResponse{RunState: lavwire.RunState_RUN_STATE_RAN}
	default:
		return &lavwire.SealResponse{RunState: d.sealUnknown(ctx, request, now)}
	}
}

// sealUnknown returns the run state of an attempt that this process has not received. An attempt sent while this process was
// running, and recently enough to be remembered, has not been dispatched.
func (d *Dispatcher) sealUnknown(ctx context.Context, request *lavwire.SealRequest, now time.Time) lavwire.RunState {
	age := time.Duration(request.GetSentAgeMillis()) * time.Millisecond
	if age > 0 && age < now.Sub(d.startedAt) && age < d.Limits.KeepAttempts {
		return lavwire.RunState_RUN_STATE_NOT_RUN
	}
	if request.GetIdempotent() {
		return lavwire.RunState_RUN_STATE_IN_DOUBT
	}
	stored, err := d.Ledger.Seal(ctx, lavledger.Claim{
		Account: lavid.AccountID(request.GetAccountId()),
		Request: lavid.RequestID(request.GetRequestId()),
		Attempt: lavid.AttemptID(request.GetAttemptId()),
	})
	if err != nil || !stored.NotRun {
		return lavwire.RunState_RUN_STATE_IN_DOUBT
	}
	return lavwire.RunState_RUN_STATE_NOT_RUN
}

// Locate returns the run state of the attempt that a ledger row names, as this process has recorded it.
func (d *Dispatcher) Locate(request *lavwire.LocateRequest) *lavwire.LocateResponse {
	response := &lavwire.LocateResponse{
		AttemptId: request.GetAttemptId(),
		RunState:  lavwire.RunState_RUN_STATE_IN_DOUBT,
		ProcessId: string(d.Process),
	}
	switch d.attempts.Phase(lavid.AttemptID(request.GetAttemptId())) {
	case lavledger.PhaseClaiming, lavledger.PhaseDispatched:
		response.Running = true
	case lavledger.PhaseEnded:
		response.RunState = lavwire.RunState_RUN_STATE_RAN
	case lavledger.PhaseAbandoned:
		response.RunState = lavwire.RunState_RUN_STATE_NOT_RUN
		response.Abandoned = true
	default:
	}
	return response
}

// Cancel stops an idempotent attempt and returns its run state. For any other attempt, or one without a run, it does nothing
// and returns "in doubt".
func (d *Dispatcher) Cancel(request *lavwire.CancelRequest, now time.Time) *lavwire.CancelResponse {
	run, ok := d.runs.Get(request.GetAttemptId())
	if !ok || !run.Attempt.GetIdempotent() {
		return &lavwire.CancelResponse{RunState: lavwire.RunState_RUN_STATE_IN_DOUBT}
	}
	phase := d.attempts.Seal(run.id(), now)
	run.stop()
	if phase == lavledger.PhaseAbandoned {
		return &lavwire.CancelResponse{RunState: lavwire.RunState_RUN_STATE_NOT_RUN}
	}
	return &lavwire.CancelResponse{RunState: lavwire.RunState_RUN_STATE_RAN}
}

// Attach returns the run of an attempt, or false when there is none to attach to. When an earlier process dispatched the
// attempt, its answer is resumed from the engine.
func (d *Dispatcher) Attach(ctx context.Context, attach *lavwire.Attach, now time.Time) (*Run, bool) {
	if run, ok := d.runs.Get(attach.GetAttemptId()); ok {
		return run, true
	}
	id := lavid.AttemptID(attach.GetAttemptId())
	if attach.GetVersionId() == "" || d.attempts.Phase(id) != lavledger.PhaseUnknown {
		return nil, false
	}
	state, err := d.Backend.ReadState(ctx)
	if err != nil || !slices.Contains(state.Streams, id) {
		return nil, false
	}
	return d.startResumedRun(attach, now), true
}

// resumedRunTimeout bounds the answer of a resumed attempt, because a request to attach carries no deadline.
const resumedRunTimeout = 10 * time.Minute

// startResumedRun starts a run that reads the answer of an attempt from the engine's stream.
func (d *Dispatcher) startResumedRun(attach *lavwire.Attach, now time.Time) *Run {
	attempt := &lavwire.Attempt{
		AttemptId:     attach.GetAttemptId(),
		RequestId:     attach.GetRequestId(),
		AccountId:     attach.GetAccountId(),
		VersionId:     attach.GetVersionId(),
		TimeoutMillis: resumedRunTimeout.Milliseconds(),
		Idempotent:    true,
		Stream:        attach.GetStream(),
	}
	run := d.newRun(attempt, now)
	if !d.attempts.Open(run.id(), now) {
		existing, _ := d.runs.Get(attempt.GetAttemptId())
		return existing
	}
	d.attempts.Commit(run.id(), run.deadline(), now)
	d.runs.Put(attempt.GetAttemptId(), run)
	ctx, cancel := context.WithDeadline(context.Background(), run.deadline())
	run.cancel = cancel
	d.addRunning(1)
	d.goroutines.Go(func() {
		defer cancel()
		d.runGuarded(run, func() {
			d.resumeAnswer(ctx, run)
			d.attempts.End(run.id(), time.Now())
		})
	})
	return run
}
