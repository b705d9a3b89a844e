package lavplan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

var start = time.Date(2026, time.April, 1, 8, 0, 0, 0, time.UTC)

func newState() *State {
	return NewState(DefaultSettings(), lavevidence.NewTable(lavevidence.DefaultSettings()))
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

func drawDocument(t *rapid.T) *lavconfig.Document {
	document := &lavconfig.Document{Versions: map[lavid.VersionID]lavconfig.Version{}}
	states := []lavconfig.VersionState{lavconfig.VersionServing, lavconfig.VersionRollingOut, lavconfig.VersionWithdrawn}
	var allowed []lavid.VersionID
	for i := range rapid.IntRange(1, 6).Draw(t, "versions") {
		id := lavid.VersionID(fmt.Sprintf("v%d", i))
		document.Versions[id] = lavconfig.Version{
			Model:           lavid.ModelID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")),
			State:           rapid.SampledFrom(states).Draw(t, "state"),
			MaxShare:        lavid.Share(rapid.Float64Range(0, 1).Draw(t, "share")),
			Replaces:        lavid.VersionID(fmt.Sprintf("v%d", rapid.IntRange(0, 5).Draw(t, "replaces"))),
			OutputPrice:     lavid.NanoUnits(rapid.IntRange(0, 5).Draw(t, "price")),
			ExpectedQuality: lavid.Quality(rapid.Float64Range(0, 1).Draw(t, "quality")),
		}
		if rapid.Bool().Draw(t, "allowed") {
			allowed = append(allowed, id)
		}
	}
	target := lavid.Quality(rapid.Float64Range(0, 1).Draw(t, "target"))
	document.ClientAccounts = map[lavid.AccountID]lavconfig.ClientAccount{"one": {AllowedVersions: allowed, QualityTarget: target}}
	return document
}

// TestOnlyAllowedVersionsInServiceArePlanned checks, over random configurations, that no plan uses a version that
// the account may not use, that is withdrawn, or that is stopped while others can serve, and that sessions keep
// their version.
func TestOnlyAllowedVersionsInServiceArePlanned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t)
		state := newState()
		stopped := lavid.VersionID(fmt.Sprintf("v%d", rapid.IntRange(0, 5).Draw(t, "stopped")))
		exposure := Exposure{Stopped: []lavid.VersionID{stopped}}
		for id := range document.Versions {
			exposure.Shares = append(exposure.Shares, VersionShare{Version: id, Share: 1})
		}
		state.SetExposure(exposure)
		query := Query{
			Account:  "one",
			Model:    lavid.ModelID(rapid.SampledFrom([]string{"", "a"}).Draw(t, "model")),
			Pinned:   lavid.VersionID(rapid.SampledFrom([]string{"", "v0"}).Draw(t, "pinned")),
			CanCheck: rapid.Bool().Draw(t, "check"),
		}
		random := newRandom()
		for i := range 10 {
			plan, ok := Choose(document, state, query, random, start)
			if ok {
				checkPlan(t, document, query, plan, stopped)
			}
			state.Tick(document, start.Add(time.Duration(i)*time.Second))
		}
	})
}

// checkPlan fails the test if a plan breaks a rule on which versions may serve the query.
func checkPlan(t *rapid.T, document *lavconfig.Document, query Query, plan Plan, stopped lavid.VersionID) {
	usable := Usable(document, query)
	if len(plan.Stages) == 0 || len(plan.Stages) > maxStages || (!query.CanCheck && len(plan.Stages) > 1) {
		t.Fatalf("wrong number of stages: %+v", plan)
	}
	for _, stage := range plan.Stages {
		if !slices.Contains(document.ClientAccounts["one"].AllowedVersions, stage.Version) || !slices.Contains(usable, stage.Version) {
			t.Fatalf("planned version %s, which may not serve the query: %+v", stage.Version, plan)
		}
		if document.Versions[stage.Version].State == lavconfig.VersionWithdrawn {
			t.Fatalf("planned withdrawn version %s", stage.Version)
		}
		lastResort := len(usable) == 1 || onlyStoppedServes(document, usable, stopped)
		if stage.Version == stopped && plan.Reason != ReasonPinned && !lastResort {
			t.Fatalf("planned stopped version %s: %+v", stage.Version, plan)
		}
	}
	if slices.Contains(usable, query.Pinned) && plan.Stages[0].Version != query.Pinned {
		t.Fatalf("plan does not keep the session's version: %+v", plan)
	}
}

// onlyStoppedServes reports whether no usable version but the stopped one is left.
func onlyStoppedServes(document *lavconfig.Document, usable []lavid.VersionID, stopped lavid.VersionID) bool {
	return !slices.ContainsFunc(usable, func(id lavid.VersionID) bool {
		return id != stopped && document.Versions[id].State != lavconfig.VersionWithdrawn
	})
}

func rollOutDocument() *lavconfig.Document {
	return &lavconfig.Document{
		ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{
			"one": {AllowedVersions: []lavid.VersionID{"old", "new"}, QualityTarget: 0.9},
		},
		Versions: map[lavid.VersionID]lavconfig.Version{
			"old": {Model: "m", State: lavconfig.VersionServing, OutputPrice: 1, ExpectedQuality: 0.95},
			"new": {Model: "m", State: lavconfig.VersionRollingOut, OutputPrice: 1, ExpectedQuality: 0.99, Replaces: "old", MaxShare: 0.2},
		},
	}
}

