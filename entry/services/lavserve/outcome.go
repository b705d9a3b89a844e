package lavserve

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/core/services/lavretry"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavtrace"
	"lavenderswitch/wire/lavwire"
)

// handleOutcome decides what follows an attempt. It returns true when the answer was delivered, a nil error when another
// attempt may follow, and otherwise the final error.
func (a *stageAttempts) handleOutcome(ctx context.Context, out outcome) (bool, error) {
	if out.err != nil {
		return false, a.interruptedError(ctx)
	}
	if out.result.Refusal == nil && !out.result.Unreachable {
		return true, a.deliver(ctx, out)
	}
	if out.result.Unreachable {
		a.Fleet.RecordFailure(lavid.BackendServerID(out.attempt.GetBackendServerId()), time.Now())
	}
	a.recordRefusal(out)
	if a.request.Idempotent && !notRun(out) {
		a.runState = laverror.InDoubt
	}
	if a.callerReceivedBytes(out) {
		failure := laverror.New(laverror.KindBackendFailed, "the answer broke off and could not be resumed", "repeat the request")
		return false, failure.WithRun(laverror.Ran)
	}
	if err := a.finalError(out); err != nil {
		return false, err
	}
	if err := a.catchUp(ctx, out); err != nil {
		return false, err
	}
	a.exclude(out)
	if notRun(out) || a.request.Idempotent {
		a.Metrics.Count(metricRetries, 1)
		return false, a.spendRetry(refusalClass(out), time.Now())
	}
	return a.resolveInDoubt(ctx, out)
}

// interruptedError returns the error of an attempt that ended because the caller left, the deadline passed or the answer
// could not be written.
func (a *stageAttempts) interruptedError(ctx context.Context) error {
	if ctx.Err() == nil {
		return laverror.New(laverror.KindInternal, "the answer could not be written", "repeat the request").WithRun(laverror.Ran)
	}
	return timeoutError(laverror.InDoubt)
}

// cancel cancels an idempotent attempt at its side process, which frees the backend server.
func (a *stageAttempts) cancel(ctx context.Context, out outcome) {
	if !a.request.Idempotent {
		return
	}
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := a.Attempts.Cancel(background, out.base, out.attempt); err != nil {
		a.logEntry(out).WithError(err).Debug("attempt was not cancelled; it ends with its own timeout")
	}
}

// deliver bills the answer and writes it to the caller if it was buffered.
func (a *stageAttempts) deliver(ctx context.Context, out outcome) error {
	a.Fleet.RecordAnswer(lavid.BackendServerID(out.attempt.GetBackendServerId()), time.Now())
	a.recordBill(ctx, out.attempt, out.base, out.result.Usage, a.stage.checked)
	buffered, ok := out.sink.(*lavrequest.BufferedAnswer)
	if !ok || out.sink == a.stage.sink {
		return nil
	}
	return buffered.Replay(a.stage.sink)
}

// catchUp fetches a newer configuration that the side process reported. It returns an error when the plan is outdated.
func (a *stageAttempts) catchUp(ctx context.Context, out outcome) error {
	refusal := out.result.Refusal
	if number := lavid.ConfigNumber(refusal.GetConfigNumber()); number > a.document.Number {
		server := lavid.BackendServerID(out.attempt.GetBackendServerId())
		a.Peers.CatchUp(ctx, a.document.BackendServers[server].SideAddress, number)
		a.document = a.Configs.Document()
	}
	switch refusal.GetKind() {
	case lavwire.RefusalKind_REFUSAL_KIND_VERSION_WITHDRAWN, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED:
		return newPlanOutdated()
	default:
		return nil
	}
}

// callerReceivedBytes reports whether the caller has received bytes of the attempt's answer.
func (a *stageAttempts) callerReceivedBytes(out outcome) bool {
	reporter, ok := a.stage.sink.(lavrequest.StartReporter)
	return ok && out.sink == a.stage.sink && reporter.Started()
}

// notRun reports whether the side process states that the attempt did not run.
func notRun(out outcome) bool {
	return out.result.Refusal.GetRunState() == lavwire.RunState_RUN_STATE_NOT_RUN
}

// exclude removes a server that refused or failed from the next choice and records the shortest stated retry time.
func (a *stageAttempts) exclude(out outcome) {
	a.requirements.Excluded = append(a.requirements.Excluded, lavid.BackendServerID(out.attempt.GetBackendServerId()))
	if refusalClass(out) == lavretry.Full {
		a.serverFull = true
	}
	after := time.Duration(out.result.Refusal.GetRetryAfterMillis()) * time.Millisecond
	if after > 0 && (a.retryAfter == 0 || after < a.retryAfter) {
		a.retryAfter = after
	}
}

