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

// settle decides what follows an attempt: the answer is done, another attempt may start, or a final error.
func (t *tries) settle(ctx context.Context, out outcome) (bool, error) {
	if out.err != nil {
		return false, t.abandon(ctx)
	}
	if out.result.Refusal == nil && !out.result.Unreachable {
		return true, t.deliver(ctx, out)
	}
	if out.result.Unreachable {
		t.Fleet.RecordFailure(lavid.BackendServerID(out.attempt.GetBackendServerId()), time.Now())
	}
	t.noteRefusal(out)
	if t.request.Idempotent && !notRun(out) {
		t.run = laverror.InDoubt
	}
	if t.callerSawBytes(out) {
		message := laverror.New(laverror.KindBackendFailed, "the answer broke off and could not be resumed", "repeat the request")
		return false, message.WithRun(laverror.Ran)
	}
	if err := t.final(out); err != nil {
		return false, err
	}
	if err := t.catchUp(ctx, out); err != nil {
		return false, err
	}
	t.exclude(out)
	if notRun(out) || t.request.Idempotent {
		t.Metrics.Count(metricRetries, 1)
		return false, t.spend(reasonOf(out), time.Now())
	}
	return t.settleOnce(ctx, out)
}

// abandon ends a request whose caller is gone or whose time is over.
func (t *tries) abandon(ctx context.Context) error {
	if ctx.Err() == nil {
		return laverror.New(laverror.KindInternal, "the answer could not be written", "repeat the request").WithRun(laverror.Ran)
	}
	return timedOut(laverror.InDoubt)
}

// cancel frees the backend server of an idempotent attempt whose answer nobody waits for.
func (t *tries) cancel(ctx context.Context, out outcome) {
	if !t.request.Idempotent {
		return
	}
	background, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := t.Attempts.Cancel(background, out.base, out.attempt); err != nil {
		t.entry(out).WithError(err).Debug("attempt was not cancelled; it ends with its own timeout")
	}
}

// deliver bills the answer, then passes it on if it was kept.
func (t *tries) deliver(ctx context.Context, out outcome) error {
	t.Fleet.RecordAnswer(lavid.BackendServerID(out.attempt.GetBackendServerId()), time.Now())
	t.bill(ctx, out.attempt, out.base, out.result.Usage, t.stage.checked)
	whole, ok := out.sink.(*lavrequest.Whole)
	if !ok || out.sink == t.stage.sink {
		return nil
	}
	return whole.Replay(t.stage.sink)
}

// catchUp adopts a higher configuration that the side process named; the error says that the plan no longer holds.
func (t *tries) catchUp(ctx context.Context, out outcome) error {
	refusal := out.result.Refusal
	if number := lavid.ConfigNumber(refusal.GetConfigNumber()); number > t.document.Number {
		server := lavid.BackendServerID(out.attempt.GetBackendServerId())
		t.Peers.CatchUp(ctx, t.document.BackendServers[server].SideAddress, number)
		t.document = t.Configs.Document()
	}
	switch refusal.GetKind() {
	case lavwire.RefusalKind_REFUSAL_KIND_VERSION_WITHDRAWN, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED:
		return planOutdated()
	default:
		return nil
	}
}

func (t *tries) callerSawBytes(out outcome) bool {
	starter, ok := t.stage.sink.(lavrequest.Starter)
	return ok && out.sink == t.stage.sink && starter.Started()
}

func notRun(out outcome) bool {
	return out.result.Refusal.GetRunState() == lavwire.RunState_RUN_STATE_NOT_RUN
}

// exclude keeps a server that refused or failed out of the next choice and remembers when it wants a retry.
func (t *tries) exclude(out outcome) {
	t.need.Excluded = append(t.need.Excluded, lavid.BackendServerID(out.attempt.GetBackendServerId()))
	if reasonOf(out) == lavretry.Full {
		t.full = true
	}
	after := time.Duration(out.result.Refusal.GetRetryAfterMillis()) * time.Millisecond
	if after > 0 && (t.retryAfter == 0 || after < t.retryAfter) {
		t.retryAfter = after
	}
}

// reasonOf sorts a failed attempt by what a further one costs.
func reasonOf(out outcome) lavretry.Refusal {
	if !notRun(out) {
		return lavretry.Unreachable
	}
	switch out.result.Refusal.GetKind() {
	case lavwire.RefusalKind_REFUSAL_KIND_SERVER_FULL:
		return lavretry.Full
	case lavwire.RefusalKind_REFUSAL_KIND_SEALED, lavwire.RefusalKind_REFUSAL_KIND_STORE_UNAVAILABLE:
		return lavretry.Unreachable
	default:
		return lavretry.Behind
	}
}

