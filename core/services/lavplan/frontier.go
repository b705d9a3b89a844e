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

// maxStages bounds the versions that one request is tried on.
const maxStages = 3

// point is one plan with what is expected of it.
type point struct {
	versions  []lavid.VersionID
	quality   float64
	cost      float64
	deviation float64
}

func (p point) plan(reason Reason) Plan {
	stages := make([]Stage, 0, len(p.versions))
	for i, version := range p.versions {
		stages = append(stages, Stage{Version: version, Checked: i+1 < len(p.versions)})
	}
	return Plan{Stages: stages, Reason: reason, Quality: lavid.Quality(p.quality), Cost: lavid.NanoUnits(p.cost)}
}

// frontier holds the plans of one shape of query.
type frontier struct {
	all []point
	// hull holds the plans with the best quality for their cost, cheapest first, at falling returns.
	hull []point
}

// segment is the step from one plan of a hull to the next.
type segment struct {
	price   float64
	quality float64
}

func (f frontier) segments() []segment {
	var steps []segment
	for i := 1; i < len(f.hull); i++ {
		gain := f.hull[i].quality - f.hull[i-1].quality
		steps = append(steps, segment{price: (f.hull[i].cost - f.hull[i-1].cost) / gain, quality: gain})
	}
	return steps
}

// enumerate calls visit with every sequence of versions, each dearer than the one before.
func enumerate(versions []lavid.VersionID, longest int, visit func([]lavid.VersionID)) {
	var extend func(prefix []lavid.VersionID, from int)
	extend = func(prefix []lavid.VersionID, from int) {
		for i := from; i < len(versions); i++ {
			next := append(slices.Clone(prefix), versions[i])
			visit(next)
			if len(next) < longest {
				extend(next, i+1)
			}
		}
	}
	extend(nil, 0)
}

func (s *State) buildFrontier(document *lavconfig.Document, query Query, open openVersions, now time.Time) frontier {
	longest := 1
	if query.CanCheck {
		longest = maxStages
	}
	var all []point
	enumerate(open.serving, longest, func(versions []lavid.VersionID) {
		all = append(all, s.evaluate(document, query, versions, now))
	})
	return frontier{all: all, hull: hull(all)}
}

// evaluate returns what is expected of trying versions in order, each answer but the last one rated before delivery.
func (s *State) evaluate(document *lavconfig.Document, query Query, versions []lavid.VersionID, now time.Time) point {
	result := point{versions: versions}
	variance := 0.0
	for i := len(versions) - 1; i >= 0; i-- {
		key := lavevidence.Key{Version: versions[i], Class: query.Class}
		if i > 0 {
			key.After = versions[i-1]
		}
		known := s.estimate(document, key, now)
		accepted := s.accepted(query.Account, key, float64(known.Accepted))
		quality := s.settings.Rater.quality(accepted)
		if i == len(versions)-1 {
			result.quality = quality
			result.cost = float64(known.Cost)
			variance = known.Deviation * known.Deviation
			continue
		}
		kept := quality * (1 - float64(s.settings.Rater.FalseReject))
		result.quality = kept + (1-accepted)*result.quality
		result.cost = float64(known.Cost) + float64(s.settings.CheckCost) + (1-accepted)*result.cost
		variance = known.Deviation*known.Deviation + (1-accepted)*(1-accepted)*variance
	}
	result.deviation = math.Sqrt(variance)
	return result
}

// hull returns the upper concave hull of quality over cost.
func hull(all []point) []point {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.quality, a.quality))
	})
	var kept []point
	for _, next := range sorted {
		if len(kept) > 0 && next.quality <= kept[len(kept)-1].quality {
			continue
		}
		for len(kept) > 1 && !falling(kept[len(kept)-2], kept[len(kept)-1], next) {
			kept = kept[:len(kept)-1]
		}
		kept = append(kept, next)
	}
	return kept
}

// falling says whether the gain per cost from a to b exceeds that from b to c.
func falling(a, b, c point) bool {
	return (b.quality-a.quality)*(c.cost-b.cost) > (c.quality-b.quality)*(b.cost-a.cost)
}
