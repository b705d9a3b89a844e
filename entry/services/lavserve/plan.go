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

// Planner chooses the versions of a request.
type Planner interface {
	Choose(document *lavconfig.Document, query lavplan.Query, now time.Time) (lavplan.Plan, bool)
}

// plan returns the stages of a request; a session that has a version keeps it while that may serve.
func (w *work) plan(ctx context.Context) (lavplan.Plan, error) {
	query := w.query()
	if w.request.Session == "" || w.request.Version != "" {
		query.Excluded = append(w.withoutServers(query), w.excluded...)
		return w.choose(query)
	}
	pinned, _ := w.resolve(ctx, lavpin.Query{})
	if pinned != "" && w.mayServe(pinned, query) {
		w.note(lavtrace.Step{Kind: lavtrace.StepPinned, Version: pinned})
		return lavplan.Plan{Stages: []lavplan.Stage{{Version: pinned}}, Reason: lavplan.ReasonPinned}, nil
	}
	query.Excluded = append(w.withoutServers(query), w.excluded...)
	plan, err := w.choose(query)
	if err != nil || (len(plan.Stages) > 1 && pinned == "") {
		return plan, err
	}
	return w.pinFirst(ctx, plan, pinned, query)
}

func (w *work) query() lavplan.Query {
	return lavplan.Query{
		Account:  w.request.Account,
		Model:    w.request.Model,
		Version:  w.request.Version,
		Class:    w.request.Class,
		CanCheck: w.Raters.CanCheck(time.Now()),
	}
}

// pinFirst pins the version before any work runs, so that requests at other hosts agree on it.
func (w *work) pinFirst(ctx context.Context, plan lavplan.Plan, replaced lavid.VersionID, query lavplan.Query) (lavplan.Plan, error) {
	proposed := plan.Stages[len(plan.Stages)-1].Version
	version, moved := w.resolve(ctx, lavpin.Query{Proposed: proposed, Replaces: replaced})
	w.request.SessionMoved = moved
	if moved {
		w.Metrics.Count(metricMoved, 1)
	}
	if version == "" || !w.mayServe(version, query) {
		version = proposed
	}
	w.note(lavtrace.Step{Kind: lavtrace.StepPinned, Version: version})
	return lavplan.Plan{Stages: []lavplan.Stage{{Version: version}}, Reason: plan.Reason}, nil
}

func (w *work) choose(query lavplan.Query) (lavplan.Plan, error) {
	plan, ok := w.Planner.Choose(w.document, query, time.Now())
	if !ok {
		return plan, laverror.New(laverror.KindNotAllowed, "no allowed version serves this model", "choose one that GET /v1/models lists")
	}
	for _, stage := range plan.Stages {
		w.note(lavtrace.Step{Kind: lavtrace.StepPlanned, Version: stage.Version, Reason: string(plan.Reason)})
	}
	return plan, nil
}

// withoutServers returns usable versions that no server in service holds, unless that is all of them.
func (w *work) withoutServers(query lavplan.Query) []lavid.VersionID {
	usable := lavplan.Usable(w.document, query)
	var lacking []lavid.VersionID
	for _, id := range usable {
		if w.Fleet.Pool(w.document, lavfleet.Requirements{Version: id}, time.Now()).Servers == 0 {
			lacking = append(lacking, id)
		}
	}
	if len(lacking) == len(usable) {
		return nil
	}
	return lacking
}

func (w *work) mayServe(version lavid.VersionID, query lavplan.Query) bool {
	return slices.Contains(lavplan.Usable(w.document, query), version)
}

// resolve asks the session's owners; an empty proposal only looks the version up.
func (w *work) resolve(ctx context.Context, ask lavpin.Query) (lavid.VersionID, bool) {
	began := time.Now()
	defer func() { w.Metrics.Observe(metricPinElapsed, time.Since(began)) }()
	ask.Key = lavsession.Key{Account: w.request.Account, Session: w.request.Session, Model: w.request.Named}
	ask.Provisional = w.request.FirstTurn
	return w.Sessions.Resolve(ctx, ask)
}
