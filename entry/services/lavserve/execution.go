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

// execution is the state of one request while it is served.
type execution struct {
	*Service
	document *lavconfig.Document
	request  *lavrequest.Request
	sink     lavrequest.Sink
	trace    *lavtrace.Trace
	// prior holds the number and the total cost of the stages before the current one.
	prior priorStages
	// evidenceKey identifies the current stage in the evidence.
	evidenceKey lavevidence.Key
	// lastCost is the cost of the last stage that answered.
	lastCost lavid.NanoUnits
	// billCheckedStage bills the last checked stage; it is called if that stage ends the request.
	billCheckedStage func()
	// excludedVersions holds the versions whose pools had no server with capacity.
	excludedVersions []lavid.VersionID
	// runState is the run state after the earlier attempts and stages; empty means that none of them can have run.
	runState laverror.RunState
}

// correctRunState replaces the run state of an error that states "not run" although an earlier attempt or stage may have
// run.
func (e *execution) correctRunState(err error) error {
	if err == nil || e.runState == "" {
		return err
	}
	typed := laverror.As(err)
	if typed.Run != laverror.NotRun {
		return err
	}
	return typed.WithRun(e.runState)
}

type priorStages struct {
	count int
	cost  lavid.NanoUnits
}

func (e *execution) traceStep(step lavtrace.Step) {
	step.At = time.Now()
	e.trace.Add(step)
}

func (e *execution) serve(ctx context.Context) error {
	if e.request.Service != "" {
		return e.serveStage(ctx, stage{})
	}
	return e.servePlans(ctx)
}

// recordEnd records in the metrics, the trace and the log how the request ended.
func (e *execution) recordEnd(err error, now time.Time) {
	elapsed := now.Sub(e.request.Arrived)
	e.Metrics.Observe(metricElapsed, elapsed)
	entry := e.Log.WithFields(logrus.Fields{
		lavlog.FieldRequest: e.request.ID,
		lavlog.FieldAccount: e.request.Account,
		lavlog.FieldConfig:  e.document.Number,
		lavlog.FieldVersion: e.evidenceKey.Version,
		"elapsed_millis":    elapsed.Milliseconds(),
	})
	if err == nil {
		e.Metrics.Count(metricAnswered, 1)
		e.traceStep(lavtrace.Step{Kind: lavtrace.StepAnswered})
		entry.Info("request answered")
		return
	}
	typed := laverror.As(err)
	e.Metrics.Count(metricFailed, 1)
	e.traceStep(lavtrace.Step{Kind: lavtrace.StepFailed, Reason: err.Error()})
	entry.WithFields(logrus.Fields{"kind": typed.Kind, "run_state": typed.Run}).Info("request ended without an answer")
}
