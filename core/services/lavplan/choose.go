package lavplan

import (
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavconfig"
)

// explorationDeviations is how many standard deviations are added to the expected quality of a plan when deciding
// whether to explore it (an upper confidence bound).
const explorationDeviations = 2

// uncheckedExploreShare is the share of exploration spent on plans without rating before delivery.
const uncheckedExploreShare = 0.5

// choosePlan counts the request into the account's mix and picks a plan by the account's multiplier or for
// exploration.
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

// selectByMultiplier returns the last plan of the hull whose marginal cost does not exceed the multiplier. A step
// at exactly the multiplier is taken by the account's fraction of requests.
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

// explore picks at random one of the plans whose quality is uncertain and whose net value, at the upper confidence bound
// of their quality, exceeds that of every plan on the hull.
//
// While answers can be rated before delivery, half of the exploration uses single-stage plans, which are the only ones
// left while the rating service is down. Their quality cannot be measured then.
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
		uncertain := candidate.deviation > s.settings.MinExploreDeviation
		if uncertain && netValue(candidate, price, explorationDeviations) > best {
			worthwhile = append(worthwhile, candidate)
		}
	}
	if len(worthwhile) == 0 {
		return candidatePlan{}, false
	}
	return worthwhile[random.IntN(len(worthwhile))], true
}

// highestMarginalCost returns the marginal cost of the last segment of the hull.
func (c candidateSet) highestMarginalCost() float64 {
	highest := 0.0
	for _, segment := range c.segments() {
		highest = max(highest, segment.marginalCost)
	}
	return highest
}

// netValue returns the value of a plan's quality at a price, minus its cost. The quality is raised by a number of
// standard deviations.
func netValue(candidate candidatePlan, price, deviations float64) float64 {
	return price*min(candidate.quality+deviations*candidate.deviation, 1) - candidate.cost
}

// inShare reports whether a random draw falls into a share.
func inShare(random *rand.Rand, share float64) bool {
	return random.Float64() < share
}
