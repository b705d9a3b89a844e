package lavserve

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/services/lavprefix"
	"lavenderswitch/core/services/lavretry"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavattempt"
	"lavenderswitch/entry/services/lavfleet"
	"lavenderswitch/entry/services/lavtrace"
	"lavenderswitch/wire/lavwire"
)

const (
	// maxAttempts bounds the attempts of one stage of a plan.
	maxAttempts = 24
	// prefixBytes of the messages are what cache affinity goes by.
	prefixBytes = 256
)

// Gate holds a request until the pool that it needs has room, or refuses it at once.
type Gate interface {
	Begin(request *lavrequest.Request) (func(), error)
	Enter(ctx context.Context, request *lavrequest.Request, pool lavrequest.Pool, full bool) (bool, error)
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
	tries := &tries{work: w, stage: stage}
	tries.need = lavfleet.Requirements{Version: stage.version, Service: w.request.Service, Prefix: prefixOf(w.request)}
	if err := tries.enter(ctx, false); err != nil {
		return err
	}
	w.Retries.First(w.request.Account, time.Now())
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
	need       lavfleet.Requirements
	retryAfter time.Duration
	// storeRefusals counts refusals for want of the store.
	storeRefusals int
	// full says that a server refused the stage for want of room since it last entered the gate.
	full bool
}

func (t *tries) enter(ctx context.Context, full bool) error {
	began := time.Now()
	pool := lavrequest.Pool{Version: t.stage.version, Service: t.request.Service}
	reserved, err := t.Gate.Enter(ctx, t.request, pool, full)
	t.need.MayUseReserve = reserved
	waited := time.Since(began)
	t.Metrics.Observe(metricQueued, waited)
	if waited > notableWait {
		t.note(lavtrace.Step{Kind: lavtrace.StepQueued, Version: t.stage.version, Reason: waited.String()})
	}
	return err
}

const notableWait = 5 * time.Millisecond

// next sends one attempt; done means that the answer is whole.
func (t *tries) next(ctx context.Context) (bool, error) {
	if ctx.Err() != nil {
		return false, timedOut(laverror.NotRun)
	}
	now := time.Now()
	server, ok := t.Fleet.Choose(t.document, t.need, now)
	if !ok {
		return false, t.again(ctx)
	}
	out := t.send(ctx, server, now)
	return t.settle(ctx, out)
}

// again waits for room when servers were full, and gives up otherwise.
func (t *tries) again(ctx context.Context) error {
	if !t.full {
		return t.givenUp()
	}
	t.full = false
	t.need.Excluded = nil
	return t.enter(ctx, true)
}

// send makes one attempt, hedged by a second one where that pays.
func (t *tries) send(ctx context.Context, server lavid.BackendServerID, now time.Time) outcome {
	if !t.mayHedge() {
		return t.attempt(ctx, server, now)
	}
	return t.hedged(ctx, server, now)
}

// attempt sends one attempt to one server.
func (t *tries) attempt(ctx context.Context, server lavid.BackendServerID, now time.Time) outcome {
	t.Metrics.Count(metricAttempts, 1)
	attempt := t.newAttempt(server, now)
	t.note(lavtrace.Step{Kind: lavtrace.StepChosen, Server: server, Version: t.stage.version, Attempt: lavid.AttemptID(attempt.GetAttemptId())})
	base := t.Scheme + t.document.BackendServers[server].SideAddress
	finish := t.Fleet.Begin(server)
	defer finish()
	sink := t.attemptSink()
	result, err := t.Attempts.Run(ctx, base, attempt, sink)
	out := outcome{attempt: attempt, base: base, result: result, err: err, sink: sink}
	if err != nil {
		t.cancel(ctx, out)
	}
	return out
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

// spend takes a further attempt from the account's budget when the refusal costs one.
func (t *tries) spend(refusal lavretry.Refusal, now time.Time) error {
	if !refusal.Costs() || t.Retries.Spend(t.request.Account, now) {
		return nil
	}
	return laverror.New(laverror.KindOverloaded, "too many attempts of the client account fail", "retry after the stated time").WithRetryAfter(retryAfterShort)
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
		Priority:        priorityOf(t.need.MayUseReserve),
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

func (o outcome) whole() bool {
	return o.err == nil && o.result.Refusal == nil && !o.result.Unreachable
}

// prefixOf hashes the start of a conversation.
func prefixOf(request *lavrequest.Request) lavprefix.Hash {
	if request.Service != "" {
		return 0
	}
	var body struct {
		Messages json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(request.Body, &body) != nil {
		return 0
	}
	return lavprefix.Hash(xxhash.Sum64(body.Messages[:min(prefixBytes, len(body.Messages))]))
}

// reservedPriority marks an attempt that may use reserved room and goes before others at its backend server.
const reservedPriority = 1

func priorityOf(reserved bool) int32 {
	if reserved {
		return reservedPriority
	}
	return 0
}
