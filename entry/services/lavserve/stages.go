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
	Observe(request *lavrequest.Request, answered Answered)
	// Failed counts an attempt at a version that gave no answer.
	Failed(request *lavrequest.Request, key lavevidence.Key)
}

// Answered is the answer of one stage.
type Answered struct {
	Key       lavevidence.Key
	Answer    []byte
	Cost      lavid.NanoUnits
	Rating    lavplan.Rating
	Delivered bool
}

// serveStages runs checked stages until one is acceptable, then the last one straight to the caller.
func (w *work) serveStages(ctx context.Context, plan lavplan.Plan) error {
	last := len(plan.Stages) - 1
	w.key = lavevidence.Key{Class: w.request.Class}
	for _, planned := range plan.Stages[:last] {
		w.key.Version = planned.Version
		done, err := w.serveChecked(ctx, planned.Version)
		if done || err != nil {
			return err
		}
		w.Metrics.Count(metricEscalated, 1)
	}
	version := plan.Stages[last].Version
	if last > 0 {
		version = w.pinBefore(ctx, version)
	}
	w.key.Version = version
	tee := &tee{Sink: w.sink, started: func() { w.Metrics.Observe(metricFirstByte, time.Since(w.request.Arrived)) }}
	if err := w.serveStage(ctx, stage{version: version, sink: tee}); err != nil {
		return err
	}
	if isRefusedByEngine(tee.status) {
		return nil
	}
	w.Raters.Observe(w.request, Answered{Key: w.key, Answer: tee.body, Cost: w.lastCost, Rating: lavplan.Unrated, Delivered: true})
	return nil
}

// serveChecked runs a stage into memory and passes its answer on unless the rating rejects it.
func (w *work) serveChecked(ctx context.Context, version lavid.VersionID) (bool, error) {
	whole := &lavrequest.Whole{}
	stage := stage{version: version, sink: whole, checked: true}
	if err := w.serveStage(ctx, stage); err != nil {
		w.note(lavtrace.Step{Kind: lavtrace.StepFailed, Version: version, Reason: err.Error()})
		return false, w.fatal(ctx, err)
	}
	w.run = laverror.Ran
	if isRefusedByEngine(whole.Start.StatusCode) {
		return false, nil
	}
	rating := w.Raters.Rate(ctx, w.request, w.key, whole.Body)
	w.note(lavtrace.Step{Kind: lavtrace.StepRated, Version: version, Reason: string(rating)})
	rejected := rating == lavplan.RatedRejected
	w.Raters.Observe(w.request, Answered{Key: w.key, Answer: whole.Body, Cost: w.lastCost, Rating: rating, Delivered: !rejected})
	if rejected {
		w.key.After = version
		return false, nil
	}
	if w.pinBefore(ctx, version) != version {
		return false, planOutdated()
	}
	w.checkedBill()
	return true, whole.Replay(w.sink)
}

// fatal returns the errors of a checked stage after which no later stage may follow.
func (w *work) fatal(ctx context.Context, err error) error {
	if isErrPlanOutdated(err) {
		return err
	}
	if ctx.Err() != nil {
		return timedOut(laverror.NotRun)
	}
	return nil
}

// pinBefore pins a session to a version of a plan of several stages before the caller gets any of its answer, and returns the version that the session must have.
func (w *work) pinBefore(ctx context.Context, version lavid.VersionID) lavid.VersionID {
	if w.request.Session == "" || w.request.Version != "" {
		return version
	}
	pinned, _ := w.resolve(ctx, lavpin.Query{Proposed: version})
	if pinned == "" || !w.mayServe(pinned, w.query()) {
		return version
	}
	return pinned
}

// bill records the bill of a stage's answer; a checked stage is billed only when it ends the request.
func (w *work) bill(ctx context.Context, attempt *lavwire.Attempt, base string, usage lavrequest.Usage, checked bool) {
	bill := lavbill.ForAttempt(w.document, attempt, lavbill.Usage{Input: usage.InputTokens, Output: usage.OutputTokens}, time.Now())
	w.lastCost = bill.Cost - w.earlier.cost
	if checked {
		w.earlier = earlierStages{count: bill.Stages, cost: bill.Cost}
		w.checkedBill = func() { w.hold(ctx, base, bill) }
		return
	}
	w.Bills.Add(bill)
	w.note(lavtrace.Step{Kind: lavtrace.StepBilled, Version: bill.Version})
}

// hold gives the bill a second holder, because the side process did not know that the stage would end the request.
func (w *work) hold(ctx context.Context, base string, bill lavbill.Bill) {
	w.Bills.Add(bill)
	batch := &lavwire.BillBatch{SenderId: string(w.Host), Bills: []*lavwire.Bill{bill.ToWire()}}
	if _, err := w.Holders(base).Hold(ctx, batch); err != nil {
		w.Log.WithError(err).Warning("side process did not take a second copy of a bill; this host alone holds it")
	}
	w.note(lavtrace.Step{Kind: lavtrace.StepBilled, Version: bill.Version})
}

// tee keeps the first bytes of an answer that goes to the caller, so that it can be rated later.
type tee struct {
	lavrequest.Sink
	body []byte
	// started is called when the answer begins.
	started func()
	status  int
}

// isRefusedByEngine tells whether the engine refused the request itself, such as a prompt that is too long; that says nothing of the version's quality.
func isRefusedByEngine(status int) bool {
	return status >= http.StatusBadRequest
}

const maxRatedBytes = 64 << 10

// Started tells whether bytes of the answer have reached the caller.
func (t *tee) Started() bool {
	starter, ok := t.Sink.(lavrequest.Starter)
	return ok && starter.Started()
}

// Head passes the head on.
func (t *tee) Head(head lavrequest.Head) error {
	t.started()
	t.status = head.StatusCode
	return t.Sink.Head(head)
}

// Chunk passes data on and keeps it while there is room.
func (t *tee) Chunk(data []byte) error {
	if room := maxRatedBytes - len(t.body); room > 0 {
		t.body = append(t.body, data[:min(room, len(data))]...)
	}
	return t.Sink.Chunk(data)
}
