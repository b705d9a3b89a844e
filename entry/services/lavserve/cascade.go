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

// Raters asks the rating service within a bound and never waits for one that is slow or down.
type Raters interface {
	// CanCheck tells whether an answer can be rated before it is delivered.
	CanCheck(now time.Time) bool
	// Rate asks for the rating of an answer before its delivery.
	Rate(ctx context.Context, request *lavrequest.Request, key lavevidence.Key, answer []byte) lavplan.Rating
	// Observe counts an answer; one that is delivered unrated may be rated later.
	Observe(request *lavrequest.Request, answered StageAnswer)
	// Failed counts an attempt at a version that gave no answer.
	Failed(request *lavrequest.Request, key lavevidence.Key)
}

// Answered is the answer of one stage.
type StageAnswer struct {
	Key       lavevidence.Key
	Answer    []byte
	Cost      lavid.NanoUnits
	Rating    lavplan.Rating
	Delivered bool
}

// serveStages runs checked stages until one is acceptable, then the last one straight to the caller.
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
	recording := &recordingSink{Sink: e.sink, started: func() { e.Metrics.Observe(metricFirstByte, time.Since(e.request.Arrived)) }}
	if err := e.serveStage(ctx, stage{version: version, sink: recording}); err != nil {
		return err
	}
	if isEngineRefusal(recording.status) {
		return nil
	}
	e.Raters.Observe(e.request, StageAnswer{Key: e.evidenceKey, Answer: recording.body, Cost: e.lastCost, Rating: lavplan.Unrated, Delivered: true})
	return nil
}

// serveChecked runs a stage into memory and passes its answer on unless the rating rejects it.
func (e *execution) serveChecked(ctx context.Context, version lavid.VersionID) (bool, error) {
	whole := &lavrequest.BufferedAnswer{}
	stage := stage{version: version, sink: whole, checked: true}
	if err := e.serveStage(ctx, stage); err != nil {
		e.traceStep(lavtrace.Step{Kind: lavtrace.StepFailed, Version: version, Reason: err.Error()})
		return false, e.fatalError(ctx, err)
	}
	e.runState = laverror.Ran
	if isEngineRefusal(whole.AnswerHead.StatusCode) {
		return false, nil
	}
	rating := e.Raters.Rate(ctx, e.request, e.evidenceKey, whole.Body)
	e.traceStep(lavtrace.Step{Kind: lavtrace.StepRated, Version: version, Reason: string(rating)})
	rejected := rating == lavplan.RatedRejected
	e.Raters.Observe(e.request, StageAnswer{Key: e.evidenceKey, Answer: whole.Body, Cost: e.lastCost, Rating: rating, Delivered: !rejected})
	if rejected {
		e.evidenceKey.After = version
		return false, nil
	}
	if e.pinBeforeAnswer(ctx, version) != version {
		return false, newPlanOutdated()
	}
	e.billCheckedStage()
	return true, whole.Replay(e.sink)
}

// fatal returns the errors of a checked stage after which no later stage may follow.
func (e *execution) fatalError(ctx context.Context, err error) error {
	if isErrPlanOutdated(err) {
		return err
	}
	if ctx.Err() != nil {
		return timeoutError(laverror.NotRun)
	}
	return nil
}

// pinBefore pins a session to a version of a plan of several stages before the caller gets any of its answer, and returns the version that the session must have.
func (e *execution) pinBeforeAnswer(ctx context.Context, version lavid.VersionID) lavid.VersionID {
	if e.request.Session == "" || e.request.Version != "" {
		return version
	}
	pinned, _ := e.resolvePin(ctx, lavpin.Ask{Proposed: version})
	if pinned == "" || !e.isUsable(pinned, e.planQuery()) {
		return version
	}
	return pinned
}

// bill records the bill of a stage's answer; a checked stage is billed only when it ends the request.
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

// hold gives the bill a second holder, because the side process did not know that the stage would end the request.
func (e *execution) addBillWithCopy(ctx context.Context, base string, bill lavbill.Bill) {
	e.Bills.Add(bill)
	batch := &lavwire.BillBatch{SenderId: string(e.Host), Bills: []*lavwire.Bill{bill.ToWire()}}
	if _, err := e.Holders(base).Hold(ctx, batch); err != nil {
		e.Log.WithError(err).Warning("side process did not take a second copy of a bill; this host alone holds it")
	}
	e.traceStep(lavtrace.Step{Kind: lavtrace.StepBilled, Version: bill.Version})
}

// tee keeps the first bytes of an answer that goes to the caller, so that it can be rated later.
type recordingSink struct {
	lavrequest.Sink
	body []byte
	// started is called when the answer begins.
	started func()
	status  int
}

// isRefusedByEngine tells whether the engine refused the request itself, such as a prompt that is too long; that says nothing of the version's quality.
func isEngineRefusal(status int) bool {
	return status >= http.StatusBadRequest
}

const maxRecordedBytes = 64 << 10

// Started tells whether bytes of the answer have reached the caller.
func (r *recordingSink) Started() bool {
	starter, ok := r.Sink.(lavrequest.StartReporter)
	return ok && starter.Started()
}

// Head passes the head on.
func (r *recordingSink) Head(head lavrequest.Head) error {
	r.started()
	r.status = head.StatusCode
	return r.Sink.Head(head)
}

// Chunk passes data on and keeps it while there is room.
func (r *recordingSink) Chunk(data []byte) error {
	if room := maxRecordedBytes - len(r.body); room > 0 {
		r.body = append(r.body, data[:min(room, len(data))]...)
	}
	return r.Sink.Chunk(data)
}
