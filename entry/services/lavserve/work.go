package lavserve

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavtrace"
)

// work is one request on its way.
type work struct {
	*Service
	document *lavconfig.Document
	request  *lavrequest.Request
	sink     lavrequest.Sink
	trace    *lavtrace.Trace
	// earlier sums the stages before the present one.
	earlier earlierStages
	// key names the present stage in the evidence.
	key lavevidence.Key
	// lastCost is the cost of the last stage that answered.
	lastCost lavid.NanoUnits
	// checkedBill bills the last checked stage when it turns out to end the request.
	checkedBill func()
	// excluded versions had no server with room.
	excluded []lavid.VersionID
	// run is what earlier attempts and stages may have done.
	run laverror.RunState
}

// stateRun corrects an error that says not run when an earlier attempt or stage may have.
func (w *work) stateRun(err error) error {
	if err == nil || w.run == "" {
		return err
	}
	typed := laverror.As(err)
	if typed.Run != laverror.NotRun {
		return err
	}
	return typed.WithRun(w.run)
}

type earlierStages struct {
	count int
	cost  lavid.NanoUnits
}

func (w *work) note(step lavtrace.Step) {
	step.At = time.Now()
	w.trace.Add(step)
}

func (w *work) serve(ctx context.Context) error {
	if w.request.Service != "" {
		return w.serveStage(ctx, stage{})
	}
	return w.servePlans(ctx)
}

// finish counts, traces and logs how a request ended.
func (w *work) finish(err error, now time.Time) {
	elapsed := now.Sub(w.request.Arrived)
	w.Metrics.Observe(metricElapsed, elapsed)
	entry := w.Log.WithFields(logrus.Fields{
		lavlog.FieldRequest: w.request.ID,
		lavlog.FieldAccount: w.request.Account,
		lavlog.FieldConfig:  w.document.Number,
		lavlog.FieldVersion: w.key.Version,
		"elapsed_millis":    elapsed.Milliseconds(),
	})
	if err == nil {
		w.Metrics.Count(metricAnswered, 1)
		w.note(lavtrace.Step{Kind: lavtrace.StepAnswered})
		entry.Info("request answered")
		return
	}
	typed := laverror.As(err)
	w.Metrics.Count(metricFailed, 1)
	w.note(lavtrace.Step{Kind: lavtrace.StepFailed, Reason: err.Error()})
	entry.WithFields(logrus.Fields{"kind": typed.Kind, "run_state": typed.Run}).Info("request ended without an answer")
}
