package lavplan

import (
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavconfig"
)

// optimism is how many deviations above its estimate a plan may turn out, for it to be worth exploring.
const explorationDeviations = 2

// uncheckedPart is the part of exploration that prepares for a rating service that is down.
const uncheckedExploreShare = 0.5

// choosePoint picks a plan by the account's multiplier.
func (s *State) choosePlan(document *lavconfig.Document, query Query, candidates candidateSet, random *rand.Rand, now time.Time) Plan {
	account := s.account(query.Account, now)
	account.mix[query.shape()]++
	if !account.solved {
		s.solve(document, query.Account, account, now)
	}
	if inShare(random, float64(s.settings.ExploreShare)) {
		if explored, ok := s.explore(document, query, candidates, random, now); ok {
			return explored.plan(ReasonExplored)
		}
	}
	reason := ReasonCheapest
	if account.multiplier == highestMultiplier {
		reason = ReasonUnreachable
	}
	return candidates.selectByMultiplier(account, random).plan(reason)
}

// at returns the last plan of the hull whose price is paid.
func (c candidateSet) selectByMultiplier(account *accountState, random *rand.Rand) candidatePlan {
	chosen := c.hull[0]
	for i, segment := range c.segments() {
		if segment.marginalCost > account.multiplier {
			break
		}
		if segment.marginalCost == account.multiplier && !inShare(random, account.fraction) {
			break
		}
		chosen = c.hull[i+1]
	}
	return chosen
}

// explore picks one of the plans that are too little known to rule out that they are better.
//
// Every other time it looks at the plans that remain when no answer can be
// rated before delivery, since nothing can be learned once that is so.
func (s *State) explore(document *lavconfig.Document, query Query, candidates candidateSet, random *rand.Rand, now time.Time) (candidatePlan, bool) {
	account := s.account(query.Account, now)
	price := account.multiplier
	if query.CanCheck && inShare(random, uncheckedExploreShare) {
		query.CanCheck = false
		candidates = s.candidates(document, query, s.eligible(document, query), now)
		price = account.uncheckedMultiplier
	}
	price = min(price, candidates.highestMarginalCost())
	best := netValue(candidates.hull[0], price, 0)
	for _, hullPlan := range candidates.hull {
		best = max(best, netValue(hullPlan, price, 0))
	}
	var worthwhile []candidatePlan
	for _, candidate := range candidates.all {
		uncertain := candidate.deviation > s.settings.KnownDeviation
		if uncertain && netValue(candidate, price, explorationDeviations) > best {
			worthwhile = append(worthwhile, candidate)
		}
	}
	if len(worthwhile) == 0 {
		return candidatePlan{}, false
	}
	return worthwhile[random.IntN(len(worthwhile))], true
}

func (c candidateSet) highestMarginalCost() float64 {
	highest := 0.0
	for _, segment := range c.segments() {
		highest = max(highest, segment.marginalCost)
	}
	return highest
}

func netValue(candidate candidatePlan, price, deviations float64) float64 {
	return price*min(candidate.quality+deviations*candidate.deviation, 1) - candidate.cost
}

// drawn tells whether a request falls into a share.
func inShare(random *rand.Rand, share float64) bool {
	return random.Float64() < share
}
