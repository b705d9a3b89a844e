package lavplan

import (
	"math/rand/v2"
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Stage is one version to try. If Checked is set, its answer is rated before delivery, and the next stage runs if
// the answer is rejected or the stage fails.
type Stage struct {
	Version lavid.VersionID
	Checked bool
}

// Reason is the reason for choosing a plan.
type Reason string

// The reasons for choosing a plan. Their texts appear in the traces of requests.
const (
	ReasonCheapest    Reason = "cheapest plan that keeps the account on its quality target"
	ReasonUnreachable Reason = "quality target out of reach; best expected quality"
	ReasonPinned      Reason = "session keeps its version"
	ReasonNamed       Reason = "caller named the version"
	ReasonExplored    Reason = "explored to learn the quality of a plan"
	ReasonRollOut     Reason = "share of a version under roll-out"
	ReasonOnlyRollOut Reason = "only a version under roll-out is open to the request"
)

// Plan lists the stages of a request in the order in which they are tried.
type Plan struct {
	Stages []Stage
	Reason Reason
	// Quality and Cost are the expected values per request.
	Quality lavid.Quality
	Cost    lavid.NanoUnits
}

// Query describes a request as far as its plan depends on it.
type Query struct {
	Account lavid.AccountID
	// Model limits the plan to the versions of one model; empty allows all models.
	Model lavid.ModelID
	// Version limits the plan to one version; empty allows all versions.
	Version lavid.VersionID
	Class   lavid.TaskClass
	// Pinned is the version that the request's session uses; empty for a new session.
	Pinned lavid.VersionID
	// Excluded lists versions without a server that has capacity for the request.
	Excluded []lavid.VersionID
	// CanCheck reports whether an answer can be rated before it is delivered.
	CanCheck bool
}

// Choose returns the cheapest plan that keeps the account on its quality target, or false if no version may serve
// the request. A small share of requests takes another plan, to explore it or to serve a version under roll-out.
func Choose(document *lavconfig.Document, state *State, query Query, random *rand.Rand, now time.Time) (Plan, bool) {
	state.mu.Lock()
	defer state.mu.Unlock()
	if plan, ok := state.pinnedPlan(document, query, now); ok {
		return plan, true
	}
	eligible := state.eligible(document, query)
	if len(eligible.serving) == 0 {
		return state.rollOutFallback(document, query, eligible, now)
	}
	candidates := state.candidates(document, query, eligible, now)
	plan := state.choosePlan(document, query, candidates, random, now)
	if query.Version != "" {
		plan.Reason = ReasonNamed
	}
	if plan.Reason == ReasonExplored {
		return plan, true
	}
	return state.substituteRollOut(document, plan, eligible, random), true
}

// pinnedPlan keeps a session on its version while that version is usable. A stopped version keeps its sessions
// until it is withdrawn.
func (s *State) pinnedPlan(document *lavconfig.Document, query Query, now time.Time) (Plan, bool) {
	if query.Pinned == "" || !slices.Contains(Usable(document, query), query.Pinned) {
		return Plan{}, false
	}
	return s.singleStagePlan(document, query, query.Pinned, ReasonPinned, now), true
}

// rollOutFallback plans the cheapest eligible version under roll-out when no serving version is eligible.
func (s *State) rollOutFallback(document *lavconfig.Document, query Query, eligible eligibleVersions, now time.Time) (Plan, bool) {
	if len(eligible.rollingOut) == 0 {
		return Plan{}, false
	}
	return s.singleStagePlan(document, query, eligible.rollingOut[0], ReasonOnlyRollOut, now), true
}

// singleStagePlan returns the plan that tries one version only.
func (s *State) singleStagePlan(document *lavconfig.Document, query Query, version lavid.VersionID, reason Reason, now time.Time) Plan {
	candidate := s.evaluate(document, query, []lavid.VersionID{version}, now)
	return candidate.plan(reason)
}
