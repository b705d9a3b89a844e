package lavplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// maxStages is the largest number of versions in one plan.
const maxStages = 3

// candidatePlan is a sequence of versions with its expected quality, its expected cost in billionths (lavid.NanoUnits)
// and the standard deviation of the quality.
type candidatePlan struct {
	versions  []lavid.VersionID
	quality   float64
	cost      float64
	deviation float64
}

// plan converts a candidate to a plan; the answer of every stage but the last is rated before delivery.
func (p candidatePlan) plan(reason Reason) Plan {
	stages := make([]Stage, 0, len(p.versions))
	for i, version := range p.versions {
		stages = append(stages, Stage{Version: version, Checked: i+1 < len(p.versions)})
	}
	return Plan{Stages: stages, Reason: reason, Quality: lavid.Quality(p.quality), Cost: lavid.NanoUnits(p.cost)}
}

// candidateSet holds the candidate plans of one query shape.
type candidateSet struct {
	all []candidatePlan
	// hull holds the plans on the upper concave hull of quality over cost, cheapest first.
	hull []candidatePlan
}

// segment is the step from one plan of a hull to the next. marginalCost is the cost per unit of quality gained.
type segment struct {
	marginalCost float64
	qualityGain  float64
}

// segments returns the steps between the plans of the hull, in order of marginal cost.
func (c candidateSet) segments() []segment {
	var segments []segment
	for i := 1; i < len(c.hull); i++ {
		gain := c.hull[i].quality - c.hull[i-1].quality
		segments = append(segments, segment{marginalCost: (c.hull[i].cost - c.hull[i-1].cost) / gain, qualityGain: gain})
	}
	return segments
}

// enumerate calls visit with every sequence of at most maxLength versions in the given order. Versions are given
// cheapest first, so that each later stage is more expensive.
func enumerate(versions []lavid.VersionID, maxLength int, visit func([]lavid.VersionID)) {
	var extend func(prefix []lavid.VersionID, from int)
	extend = func(prefix []lavid.VersionID, from int) {
		for i := from; i < len(versions); i++ {
			next := append(slices.Clone(prefix), versions[i])
			visit(next)
			if len(next) < maxLength {
				extend(next, i+1)
			}
		}
	}
	extend(nil, 0)
}

// buildCandidates evaluates all plans of a query. Without ratings before delivery, plans have one stage.
func (s *State) buildCandidates(document *lavconfig.Document, query Query, eligible eligibleVersions, now time.Time) candidateSet {
	maxLength := 1
	if query.CanCheck {
		maxLength = maxStages
	}
	var all []candidatePlan
	enumerate(eligible.serving, maxLength, func(versions []lavid.VersionID) {
		all = append(all, s.evaluate(document, query, versions, now))
	})
	return candidateSet{all: all, hull: hull(all)}
}

// evaluate computes the expected quality and cost of trying versions in order, each answer but the last one rated
// before delivery. It works backwards from the last stage, which runs only if all earlier answers are rejected.
func (s *State) evaluate(document *lavconfig.Document, query Query, versions []lavid.VersionID, now time.Time) candidatePlan {
	result := candidatePlan{versions: versions}
	variance := 0.0
	for i := len(versions) - 1; i >= 0; i-- {
		key := lavevidence.Key{Version: versions[i], Class: query.Class}
		if i > 0 {
			key.After = versions[i-1]
		}
		estimate := s.estimate(document, key, now)
		accepted := s.expectedAcceptance(query.Account, key, float64(estimate.Accepted))
		quality := s.settings.RatingErrors.qualityFromAcceptance(accepted)
		if i == len(versions)-1 {
			result.quality = quality
			result.cost = float64(estimate.Cost)
			variance = estimate.Deviation * estimate.Deviation
			continue
		}
		acceptedGood := quality * (1 - float64(s.settings.RatingErrors.FalseReject))
		result.quality = acceptedGood + (1-accepted)*result.quality
		result.cost = float64(estimate.Cost) + float64(s.settings.CheckCost) + (1-accepted)*result.cost
		variance = estimate.Deviation*estimate.Deviation + (1-accepted)*(1-accepted)*variance
	}
	result.deviation = math.Sqrt(variance)
	return result
}

// hull returns the plans on the upper concave hull of quality over cost, cheapest first.
func hull(all []candidatePlan) []candidatePlan {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b candidatePlan) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.quality, a.quality))
	})
	var kept []candidatePlan
	for _, next := range sorted {
		if len(kept) > 0 && next.quality <= kept[len(kept)-1].quality {
			continue
		}
		for len(kept) > 1 && !hasDiminishingReturns(kept[len(kept)-2], kept[len(kept)-1], next) {
			kept = kept[:len(kept)-1]
		}
		kept = append(kept, next)
	}
	return kept
}

// hasDiminishingReturns reports whether the quality gained per cost from a to b exceeds that from b to c.
func hasDiminishingReturns(a, b, c candidatePlan) bool {
	return (b.quality-a.quality)*(c.cost-b.cost) > (c.quality-b.quality)*(b.cost-a.cost)
}