// refusalClass classifies a failed attempt, which decides whether a retry is taken from the retry budget.
func refusalClass(out outcome) lavretry.Refusal {
	if !notRun(out) {
		return lavretry.Unreachable
	}
	switch out.result.Refusal.GetKind() {
	case lavwire.RefusalKind_REFUSAL_KIND_SERVER_FULL:
		return lavretry.Full
	case lavwire.RefusalKind_REFUSAL_KIND_SEALED, lavwire.RefusalKind_REFUSAL_KIND_STORE_UNAVAILABLE:
		return lavretry.Unreachable
	default:
		return lavretry.StaleSender
	}
}

func (a *stageAttempts) recordRefusal(out outcome) {
	reason := "side process does not answer"
	if out.result.Refusal != nil {
		reason = out.result.Refusal.GetKind().String() + " " + out.result.Refusal.GetRunState().String()
	}
	server := lavid.BackendServerID(out.attempt.GetBackendServerId())
	a.traceStep(lavtrace.Step{Kind: lavtrace.StepRefused, Server: server, Version: a.stage.version, Reason: reason})
	a.logEntry(out).WithField("reason", reason).Info("attempt gave no answer")
	if a.stage.version != "" && !notRun(out) {
		a.Raters.Failed(a.request, a.evidenceKey)
	}
}

func (a *stageAttempts) logEntry(out outcome) *logrus.Entry {
	return a.Log.WithFields(logrus.Fields{
		lavlog.FieldRequest: a.request.ID,
		lavlog.FieldAccount: a.request.Account,
		lavlog.FieldAttempt: out.attempt.GetAttemptId(),
		lavlog.FieldServer:  out.attempt.GetBackendServerId(),
		lavlog.FieldConfig:  a.document.Number,
	})
}

// resolveInDoubt handles an attempt that may have run a call that may run at most once. Its results
// are those of handleOutcome.
func (a *stageAttempts) resolveInDoubt(ctx context.Context, out outcome) (bool, error) {
	if out.result.Refusal.GetKind() == lavwire.RefusalKind_REFUSAL_KIND_REQUEST_RUNNING {
		return a.attachToHolder(ctx, out)
	}
	if !out.result.Unreachable {
		return false, inDoubtError()
	}
	stored, err := a.seal(ctx, out)
	if err != nil {
		return false, inDoubtError()
	}
	switch {
	case stored.Entry.State == lavledger.StateFinished && stored.Entry.Answer != nil:
		return true, a.deliverStored(ctx, out, stored.Entry.Answer)
	case stored.NotRun:
		a.traceStep(lavtrace.Step{Kind: lavtrace.StepSealed, Attempt: lavid.AttemptID(out.attempt.GetAttemptId())})
		a.Metrics.Count(metricRetries, 1)
		return false, nil
	default:
		return false, inDoubtError()
	}
}

// seal writes a sealed row to the ledger, which takes precedence over any later intent of the lost attempt.
func (a *stageAttempts) seal(ctx context.Context, out outcome) (lavledger.StoredEntry, error) {
	a.Metrics.Count(metricSeals, 1)
	return a.Seals.Seal(ctx, lavledger.Claim{
		Account:     a.request.Account,
		Request:     a.request.ID,
		Attempt:     lavid.AttemptID(out.attempt.GetAttemptId()),
		Holder:      string(a.Host),
		Fingerprint: a.request.Fingerprint,
	})
}

// attachToHolder waits for the answer at the side process that already runs the call.
func (a *stageAttempts) attachToHolder(ctx context.Context, out outcome) (bool, error) {
	refusal := out.result.Refusal
	if refusal.GetHolderAddress() == "" {
		return false, inDoubtError()
	}
	a.traceStep(lavtrace.Step{Kind: lavtrace.StepAttached, Attempt: lavid.AttemptID(refusal.GetHolderAttemptId())})
	running := &lavwire.Attempt{AttemptId: refusal.GetHolderAttemptId(), RequestId: out.attempt.GetRequestId(), AccountId: out.attempt.GetAccountId()}
	buffered := &lavrequest.BufferedAnswer{}
	result, err := a.Attempts.Attach(ctx, a.Scheme+refusal.GetHolderAddress(), running, buffered)
	if err != nil || result.Refusal != nil || result.Unreachable {
		return false, inDoubtError()
	}
	a.recordBill(ctx, out.attempt, out.base, result.Usage, false)
	return true, buffered.Replay(a.stage.sink)
}

// deliverStored delivers an answer from the ledger. The ledger holds no usage, so that the bill states no tokens.
func (a *stageAttempts) deliverStored(ctx context.Context, out outcome, answer *lavledger.Answer) error {
	a.recordBill(ctx, out.attempt, out.base, lavrequest.Usage{}, false)
	buffered := &lavrequest.BufferedAnswer{
		AnswerHead: lavrequest.Head{StatusCode: answer.StatusCode, ContentType: answer.ContentType, Stored: true},
		Body:       answer.Body,
	}
	return buffered.Replay(a.stage.sink)
}

func inDoubtError() error {
	final := laverror.New(laverror.KindInDoubt, "the call may have run", "repeat it with the same Idempotency-Key, which never runs it twice")
	return final.WithRun(laverror.InDoubt).WithRetryAfter(retryAfterShort)
}