func (t *tries) noteRefusal(out outcome) {
	reason := "side process does not answer"
	if out.result.Refusal != nil {
		reason = out.result.Refusal.GetKind().String() + " " + out.result.Refusal.GetRunState().String()
	}
	server := lavid.BackendServerID(out.attempt.GetBackendServerId())
	t.note(lavtrace.Step{Kind: lavtrace.StepRefused, Server: server, Version: t.stage.version, Reason: reason})
	t.entry(out).WithField("reason", reason).Info("attempt gave no answer")
	if t.stage.version != "" && !notRun(out) {
		t.Raters.Failed(t.request, t.key)
	}
}

func (t *tries) entry(out outcome) *logrus.Entry {
	return t.Log.WithFields(logrus.Fields{
		lavlog.FieldRequest: t.request.ID,
		lavlog.FieldAccount: t.request.Account,
		lavlog.FieldAttempt: out.attempt.GetAttemptId(),
		lavlog.FieldServer:  out.attempt.GetBackendServerId(),
		lavlog.FieldConfig:  t.document.Number,
	})
}

// settleOnce handles a call that may run at most once and whose attempt may have run.
func (t *tries) settleOnce(ctx context.Context, out outcome) (bool, error) {
	if out.result.Refusal.GetKind() == lavwire.RefusalKind_REFUSAL_KIND_REQUEST_RUNNING {
		return t.attachHolder(ctx, out)
	}
	if !out.result.Unreachable {
		return false, inDoubt()
	}
	position, err := t.seal(ctx, out)
	if err != nil {
		return false, inDoubt()
	}
	switch {
	case position.Entry.State == lavledger.StateFinished && position.Entry.Answer != nil:
		return true, t.deliverStored(ctx, out, position.Entry.Answer)
	case position.NotRun:
		t.note(lavtrace.Step{Kind: lavtrace.StepSealed, Attempt: lavid.AttemptID(out.attempt.GetAttemptId())})
		t.Metrics.Count(metricRetries, 1)
		return false, nil
	default:
		return false, inDoubt()
	}
}

// seal writes a sealed row, which beats any later intent of the lost attempt.
func (t *tries) seal(ctx context.Context, out outcome) (lavledger.StoredEntry, error) {
	t.Metrics.Count(metricSeals, 1)
	return t.Seals.Seal(ctx, lavledger.Claim{
		Account:     t.request.Account,
		Request:     t.request.ID,
		Attempt:     lavid.AttemptID(out.attempt.GetAttemptId()),
		Holder:      string(t.Host),
		Fingerprint: t.request.Fingerprint,
	})
}

// attachHolder waits for the answer at the side process that already runs the call.
func (t *tries) attachHolder(ctx context.Context, out outcome) (bool, error) {
	refusal := out.result.Refusal
	if refusal.GetHolderAddress() == "" {
		return false, inDoubt()
	}
	t.note(lavtrace.Step{Kind: lavtrace.StepAttached, Attempt: lavid.AttemptID(refusal.GetHolderAttemptId())})
	held := &lavwire.Attempt{AttemptId: refusal.GetHolderAttemptId(), RequestId: out.attempt.GetRequestId(), AccountId: out.attempt.GetAccountId()}
	whole := &lavrequest.Whole{}
	result, err := t.Attempts.Attach(ctx, t.Scheme+refusal.GetHolderAddress(), held, whole)
	if err != nil || result.Refusal != nil || result.Unreachable {
		return false, inDoubt()
	}
	t.bill(ctx, out.attempt, out.base, result.Usage, false)
	return true, whole.Replay(t.stage.sink)
}

func (t *tries) deliverStored(ctx context.Context, out outcome, answer *lavledger.Answer) error {
	t.bill(ctx, out.attempt, out.base, lavrequest.Usage{}, false)
	whole := &lavrequest.Whole{
		Start: lavrequest.Head{StatusCode: answer.StatusCode, ContentType: answer.ContentType, Stored: true},
		Body:  answer.Body,
	}
	return whole.Replay(t.stage.sink)
}

func inDoubt() error {
	final := laverror.New(laverror.KindInDoubt, "the call may have run", "repeat it with the same Idempotency-Key, which never runs it twice")
	return final.WithRun(laverror.InDoubt).WithRetryAfter(retryAfterShort)
}
