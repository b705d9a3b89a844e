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
	// maxAttempts is the number of attempts allowed for one stage of a plan.
	maxAttempts = 24
	// prefixBytes is the length of the leading part of the messages whose hash identifies a cached prompt prefix.
	prefixBytes = 256
)

// Gate limits the concurrent requests of each client account and holds a request until its pool has capacity.
type Gate interface {
	// Begin counts the request as in progress and returns the function that ends it, or an error at the account's limit.
	Begin(request *lavrequest.Request) (func(), error)
	// Enter waits for capacity and returns true if it is reserved capacity; full states that servers refused as full.
	Enter(ctx context.Context, request *lavrequest.Request, pool lavrequest.PoolKey, full bool) (bool, error)
}

// stage is one step of a request: a version or a plain service, tried at backend servers until one answers. A nil sink
// stands for the sink of the request. The answer of a checked stage is rated before it is delivered.
type stage struct {
	version lavid.VersionID
	sink    lavrequest.Sink
	checked bool
}

// serveStage waits for the gate, then tries backend servers until one answers.
func (e *execution) serveStage(ctx context.Context, stage stage) error {
	if stage.sink == nil {
		stage.sink = e.sink
	}
	attempts := &stageAttempts{execution: e, stage: stage}
	attempts.requirements = lavfleet.Requirements{Version: stage.version, Service: e.request.Service, Prefix: prefixOf(e.request)}
	if err := attempts.enterGate(ctx, false); err != nil {
		return err
	}
	e.Retries.RecordFirstAttempt(e.request.Account, time.Now())
	for range maxAttempts {
		done, err := attempts.tryNext(ctx)
		if done || err != nil {
			return err
		}
	}
	return attempts.noServerError()
}

// stageAttempts is the state of the attempts of one stage.
type stageAttempts struct {
	*execution
	stage        stage
	requirements lavfleet.Requirements
	retryAfter   time.Duration
	// storeRefusals counts the refusals by side processes that cannot reach the store.
	storeRefusals int
	// serverFull states that a server refused this stage as full since the stage last passed the gate.
	serverFull bool
}

// enterGate waits until the gate admits the stage; full states that servers have just refused it as full.
func (a *stageAttempts) enterGate(ctx context.Context, full bool) error {
	began := time.Now()
	pool := lavrequest.PoolKey{Version: a.stage.version, Service: a.request.Service}
	reserved, err := a.Gate.Enter(ctx, a.request, pool, full)
	a.requirements.MayUseReserve = reserved
	waited := time.Since(began)
	a.Metrics.Observe(metricQueued, waited)
	if waited > minTracedWait {
		a.traceStep(lavtrace.Step{Kind: lavtrace.StepQueued, Version: a.stage.version, Reason: waited.String()})
	}
	return err
}

// minTracedWait is the shortest wait at the gate that is traced.
const minTracedWait = 5 * time.Millisecond

// tryNext makes one attempt at the next server and returns true when the answer is complete. Without a server left, it waits
// at the gate or returns an error.
func (a *stageAttempts) tryNext(ctx context.Context) (bool, error) {
	if ctx.Err() != nil {
		return false, timeoutError(laverror.NotRun)
	}
	now := time.Now()
	server, ok := a.Fleet.Choose(a.document, a.requirements, now)
	if !ok {
		return false, a.reenterGate(ctx)
	}
	out := a.send(ctx, server, now)
	return a.handleOutcome(ctx, out)
}

// reenterGate waits for capacity when servers were full, and otherwise returns the final error.
func (a *stageAttempts) reenterGate(ctx context.Context) error {
	if !a.serverFull {
		return a.noServerError()
	}
	a.serverFull = false
	a.requirements.Excluded = nil
	return a.enterGate(ctx, true)
}

// send makes one attempt, which is hedged for idempotent calls of a plain service.
func (a *stageAttempts) send(ctx context.Context, server lavid.BackendServerID, now time.Time) outcome {
	if !a.canHedge() {
		return a.attempt(ctx, server, now)
	}
	return a.attemptHedged(ctx, server, now)
}

