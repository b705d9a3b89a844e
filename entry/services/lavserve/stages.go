package lavserve

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavpin"
	"lavenderswitch/entry/services/lavtrace"
	"lavenderswitch/wire/lavwire"
)

// Verdict is what a rating says of an answer.
type Verdict string

// The verdicts; Unrated means that no rating came in time.
const (
	Acceptable   Verdict = "Acceptable"
	Unacceptable Verdict = "Unacceptable"
	Unrated      Verdict = "Unrated"
)

// Raters asks the rating service within a bound and never waits for one that is slow or down.
type Raters interface {
	Rate(ctx context.Context, request *lavrequest.Request, version lavid.VersionID, answer []byte) Verdict
	// Observe queues an answered request to be rated later, without waiting.
	Observe(request *lavrequest.Request, version lavid.VersionID, answer []byte, cost lavid.NanoUnits)
	// CanCheck tells whether an answer can be rated before it is delivered.
	CanCheck(now time.Time) bool
	// Failed notes that an attempt at a version gave no answer.
	Failed(request *lavrequest.Request, version lavid.VersionID)
}

// serveStages runs checked stages until one is acceptable, then the last one straight to the caller.
func (w *work) serveStages(ctx context.Context, plan lavplan.Plan) error {
	last := len(plan.Stages) - 1
	for _, planned := range plan.Stages[:last] {
		done, err := w.serveChecked(ctx, planned.Version)
		if done || err != nil {
			return err
		}
		w.Metrics.Count(metricEscalated, 1)
	}
	version := plan.Stages[last].Version
	tee := &tee{Sink: w.sink}
	err := w.serveStage(ctx, stage{version: version, sink: tee})
	if err != nil {
		return err
	}
	w.pinLast(ctx, version, last > 0)
	w.Raters.Observe(w.request, version, tee.body, 0)
	return nil
}

// serveChecked runs a stage into memory and passes its answer on when the rating accepts it.
func (w *work) serveChecked(ctx context.Context, version lavid.VersionID) (bool, error) {
	whole := &lavrequest.Whole{}
	stage := stage{version: version, sink: whole, checked: true}
	if err := w.serveStage(ctx, stage); err != nil {
		w.note(lavtrace.Step{Kind: lavtrace.StepFailed, Version: version, Reason: err.Error()})
		return false, ctx.Err()
	}
	w.run = laverror.Ran
	verdict := w.Raters.Rate(ctx, w.request, version, whole.Body)
	w.note(lavtrace.Step{Kind: lavtrace.StepRated, Version: version, Reason: string(verdict)})
	if verdict == Unacceptable {
		return false, nil
	}
	w.checkedBill()
	w.pinLast(ctx, version, true)
	return true, whole.Replay(w.sink)
}

// pinLast pins a session to the version that answered a plan of several stages.
func (w *work) pinLast(ctx context.Context, version lavid.VersionID, several bool) {
	if !several || w.request.Session == "" || w.request.Version != "" {
		return
	}
	w.resolve(ctx, lavpin.Ask{Proposed: version})
}

// bill records the bill of a stage's answer; a checked stage is billed only when it ends the request.
func (w *work) bill(ctx context.Context, attempt *lavwire.Attempt, base string, usage lavrequest.Usage, checked bool) {
	bill := lavbill.ForAttempt(w.document, attempt, lavbill.Usage{Input: usage.InputTokens, Output: usage.OutputTokens}, time.Now())
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
}

const maxRatedBytes = 64 << 10

// Started tells whether bytes of the answer have reached the caller.
func (t *tee) Started() bool {
	starter, ok := t.Sink.(lavrequest.Starter)
	return ok && starter.Started()
}

// Chunk passes data on and keeps it while there is room.
func (t *tee) Chunk(data []byte) error {
	if room := maxRatedBytes - len(t.body); room > 0 {
		t.body = append(t.body, data[:min(room, len(data))]...)
	}
	return t.Sink.Chunk(data)
}
