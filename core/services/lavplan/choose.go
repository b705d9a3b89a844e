package lavplan

import (
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavconfig"
)

// optimism is how many deviations above its estimate a plan may turn out, for it to be worth exploring.
const optimism = 2

// uncheckedPart is the part of exploration that prepares for a rating service that is down.
const uncheckedPart = 0.5

// choosePoint picks a plan by the account's multiplier.
func (s *State) choosePoint(document *lavconfig.Document, query Query, found frontier, random *rand.Rand, now time.Time) Plan {
	account := s.balance(query.Account, now)
	account.mix[query.shape()]++
	if !account.solved {
		s.solve(document, query.Account, account, now)
	}
	if drawn(random, float64(s.settings.ExploreShare)) {
		if explored, ok := s.explore(document, query, found, random, now); ok {
			return explored.plan(ReasonExplored)
		}
	}
	reason := ReasonCheapest
	if account.multiplier == highestMultiplier {
		reason = ReasonUnreachable
	}
	return found.at(account, random).plan(reason)
}

// at returns the last plan of the hull whose price is paid.
func (f frontier) at(account *balance, random *rand.Rand) point {
	chosen := f.hull[0]
	for i, step := range f.segments() {
		if step.price > account.multiplier {
			break
		}
		if step.price == account.multiplier && !drawn(random, account.fraction) {
			break
		}
		chosen = f.hull[i+1]
	}
	return chosen
}

// explore picks one of the plans that are too little known to rule out that they are better.
//
// Every other time it looks at the plans that remain when no answer can be
// rated before delivery, since nothing can be learned once that is so.
func (s *State) explore(document *lavconfig.Document, query Query, found frontier, random *rand.Rand, now time.Time) (point, bool) {
	account := s.balance(query.Account, now)
	price := account.multiplier
	if query.CanCheck && drawn(random, uncheckedPart) {
		query.CanCheck = false
		found = s.frontier(document, query, s.open(document, query), now)
		price = account.unchecked
	}
	price = min(price, found.highestPrice())
	best := value(found.hull[0], price, 0)
	for _, known := range found.hull {
		best = max(best, value(known, price, 0))
	}
	var worthwhile []point
	for _, candidate := range found.all {
		unknown := candidate.deviation > s.settings.EnoughDeviation
		if unknown && value(candidate, price, optimism) > best {
			worthwhile = append(worthwhile, candidate)
		}
	}
	if len(worthwhile) == 0 {
		return point{}, false
	}
	return worthwhile[random.IntN(len(worthwhile))], true
}

func (f frontier) highestPrice() float64 {
	highest := 0.0
	for _, step := range f.segments() {
		highest = max(highest, step.price)
	}
	return highest
}

func value(candidate point, price, deviations float64) float64 {
	return price*min(candidate.quality+deviations*candidate.deviation, 1) - candidate.cost
}

// drawn tells whether a request falls into a share.
func drawn(random *rand.Rand, share float64) bool {
	return random.Float64() < share
}
