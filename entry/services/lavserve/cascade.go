package lavserve

import (
	"context"
	"net/http"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavpin"
	"lavenderswitch/entry/services/lavtrace"
	"lavenderswitch/wire/lavwire"
)

// Raters requests ratings of answers within a time limit; it never waits for a rating service that is slow or down.
type Raters interface {
	// CanCheck reports whether answers can be rated before delivery.
	CanCheck(now time.Time) bool
	// Rate requests the rating of an answer before its delivery.
	Rate(ctx context.Context, request *lavrequest.Request, key lavevidence.Key, answer []byte) lavplan.Rating
	// Observe records an answer; an answer that was delivered without a rating may be rated later.
	Observe(request *lavrequest.Request, answered StageAnswer)
	// Failed records an attempt at a version that gave no answer.
	Failed(request *lavrequest.Request, key lavevidence.Key)
}

// StageAnswer is the answer of one stage with its cost and rating.
type StageAnswer struct {
	Key       lavevidence.Key
	Answer    []byte
	Cost      lavid.NanoUnits
	Rating    lavplan.Rating
	Delivered bool
}

// serveStages runs the checked stages until an answer is accepted. If none is, it runs the last stage and streams its
// answer to the caller.
func (e *execution) serveStages(ctx context.Context, plan lavplan.Plan) error {
	last := len(plan.Stages) - 1
	e.evidenceKey = lavevidence.Key{Class: e.request.Class}
	for _, planned := range plan.Stages[:last] {
		e.evidenceKey.Version = planned.Version
		done, err := e.serveChecked(ctx, planned.Version)
		if done || err != nil {
			return err
		}
		e.Metrics.Count(metricEscalated, 1)
	}
	version := plan.Stages[last].Version
	if last > 0 {
		version = e.pinBeforeAnswer(ctx, version)
	}
	e.evidenceKey.Version = version
	recording := &recordingSink{Sink: e.sink, onHead: func() { e.Metrics.Observe(metricFirstByte, time.Since(e.request.Arrived)) }}
	if err := e.serveStage(ctx, stage{version: version, sink: recording}); err != nil {
		return err
	}
	if isEngineRefusal(recording.status) {
		return nil
	}
	e.Raters.Observe(e.request, StageAnswer{Key: e.evidenceKey, Answer: recording.body, Cost: e.lastCost, Rating: lavplan.Unrated, Delivered: true})
	return nil
}

// serveChecked runs a stage into a buffer and delivers its answer unless the rating rejects it. It returns true when the
// answer was delivered.
func (e *execution) serveChecked(ctx context.Context, version lavid.VersionID) (bool, error) {
	buffered := &lavrequest.BufferedAnswer{}
	stage := stage{version: version, sink: buffered, checked: true}
	if err := e.serveStage(ctx, stage); err != nil {
		e.traceStep(lavtrace.Step{Kind: lavtrace.StepFailed, Version: version, Reason: err.Error()})
		return false, e.fatalError(ctx, err)
	}
	e.runState = laverror.Ran
	if isEngineRefusal(buffered.AnswerHead.StatusCode) {
		return false, nil
	}
	rating := e.Raters.Rate(ctx, e.request, e.evidenceKey, buffered.Body)
	e.traceStep(lavtrace.Step{Kind: lavtrace.StepRated, Version: version, Reason: string(rating)})
	rejected := rating == lavplan.RatedRejected
	e.Raters.Observe(e.request, StageAnswer{Key: e.evidenceKey, Answer: buffered.Body, Cost: e.lastCost, Rating: rating, Delivered: !rejected})
	if rejected {
		e.evidenceKey.After = version
		return false, nil
	}
	if e.pinBeforeAnswer(ctx, version) != version {
		return false, newPlanOutdated()
	}
	e.billCheckedStage()
	return true, buffered.Replay(e.sink)
}

// fatalError returns the error that ends the request if no later stage may run after err, and nil otherwise.
func (e *execution) fatalError(ctx context.Context, err error) error {
	if isErrPlanOutdated(err) {
		return err
	}
	if ctx.Err() != nil {
		return timeoutError(laverror.NotRun)
	}
	return nil
}

// pinBeforeAnswer pins the session to a version before the caller gets any of the answer, and returns the version that the
// session must use. It is for plans with several stages, whose final version is not known when the plan is made.
func (e *execution) pinBeforeAnswer(ctx context.Context, version lavid.VersionID) lavid.VersionID {
	if e.request.Session == "" || e.request.Version != "" {
		return version
	}
	pinned, _ := e.resolvePin(ctx, lavpin.Query{Proposed: version})
	if pinned == "" || !e.isUsable(pinned, e.planQuery()) {
		return version
	}
	return pinned
}

// recordBill records the bill of a stage's answer. A checked stage is billed only if it ends the request.
func (e *execution) recordBill(ctx context.Context, attempt *lavwire.Attempt, base string, usage lavrequest.Usage, checked bool) {
	bill := lavbill.ForAttempt(e.document, attempt, lavbill.Usage{Input: usage.InputTokens, Output: usage.OutputTokens}, time.Now())
	e.lastCost = bill.Cost - e.prior.cost
	if checked {
		e.prior = priorStages{count: bill.Stages, cost: bill.Cost}
		e.billCheckedStage = func() { e.addBillWithCopy(ctx, base, bill) }
		return
	}
	e.Bills.Add(bill)
	e.traceStep(lavtrace.Step{Kind: lavtrace.StepBilled, Version: bill.Version})
}

// addBillWithCopy records the bill and sends a copy to the side process. The side process did not bill the attempt itself,
// because whether the stage ends the request is decided only after its answer is rated.
func (e *execution) addBillWithCopy(ctx context.Context, base string, bill lavbill.Bill) {
	e.Bills.Add(bill)
	batch := &lavwire.BillBatch{SenderId: string(e.Host), Bills: []*lavwire.Bill{bill.ToWire()}}
	if _, err := e.BillsClient(base).Hold(ctx, batch); err != nil {
		e.Log.WithError(err).Warning("side process did not accept the copy of a bill; only this host holds it")
	}
	e.traceStep(lavtrace.Step{Kind: lavtrace.StepBilled, Version: bill.Version})
}

// recordingSink passes an answer on and records its status and its first bytes, so that it can be rated later.
type recordingSink struct {
	lavrequest.Sink
	body []byte
	// onHead is called when the head of the answer arrives.
	onHead func()
	status int
}

// isEngineRefusal reports whether the engine rejected the request itself, for example because the prompt is too long. Such
// an answer is no evidence of the quality of the version.
func isEngineRefusal(status int) bool {
	return status >= http.StatusBadRequest
}

// maxRecordedBytes is the length of the start of an answer that is kept for rating.
const maxRecordedBytes = 64 << 10

// Started reports whether bytes of the answer have reached the caller.
func (r *recordingSink) Started() bool {
	reporter, ok := r.Sink.(lavrequest.StartReporter)
	return ok && reporter.Started()
}

// Head passes the head on and records its status.
func (r *recordingSink) Head(head lavrequest.Head) error {
	r.onHead()
	r.status = head.StatusCode
	return r.Sink.Head(head)
}

// Chunk passes data on and records it up to maxRecordedBytes.
func (r *recordingSink) Chunk(data []byte) error {
	if remaining := maxRecordedBytes - len(r.body); remaining > 0 {
		r.body = append(r.body, data[:min(remaining, len(data))]...)
	}
	return r.Sink.Chunk(data)
}