func TestRollOutStaysWithinItsShare(t *testing.T) {
	is := is.New(t)
	document, state, random := rollOutDocument(), newState(), newRandom()
	shareOfNew := func(exposure Exposure) (taken float64) {
		state.SetExposure(exposure)
		const requests = 20_000
		for range requests {
			plan, ok := Choose(document, state, Query{Account: "one"}, random, start)
			is.True(ok)
			if plan.Stages[0].Version == "new" {
				taken++
			}
		}
		return taken / requests
	}
	exposure := func(share lavid.Share) Exposure {
		return Exposure{Shares: []VersionShare{{Version: "new", Share: share}}}
	}
	is.True(math.Abs(shareOfNew(exposure(0.05))-0.05) < 0.01)
	is.True(math.Abs(shareOfNew(exposure(1))-0.2) < 0.015)                 // at most the share set by operators
	is.Equal(shareOfNew(Exposure{}), 0.0)                                  // no share before an owner has decided
	is.Equal(shareOfNew(Exposure{Stopped: []lavid.VersionID{"new"}}), 0.0) // no new sessions once stopped
}

// TestExcludedVersionIsNotPlannedFromCachedCandidates guards against candidates cached for a query without excluded
// versions being used for a query with them, which would plan a version without capacity.
func TestExcludedVersionIsNotPlannedFromCachedCandidates(t *testing.T) {
	is := is.New(t)
	document, state, random := largeDocument(), newState(), newRandom()
	query := Query{Account: "one", CanCheck: true}
	plan, ok := Choose(document, state, query, random, start)
	is.True(ok)
	query.Excluded = []lavid.VersionID{plan.Stages[0].Version}
	for range 200 {
		other, ok := Choose(document, state, query, random, start)
		is.True(ok)
		for _, stage := range other.Stages {
			is.True(stage.Version != query.Excluded[0])
		}
	}
}

func TestUnreachableTargetTakesTheBestPlanWithItsReason(t *testing.T) {
	is := is.New(t)
	document := rollOutDocument()
	account := document.ClientAccounts["one"]
	account.QualityTarget = 0.99
	document.ClientAccounts["one"] = account
	plan, ok := Choose(document, newState(), Query{Account: "one"}, newRandom(), start)
	is.True(ok)
	is.Equal(plan.Reason, ReasonUnreachable)
	is.Equal(plan.Stages[0].Version, lavid.VersionID("old"))
}

func TestMixOfNeighbouringPlansMeetsTheTarget(t *testing.T) {
	is := is.New(t)
	document := &lavconfig.Document{
		ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{
			"one": {AllowedVersions: []lavid.VersionID{"expensive", "cheap"}, QualityTarget: 0.8},
		},
		Versions: map[lavid.VersionID]lavconfig.Version{
			"cheap":     {State: lavconfig.VersionServing, OutputPrice: 1, ExpectedQuality: 0.7},
			"expensive": {State: lavconfig.VersionServing, OutputPrice: 9, ExpectedQuality: 0.9},
		},
	}
	settings := DefaultSettings()
	settings.ExploreShare = 0
	state := NewState(settings, lavevidence.NewTable(lavevidence.DefaultSettings()))
	random := newRandom()
	expensive := 0.0
	const requests = 10_000
	for range requests {
		plan, _ := Choose(document, state, Query{Account: "one"}, random, start)
		if plan.Stages[0].Version == "expensive" {
			expensive++
		}
	}
	is.True(math.Abs(expensive/requests-0.5) < 0.02) // the target is halfway between the two qualities
}

func TestHullHasDiminishingReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []candidatePlan
		for range rapid.IntRange(1, 30).Draw(t, "points") {
			all = append(all, candidatePlan{cost: rapid.Float64Range(1, 100).Draw(t, "cost"), quality: rapid.Float64Range(0, 1).Draw(t, "quality")})
		}
		segments := candidateSet{hull: hull(all)}.segments()
		for i, segment := range segments {
			if segment.qualityGain <= 0 || segment.marginalCost < 0 || (i > 0 && segment.marginalCost < segments[i-1].marginalCost) {
				t.Fatalf("hull is not concave: %+v", segments)
			}
		}
	})
}

func largeDocument() *lavconfig.Document {
	const versions = 15
	document := &lavconfig.Document{Versions: map[lavid.VersionID]lavconfig.Version{}}
	var allowed []lavid.VersionID
	for i := range versions {
		id := lavid.VersionID(fmt.Sprintf("v%d", i))
		allowed = append(allowed, id)
		quality := lavid.Quality(0.5 + 0.03*float64(i))
		document.Versions[id] = lavconfig.Version{State: lavconfig.VersionServing, OutputPrice: 1 << i, ExpectedQuality: quality}
	}
	document.ClientAccounts = map[lavid.AccountID]lavconfig.ClientAccount{"one": {AllowedVersions: allowed, QualityTarget: 0.8}}
	return document
}

func BenchmarkChoose(b *testing.B) {
	document, state, random := largeDocument(), newState(), newRandom()
	for b.Loop() {
		Choose(document, state, Query{Account: "one", CanCheck: true}, random, start)
	}
}

func BenchmarkTickPerShape(b *testing.B) {
	document, state, random := largeDocument(), newState(), newRandom()
	Choose(document, state, Query{Account: "one", CanCheck: true}, random, start)
	for b.Loop() {
		state.Tick(document, start)
	}
}