// attempt makes one attempt at one server.
func (a *stageAttempts) attempt(ctx context.Context, server lavid.BackendServerID, now time.Time) outcome {
	a.Metrics.Count(metricAttempts, 1)
	attempt := a.newAttempt(server, now)
	a.traceStep(lavtrace.Step{Kind: lavtrace.StepChosen, Server: server, Version: a.stage.version, Attempt: lavid.AttemptID(attempt.GetAttemptId())})
	base := a.Scheme + a.document.BackendServers[server].SideAddress
	finish := a.Fleet.Begin(server)
	defer finish()
	sink := a.attemptSink()
	result, err := a.Attempts.Run(ctx, base, attempt, sink)
	out := outcome{attempt: attempt, base: base, result: result, err: err, sink: sink}
	if err != nil {
		a.cancel(ctx, out)
	}
	return out
}

// attemptSink returns the sink of an attempt. All answers except unchecked streams are buffered, so that a broken one can
// be tried again.
func (a *stageAttempts) attemptSink() lavrequest.Sink {
	if a.request.Stream && !a.stage.checked {
		return a.stage.sink
	}
	return &lavrequest.BufferedAnswer{}
}

// noServerError returns the final error when no backend server is left to try; the request was not run.
func (a *stageAttempts) noServerError() error {
	after := a.retryAfter
	if after <= 0 {
		after = retryAfterShort
	}
	return laverror.New(laverror.KindNoServer, "no backend server could take the request", "retry after the stated time").WithRetryAfter(after)
}

func timeoutError(run laverror.RunState) error {
	return laverror.New(laverror.KindTimeout, "the request timed out", "retry with a longer timeout").WithRun(run).WithRetryAfter(retryAfterShort)
}

// spendRetry takes one further attempt from the retry budget of the client account if the refusal costs one.
func (a *stageAttempts) spendRetry(refusal lavretry.Refusal, now time.Time) error {
	if !refusal.SpendsBudget() || a.Retries.Spend(a.request.Account, now) {
		return nil
	}
	return laverror.New(laverror.KindOverloaded, "too many attempts of the client account failed", "retry after the stated time").WithRetryAfter(retryAfterShort)
}

func (a *stageAttempts) newAttempt(server lavid.BackendServerID, now time.Time) *lavwire.Attempt {
	return &lavwire.Attempt{
		AttemptId:       uuid.NewString(),
		RequestId:       string(a.request.ID),
		AccountId:       string(a.request.Account),
		BackendServerId: string(server),
		ConfigNumber:    uint64(a.document.Number),
		TimeoutMillis:   a.request.Deadline.Sub(now).Milliseconds(),
		VersionId:       string(a.stage.version),
		ServiceId:       string(a.request.Service),
		CallId:          string(a.request.Call),
		Idempotent:      a.request.Idempotent,
		Stream:          a.request.Stream,
		SessionId:       string(a.request.Session),
		Priority:        priorityOf(a.requirements.MayUseReserve),
		EstimatedTokens: int64(a.request.EstimatedTokens),
		Method:          a.request.Method,
		Path:            a.request.Path,
		ContentType:     a.request.ContentType,
		Body:            bodyFor(a.request, a.stage.version),
		Fingerprint:     a.request.Fingerprint,
		SenderId:        string(a.Host),
		Bill:            !a.stage.checked,
		PriorCostNanos:  int64(a.prior.cost),
		PriorStages:     int32(a.prior.count),
	}
}

// outcome is the result of one attempt; base is the base URL of its side process.
type outcome struct {
	attempt *lavwire.Attempt
	base    string
	result  lavattempt.Result
	err     error
	sink    lavrequest.Sink
}

func (o outcome) succeeded() bool {
	return o.err == nil && o.result.Refusal == nil && !o.result.Unreachable
}

// prefixOf hashes the start of the conversation; it returns zero for a plain service or a body that cannot be parsed.
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

// reservedPriority is the priority of an attempt that may use reserved capacity; its backend server runs it before others.
const reservedPriority = 1

func priorityOf(reserved bool) int32 {
	if reserved {
		return reservedPriority
	}
	return 0
}
