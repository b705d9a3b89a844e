package lavcost

import (
	"cmp"
	"math"
	"slices"
)

// planOutcome is the true quality and cost of one cascade on one task class, per request of the account.
type planOutcome struct {
	quality float64
	cost    float64 // in billionths of the currency unit
}

// restrictedOracle is given the true mean quality and cost of every cascade per account, phase and class, but neither the
// outcome of a single request nor later phases. It is the reference that costs are compared with.
type restrictedOracle struct {
	// hulls holds the upper convex hull of quality over cost for each account, phase and class. Values are weighted by
	// the class's share of the requests.
	hulls [][][][]planOutcome
}

func newRestrictedOracle(w *workload) *restrictedOracle {
	oracle := &restrictedOracle{}
	cascades := w.cascades()
	for account := range w.accounts {
		var phases [][][]planOutcome
		for phase := range phaseCount {
			var hulls [][]planOutcome
			for class := range w.classes {
				hulls = append(hulls, upperHull(w.planOutcomes(account, class, phase, cascades)))
			}
			phases = append(phases, hulls)
		}
		oracle.hulls = append(oracle.hulls, phases)
	}
	return oracle
}

// cascades returns every sequence of one to three versions in which each version is more expensive than the one before.
func (w *workload) cascades() [][]int {
	var cascades [][]int
	for first := range w.versions {
		cascades = append(cascades, []int{first})
		for second := first + 1; second < len(w.versions); second++ {
			cascades = append(cascades, []int{first, second})
			for third := second + 1; third < len(w.versions); third++ {
				cascades = append(cascades, []int{first, second, third})
			}
		}
	}
	return cascades
}

// planOutcomes returns the quality and cost of every cascade on the requests of an account, class and phase. Both are
// divided by the number of all requests of the account in the phase.
func (w *workload) planOutcomes(account, class, phase int, cascades [][]int) []planOutcome {
	sums := make([]planOutcome, len(cascades))
	requests := 0.0
	for _, drawn := range w.requests {
		if drawn.account != account || drawn.phase != phase {
			continue
		}
		requests++
		if drawn.class != class {
			continue
		}
		for i, cascade := range cascades {
			last, cost := w.runCascade(drawn, cascade)
			sums[i].cost += cost
			if drawn.answers[last].good {
				sums[i].quality++
			}
		}
	}
	for i := range sums {
		sums[i].quality /= requests
		sums[i].cost /= requests
	}
	return sums
}

// cost returns the lowest cost per request in a phase at which the expected quality of the account reaches the target, or
// the cost of the highest possible quality if no cascades reach it.
func (r *restrictedOracle) cost(account, phase int, target float64) float64 {
	var steps []planOutcome
	cost, missing := 0.0, target
	for _, hull := range r.hulls[account][phase] {
		cost += hull[0].cost
		missing -= hull[0].quality
		for i := 1; i < len(hull); i++ {
			steps = append(steps, planOutcome{quality: hull[i].quality - hull[i-1].quality, cost: hull[i].cost - hull[i-1].cost})
		}
	}
	slices.SortFunc(steps, func(a, b planOutcome) int { return cmp.Compare(a.cost/a.quality, b.cost/b.quality) })
	for _, step := range steps {
		if missing <= 0 {
			return cost
		}
		part := min(1, missing/step.quality)
		cost += part * step.cost
		missing -= part * step.quality
	}
	return cost
}

// upperHull returns the outcomes on the upper convex hull of quality over cost, cheapest first.
func upperHull(all []planOutcome) []planOutcome {
	slices.SortFunc(all, func(a, b planOutcome) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.quality, a.quality))
	})
	hull := all[:1:1]
	current := 0
	for {
		best, price := -1, math.Inf(1)
		for i := current + 1; i < len(all); i++ {
			gain := all[i].quality - all[current].quality
			if gain > 0 && (all[i].cost-all[current].cost)/gain < price {
				best, price = i, (all[i].cost-all[current].cost)/gain
			}
		}
		if best < 0 {
			return hull
		}
		hull = append(hull, all[best])
		current = best
	}
}

// outcomeOracle returns the cheapest result when the outcome of every version on every request is known in advance. It
// selects good answers in the order of their extra cost until the target is met.
func (w *workload) outcomeOracle() *result {
	all := newResult(len(w.accounts))
	for account, truth := range w.accounts {
		w.selectGoodAnswers(all, account, float64(truth.target))
	}
	return all
}

// cheapestAnswer is the cheapest good answer to a request. Its cost is baseCost, that of the cheapest version, plus
// extraCost.
type cheapestAnswer struct {
	request   request
	good      bool
	extraCost float64
	baseCost  float64
}

// selectGoodAnswers adds the requests of an account to all. It pays the extra cost only for as many requests as the
// target needs.
func (w *workload) selectGoodAnswers(all *result, account int, target float64) {
	var cheapestAnswers []cheapestAnswer
	for _, drawn := range w.requests {
		if drawn.account == account {
			cheapestAnswers = append(cheapestAnswers, w.cheapestGoodAnswer(drawn))
		}
	}
	slices.SortStableFunc(cheapestAnswers, func(a, b cheapestAnswer) int { return cmp.Compare(a.extraCost, b.extraCost) })
	needed := int(math.Ceil(target * float64(len(cheapestAnswers))))
	for i, selected := range cheapestAnswers {
		if i < needed && selected.good {
			all.add(selected.request, true, selected.baseCost+selected.extraCost)
			continue
		}
		all.add(selected.request, selected.good && selected.extraCost == 0, selected.baseCost)
	}
}

// cheapestGoodAnswer returns the cheapest good answer. Without one, good is false and extraCost is infinite.
func (w *workload) cheapestGoodAnswer(drawn request) cheapestAnswer {
	baseCost := w.versions[0].cost(drawn.relativeLength)
	for version, outcome := range drawn.answers {
		if outcome.good {
			return cheapestAnswer{request: drawn, good: true, baseCost: baseCost, extraCost: w.versions[version].cost(drawn.relativeLength) - baseCost}
		}
	}
	return cheapestAnswer{request: drawn, baseCost: baseCost, extraCost: math.Inf(1)}
}
