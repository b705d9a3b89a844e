package lavserve

import (
	"context"
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/core/services/lavsession"
	"lavenderswitch/entry/services/lavfleet"
	"lavenderswitch/entry/services/lavpin"
	"lavenderswitch/entry/services/lavtrace"
)

// Planner chooses the plan of a request: the versions to try, in order. It returns false if no version is allowed.
type Planner interface {
	Choose(document *lavconfig.Document, query lavplan.Query, now time.Time) (lavplan.Plan, bool)
}

// plan returns the plan of the request. A session stays on its version as long as that version is usable.
func (e *execution) plan(ctx context.Context) (lavplan.Plan, error) {
	query := e.planQuery()
	if e.request.Session == "" || e.request.Version != "" {
		query.Excluded = append(e.versionsWithoutServer(query), e.excludedVersions...)
		return e.choosePlan(query)
	}
	pinned, _ := e.resolvePin(ctx, lavpin.Query{})
	if pinned != "" && e.isUsable(pinned, query) {
		e.traceStep(lavtrace.Step{Kind: lavtrace.StepPinned, Version: pinned})
		return lavplan.Plan{Stages: []lavplan.Stage{{Version: pinned}}, Reason: lavplan.ReasonPinned}, nil
	}
	query.Excluded = append(e.versionsWithoutServer(query), e.excludedVersions...)
	plan, err := e.choosePlan(query)
	if err != nil || (len(plan.Stages) > 1 && pinned == "") {
		return plan, err
	}
	return e.pinBeforeServing(ctx, plan, pinned, query)
}

func (e *execution) planQuery() lavplan.Query {
	return lavplan.Query{
		Account:  e.request.Account,
		Model:    e.request.Model,
		Version:  e.request.Version,
		Class:    e.request.Class,
		CanCheck: e.Raters.CanCheck(time.Now()),
	}
}

// pinBeforeServing pins the session to a version before anything runs, so that requests at other hosts use the same one.
func (e *execution) pinBeforeServing(ctx context.Context, plan lavplan.Plan, replaced lavid.VersionID, query lavplan.Query) (lavplan.Plan, error) {
	proposed := plan.Stages[len(plan.Stages)-1].Version
	version, moved := e.resolvePin(ctx, lavpin.Query{Proposed: proposed, Replaces: replaced})
	e.request.SessionMoved = moved
	if moved {
		e.Metrics.Count(metricMoved, 1)
	}
	if version == "" || !e.isUsable(version, query) {
		version = proposed
	}
	e.traceStep(lavtrace.Step{Kind: lavtrace.StepPinned, Version: version})
	return lavplan.Plan{Stages: []lavplan.Stage{{Version: version}}, Reason: plan.Reason}, nil
}

func (e *execution) choosePlan(query lavplan.Query) (lavplan.Plan, error) {
	plan, ok := e.Planner.Choose(e.document, query, time.Now())
	if !ok {
		return plan, laverror.New(laverror.KindNotAllowed, "no allowed version serves this model", "choose one that GET /v1/models lists")
	}
	for _, stage := range plan.Stages {
		e.traceStep(lavtrace.Step{Kind: lavtrace.StepPlanned, Version: stage.Version, Reason: string(plan.Reason)})
	}
	return plan, nil
}

// versionsWithoutServer returns the usable versions that no server in service holds, or nil if that is all of them.
func (e *execution) versionsWithoutServer(query lavplan.Query) []lavid.VersionID {
	usable := lavplan.Usable(e.document, query)
	var withoutServer []lavid.VersionID
	for _, id := range usable {
		if e.Fleet.Pool(e.document, lavfleet.Requirements{Version: id}, time.Now()).Servers == 0 {
			withoutServer = append(withoutServer, id)
		}
	}
	if len(withoutServer) == len(usable) {
		return nil
	}
	return withoutServer
}

func (e *execution) isUsable(version lavid.VersionID, query lavplan.Query) bool {
	return slices.Contains(lavplan.Usable(e.document, query), version)
}

// resolvePin asks the owners of the session's pin for its version; without a proposal it only reads the pin.
func (e *execution) resolvePin(ctx context.Context, query lavpin.Query) (lavid.VersionID, bool) {
	began := time.Now()
	defer func() { e.Metrics.Observe(metricPinElapsed, time.Since(began)) }()
	query.Key = lavsession.Key{Account: e.request.Account, Session: e.request.Session, Model: e.request.ModelName}
	query.Provisional = e.request.FirstTurn
	return e.Sessions.Resolve(ctx, query)
}
