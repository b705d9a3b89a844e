package lavplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// highestMultiplier stands for a target out of reach.
const highestMultiplier = math.MaxFloat64

// minWeight is the weight below which a shape of query is forgotten.
const minWeight = 0.01

// balance weighs the cost of an account against its quality.
type balance struct {
	mix map[shape]float64
	// multiplier is the highest price of a unit of quality that is paid.
	multiplier float64
	// fraction is the part of requests for which a price of exactly the multiplier is paid.
	fraction float64
	// delivered and good sum delivered answers and their expected quality.
	delivered float64
	good      float64
	// unchecked is the multiplier that would hold if no answer could be rated before delivery.
	unchecked float64
	habits    habits
	solved    bool
	updated   time.Time
}

func (s *State) balance(account lavid.AccountID, now time.Time) *balance {
	found, ok := s.balances[account]
	if !ok {
		found = &balance{mix: make(map[shape]float64), habits: newHabits(), updated: now}
		s.balances[account] = found
	}
	return found
}

// Tick sets the multiplier of every account from its mix of requests and its measured quality.
func (s *State) Tick(document *lavconfig.Document, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.frontiers)
	clear(s.estimates)
	for account, found := range s.balances {
		if _, exists := document.ClientAccounts[account]; !exists {
			delete(s.balances, account)
			continue
		}
		found.decay(s.settings.HalfLife, now)
		s.solve(document, account, found, now)
	}
}

func (b *balance) decay(halfLife time.Duration, now time.Time) {
	factor := math.Exp2(-float64(now.Sub(b.updated)) / float64(halfLife))
	b.updated = now
	for key := range b.mix {
		b.mix[key] *= factor
		if b.mix[key] < minWeight {
			delete(b.mix, key)
		}
	}
	b.delivered *= factor
	b.good *= factor
	b.habits.scale(factor)
}

// measured is the quality of what was delivered, or the target before anything was.
func (b *balance) measured(target float64) float64 {
	if b.delivered <= 0 {
		return target
	}
	return b.good / b.delivered
}

// aim returns the expected quality to plan for, so that the measured one comes to the target.
func (s *State) aim(target float64, found *balance) float64 {
	limit := float64(s.settings.MaxCorrection)
	missed := s.settings.Gain * (target - found.measured(target))
	return target + clamp(missed, -limit, limit)
}

// solve finds the lowest multiplier at which the mix of requests is expected to come to the aim.
func (s *State) solve(document *lavconfig.Document, account lavid.AccountID, found *balance, now time.Time) {
	aim := s.aim(float64(document.ClientAccounts[account].QualityTarget), found)
	steps, missing := s.steps(document, account, found, now, false)
	found.multiplier, found.fraction = price(steps, aim, missing)
	steps, missing = s.steps(document, account, found, now, true)
	found.unchecked, _ = price(steps, aim, missing)
	found.solved = true
}

// cheapest is the quality of a mix when every request takes its cheapest plan.
type cheapest struct {
	weight  float64
	quality float64
}

// steps returns the steps of the frontiers of a mix and where they start from.
func (s *State) steps(document *lavconfig.Document, account lavid.AccountID, found *balance, now time.Time, unchecked bool) ([]segment, cheapest) {
	var steps []segment
	var from cheapest
	for _, key := range found.shapes() {
		query := key.query(account)
		query.CanCheck = query.CanCheck && !unchecked
		open := s.open(document, query)
		if len(open.serving) == 0 {
			continue
		}
		plans := s.frontier(document, query, open, now)
		weight := found.mix[key]
		from.weight += weight
		from.quality += weight * plans.hull[0].quality
		for _, step := range plans.segments() {
			steps = append(steps, segment{price: step.price, quality: step.quality * weight})
		}
	}
	return steps, from
}

// shapes returns the shapes of the mix in a fixed order, so that sums do not depend on the order of a map.
func (b *balance) shapes() []shape {
	keys := make([]shape, 0, len(b.mix))
	for key := range b.mix {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b shape) int {
		return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.version, b.version), cmp.Compare(a.class, b.class), cmp.Compare(a.excluded, b.excluded), compareBool(a.canCheck, b.canCheck))
	})
	return keys
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// price returns the price of the last step needed to gain the missing quality, and the part of it that is needed.
func price(steps []segment, aim float64, from cheapest) (multiplier, fraction float64) {
	missing := aim*from.weight - from.quality
	if missing <= 0 {
		return 0, 0
	}
	slices.SortStableFunc(steps, func(a, b segment) int { return cmp.Compare(a.price, b.price) })
	for _, step := range steps {
		if step.quality >= missing {
			return step.price, missing / step.quality
		}
		missing -= step.quality
	}
	return highestMultiplier, 1
}
