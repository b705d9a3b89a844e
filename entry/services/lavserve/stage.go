package lavserve

import (
	"context"
	"time"

	"github.com/google/uuid"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavattempt"
	"lavenderswitch/entry/services/lavfleet"
	"lavenderswitch/entry/services/lavtrace"
	"lavenderswitch/wire/lavwire"
)

// maxAttempts bounds the backend servers tried for one stage of a plan.
const maxAttempts = 8

// Gate holds a request until the pool that it needs has room, or refuses it at once.
type Gate interface {
	// Enter returns a release function, or a typed error that says when to come back.
	Enter(ctx context.Context, request *lavrequest.Request, pool Pool) (func(), error)
}

// Pool names the backend servers that a stage needs.
type Pool struct {
	Version lavid.VersionID
	Service lavid.ServiceID
}

// stage is one version, or a plain service, to be tried at backend servers until one answers.
type stage struct {
	version lavid.VersionID
	sink    lavrequest.Sink
	checked bool
}

// serveStage passes the gate and tries backend servers until one answers.
func (w *work) serveStage(ctx context.Context, stage stage) error {
	if stage.sink == nil {
		stage.sink = w.sink
	}
	release, err := w.Gate.Enter(ctx, w.request, Pool{Version: stage.version, Service: w.request.Service})
	if err != nil {
		return err
	}
	defer release()
	tries := &tries{work: w, stage: stage, need: lavfleet.Need{Version: stage.version, Service: w.request.Service}}
	for range maxAttempts {
		done, err := tries.next(ctx)
		if done || err != nil {
			return err
		}
	}
	return tries.givenUp()
}

// tries is the attempts of one stage.
type tries struct {
	*work
	stage      stage
	need       lavfleet.Need
	retryAfter time.Duration
	attempts   int
}

// next sends one attempt; done means that the answer is whole.
func (t *tries) next(ctx context.Context) (bool, error) {
	if ctx.Err() != nil {
		return false, timedOut(laverror.NotRun)
	}
	now := time.Now()
	chosen, ok := t.Fleet.Choose(t.document, t.need, t.request, now)
	if !ok {
		return false, t.givenUp()
	}
	t.attempts++
	t.Metrics.Count(metricAttempts, 1)
	attempt := t.newAttempt(chosen, now)
	t.note(lavtrace.Step{Kind: lavtrace.StepChosen, Server: chosen, Version: t.stage.version, Attempt: lavid.AttemptID(attempt.GetAttemptId())})
	base := t.Scheme + t.document.BackendServers[chosen].SideAddress
	finish := t.Fleet.Begin(chosen)
	defer finish()
	sink := t.attemptSink()
	result, err := t.Attempts.Run(ctx, base, attempt, sink)
	return t.settle(ctx, outcome{attempt: attempt, base: base, result: result, err: err, sink: sink})
}

// attemptSink keeps the answer of a plain request until it is whole, so that a broken one can be tried again.
func (t *tries) attemptSink() lavrequest.Sink {
	if t.request.Stream && !t.stage.checked {
		return t.stage.sink
	}
	return &lavrequest.Whole{}
}

// givenUp is the final error when no backend server is left to try; the work did not run.
func (t *tries) givenUp() error {
	after := t.retryAfter
	if after <= 0 {
		after = retryAfterShort
	}
	return laverror.New(laverror.KindNoServer, "no backend server could take the request", "retry after the stated time").WithRetryAfter(after)
}

func timedOut(run laverror.RunState) error {
	return laverror.New(laverror.KindTimeout, "the request's time is over", "retry with more time").WithRun(run).WithRetryAfter(retryAfterShort)
}

func (t *tries) newAttempt(server lavid.BackendServerID, now time.Time) *lavwire.Attempt {
	return &lavwire.Attempt{
		AttemptId:       uuid.NewString(),
		RequestId:       string(t.request.ID),
		AccountId:       string(t.request.Account),
		BackendServerId: string(server),
		ConfigNumber:    uint64(t.document.Number),
		TimeoutMillis:   t.request.Deadline.Sub(now).Milliseconds(),
		VersionId:       string(t.stage.version),
		ServiceId:       string(t.request.Service),
		CallId:          string(t.request.Call),
		Idempotent:      t.request.Idempotent,
		Stream:          t.request.Stream,
		SessionId:       string(t.request.Session),
		EstimatedTokens: int64(t.request.EstimatedTokens),
		Method:          t.request.Method,
		Path:            t.request.Path,
		ContentType:     t.request.ContentType,
		Body:            bodyFor(t.request, t.stage.version),
		Fingerprint:     t.request.Fingerprint,
		SenderId:        string(t.Host),
		Bill:            !t.stage.checked,
		PriorCostNanos:  int64(t.earlier.cost),
		PriorStages:     int32(t.earlier.count),
	}
}

// outcome is what one attempt came to.
type outcome struct {
	attempt *lavwire.Attempt
	base    string
	result  lavattempt.Result
	err     error
	sink    lavrequest.Sink
}
