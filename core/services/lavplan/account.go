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
const minDecayedWeight = 0.01

// balance weighs the cost of an account against its quality.
type accountState struct {
	mix map[queryShape]float64
	// multiplier is the highest price of a unit of quality that is paid.
	multiplier float64
	// fraction is the part of requests for which a price of exactly the multiplier is paid.
	fraction float64
	// delivered and good sum delivered answers and their expected quality.
	delivered    float64
	expectedGood float64
	// unchecked is the multiplier that would hold if no answer could be rated before delivery.
	uncheckedMultiplier float64
	ratings             accountRatings
	solved              bool
	updated             time.Time
}

func (s *State) account(id lavid.AccountID, now time.Time) *accountState {
	found, ok := s.accounts[id]
	if !ok {
		found = &accountState{mix: make(map[queryShape]float64), ratings: newAccountRatings(), updated: now}
		s.accounts[id] = found
	}
	return found
}

// Tick sets the multiplier of every account from its mix of requests and its measured quality.
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

func (a *accountState) decay(halfLife time.Duration, now time.Time) {
	factor := math.Exp2(-float64(now.Sub(a.updated)) / float64(halfLife))
	a.updated = now
	for key := range a.mix {
		a.mix[key] *= factor
		if a.mix[key] < minDecayedWeight {
			delete(a.mix, key)
		}
	}
	a.delivered *= factor
	a.expectedGood *= factor
	a.ratings.scale(factor)
}

// measured is the quality of what was delivered, or the target before anything was.
func (a *accountState) measured(target float64) float64 {
	if a.delivered <= 0 {
		return target
	}
	return a.expectedGood / a.delivered
}

// aim returns the expected quality to plan for, so that the measured one comes to the target.
func (s *State) correctedTarget(target float64, state *accountState) float64 {
	limit := float64(s.settings.MaxCorrection)
	correction := s.settings.Gain * (target - state.measured(target))
	return target + clamp(correction, -limit, limit)
}

// solve finds the lowest multiplier at which the mix of requests is expected to come to the aim.
func (s *State) solve(document *lavconfig.Document, account lavid.AccountID, state *accountState, now time.Time) {
	target := s.correctedTarget(float64(document.ClientAccounts[account].QualityTarget), state)
	segments, base := s.mixSegments(document, account, state, now, false)
	state.multiplier, state.fraction = solveMultiplier(segments, target, base)
	segments, base = s.mixSegments(document, account, state, now, true)
	state.uncheckedMultiplier, _ = solveMultiplier(segments, target, base)
	state.solved = true
}

// cheapest is the quality of a mix when every request takes its cheapest plan.
type mixBaseline struct {
	weight  float64
	quality float64
}

// steps returns the steps of the frontiers of a mix and where they start from.
func (s *State) mixSegments(document *lavconfig.Document, account lavid.AccountID, state *accountState, now time.Time, unchecked bool) ([]segment, mixBaseline) {
	var segments []segment
	var base mixBaseline
	for _, key := range state.shapes() {
		query := key.query(account)
		query.CanCheck = query.CanCheck && !unchecked
		eligible := s.eligible(document, query)
		if len(eligible.serving) == 0 {
			continue
		}
		candidates := s.candidates(document, query, eligible, now)
		weight := state.mix[key]
		base.weight += weight
		base.quality += weight * candidates.hull[0].quality
		for _, hullSegment := range candidates.segments() {
			segments = append(segments, segment{marginalCost: hullSegment.marginalCost, qualityGain: hullSegment.qualityGain * weight})
		}
	}
	return segments, base
}

// shapes returns the shapes of the mix in a fixed order, so that sums do not depend on the order of a map.
func (a *accountState) shapes() []queryShape {
	keys := make([]queryShape, 0, len(a.mix))
	for key := range a.mix {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b queryShape) int {
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
func solveMultiplier(segments []segment, target float64, base mixBaseline) (multiplier, fraction float64) {
	missing := target*base.weight - base.quality
	if missing <= 0 {
		return 0, 0
	}
	slices.SortStableFunc(segments, func(a, b segment) int { return cmp.Compare(a.marginalCost, b.marginalCost) })
	for _, step := range segments {
		if step.qualityGain >= missing {
			return step.marginalCost, missing / step.qualityGain
		}
		missing -= step.qualityGain
	}
	return highestMultiplier, 1
}
