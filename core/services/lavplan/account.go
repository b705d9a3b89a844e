package lavplan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// highestMultiplier is the multiplier of an account whose quality target is out of reach.
const highestMultiplier = math.MaxFloat64

// minDecayedWeight is the weight below which a query shape or the ratings of a key are removed.
const minDecayedWeight = 0.01

// accountState holds the recent requests, the measured quality and the multiplier of one client account.
type accountState struct {
	// mix holds the decayed number of recent requests of each query shape.
	mix map[queryShape]float64
	// multiplier is the highest price paid for one more unit of expected quality, in billionths (lavid.NanoUnits).
	multiplier float64
	// fraction is the share of requests that take a step whose marginal cost equals the multiplier.
	fraction float64
	// delivered counts delivered answers, and expectedGood sums the probabilities that they are good. Both decay.
	delivered    float64
	expectedGood float64
	// uncheckedMultiplier is the multiplier that would apply if no answer could be rated before delivery.
	uncheckedMultiplier float64
	ratings             accountRatings
	// solved reports whether the multiplier has been computed.
	solved bool
	// updated is the time of the last decay.
	updated time.Time
}

// account returns the state of an account, and creates it if needed.
func (s *State) account(id lavid.AccountID, now time.Time) *accountState {
	found, ok := s.accounts[id]
	if !ok {
		found = &accountState{mix: make(map[queryShape]float64), ratings: newAccountRatings(), updated: now}
		s.accounts[id] = found
	}
	return found
}

// Tick recomputes the multipliers of every account from its mix of requests and its measured quality. It removes the
// accounts that the configuration no longer lists.
func (s *State) Tick(document *lavconfig.Document, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.candidateSets)
	clear(s.estimates)
	for account, state := range s.accounts {
		if _, exists := document.ClientAccounts[account]; !exists {
			delete(s.accounts, account)
			continue
		}
		state.decay(s.settings.HalfLife, now)
		s.solve(document, account, state, now)
	}
}

// decay scales the weights of past requests, answers and ratings by the decay since the last call.
func (a *accountState) decay(halfLife time.Duration, now time.Time) {
	factor := math.Exp2(-float64(now.Sub(a.updated)) / float64(halfLife))
	a.updated = now
	for shape := range a.mix {
		a.mix[shape] *= factor
		if a.mix[shape] < minDecayedWeight {
			delete(a.mix, shape)
		}
	}
	a.delivered *= factor
	a.expectedGood *= factor
	a.ratings.scale(factor)
}

// measured returns the mean expected quality of the delivered answers, or the fallback if there are none.
func (a *accountState) measured(fallback float64) float64 {
	if a.delivered <= 0 {
		return fallback
	}
	return a.expectedGood / a.delivered
}

// correctedTarget returns the expected quality to plan for, so that the measured quality approaches the target.
func (s *State) correctedTarget(target float64, state *accountState) float64 {
	limit := float64(s.settings.MaxCorrection)
	correction := s.settings.Gain * (target - state.measured(target))
	return target + clamp(correction, -limit, limit)
}

// solve sets the multipliers to the lowest values at which the expected quality of the mix meets the corrected target.
func (s *State) solve(document *lavconfig.Document, account lavid.AccountID, state *accountState, now time.Time) {
	target := s.correctedTarget(float64(document.ClientAccounts[account].QualityTarget), state)
	segments, base := s.mixSegments(document, account, state, now, false)
	state.multiplier, state.fraction = solveMultiplier(segments, target, base)
	segments, base = s.mixSegments(document, account, state, now, true)
	state.uncheckedMultiplier, _ = solveMultiplier(segments, target, base)
	state.solved = true
}

// mixBaseline holds the total weight of a mix, and the weighted sum of expected quality if every request takes its
// cheapest plan.
type mixBaseline struct {
	weight  float64
	quality float64
}

// mixSegments returns the hull segments of all query shapes of a mix, weighted, and the baseline that they start
// from.
func (s *State) mixSegments(document *lavconfig.Document, account lavid.AccountID, state *accountState, now time.Time, unchecked bool) ([]segment, mixBaseline) {
	var segments []segment
	var base mixBaseline
	for _, shape := range state.shapes() {
		query := shape.query(account)
		query.CanCheck = query.CanCheck && !unchecked
		eligible := s.eligible(document, query)
		if len(eligible.serving) == 0 {
			continue
		}
		candidates := s.candidates(document, query, eligible, now)
		weight := state.mix[shape]
		base.weight += weight
		base.quality += weight * candidates.hull[0].quality
		for _, hullSegment := range candidates.segments() {
			segments = append(segments, segment{marginalCost: hullSegment.marginalCost, qualityGain: hullSegment.qualityGain * weight})
		}
	}
	return segments, base
}

// shapes returns the query shapes of the mix in a fixed order, so that floating-point sums do not depend on map
// order.
func (a *accountState) shapes() []queryShape {
	shapes := make([]queryShape, 0, len(a.mix))
	for shape := range a.mix {
		shapes = append(shapes, shape)
	}
	slices.SortFunc(shapes, func(a, b queryShape) int {
		return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.version, b.version), cmp.Compare(a.class, b.class), cmp.Compare(a.excluded, b.excluded), compareBool(a.canCheck, b.canCheck))
	})
	return shapes
}

// compareBool orders false before true.
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

// solveMultiplier returns the marginal cost of the last segment needed to reach the target, and the fraction of
// that segment that is needed. Segments are taken in order of marginal cost.
func solveMultiplier(segments []segment, target float64, base mixBaseline) (multiplier, fraction float64) {
	missing := target*base.weight - base.quality
	if missing <= 0 {
		return 0, 0
	}
	slices.SortStableFunc(segments, func(a, b segment) int { return cmp.Compare(a.marginalCost, b.marginalCost) })
	for _, segment := range segments {
		if segment.qualityGain >= missing {
			return segment.marginalCost, missing / segment.qualityGain
		}
		missing -= segment.qualityGain
	}
	return highestMultiplier, 1
}
