package lavrollout

import (
	"maps"
	"slices"
)

// assumedTrials is the weight of an assumed rate against a counted one.
const priorTrials = 20

// compare tests a version under roll-out against the one that it replaces.
func (r Row) compareWithReplaced(own, replaced, replacedPast Blocks, settings Settings) Row {
	for stratum, block := range own {
		r.Waiting.add(stratum, block)
		r.Rated += block.Ratings.Trials
	}
	for stratum, block := range replaced {
		r.Control.add(stratum, block)
	}
	failures := newTestRound(settings.Failures, r.Failures)
	ratings := newTestRound(settings.Ratings, r.Ratings)
	for _, stratum := range sortedStrata(r.Waiting) {
		tested, control, past := r.Waiting[stratum], r.Control[stratum], replacedPast[stratum]
		if failures.addTwoSample(stratum, tested.Failures, control.Failures, past.Failures) {
			tested.Failures, control.Failures = Sample{}, Sample{}
		}
		if ratings.addTwoSample(stratum, tested.Ratings, control.Ratings, past.Ratings) {
			tested.Ratings, control.Ratings = Sample{}, Sample{}
		}
		r.Waiting[stratum], r.Control[stratum] = tested, control
	}
	r.Failures = failures.result()
	r.Ratings = ratings.result()
	return r
}

// watch tests a version against its own past, on the strata that have one.
func (r Row) compareWithOwnPast(own Blocks, shared commonShifts, settings Settings) Row {
	failures := newTestRound(settings.Failures, r.Failures)
	ratings := newTestRound(settings.Ratings, r.Ratings)
	for _, stratum := range sortedStrata(own) {
		tested, past := own[stratum], r.Past[stratum]
		failures.addOneSample(stratum, tested.Failures, past.Failures, shared.failures.upperBound())
		ratings.addOneSample(stratum, tested.Ratings, past.Ratings, shared.ratings.upperBound())
		r.Rated += tested.Ratings.Trials
	}
	r.Failures = failures.result()
	r.Ratings = ratings.result()
	return r
}

func sortedStrata(blocks Blocks) []Stratum {
	return slices.Sorted(maps.Keys(blocks))
}

// remember adds a block to the past, more slowly once that is well known, so that a fault does not become usual.
func (b Blocks) addToPast(own Blocks, settings Settings) {
	for stratum, block := range own {
		past := b[stratum]
		past.Failures = past.Failures.updatedPast(block.Failures, settings)
		past.Ratings = past.Ratings.updatedPast(block.Ratings, settings)
		b[stratum] = past
	}
}

func (s Sample) updatedPast(recent Sample, settings Settings) Sample {
	if s.Trials < settings.EstablishedPastTrials {
		return s.plus(recent)
	}
	return s.plus(recent.scaled(settings.EstablishedPastWeight)).capped(settings.MaxPastTrials)
}

func (s Sample) capped(limit float64) Sample {
	if s.Trials <= limit {
		return s
	}
	return s.scaled(limit / s.Trials)
}

// watchOthers tests a version in service against all others, on blocks that are large enough to fit a shift of all.
func (r Row) compareWithPeers(own, peers, peersPast Blocks, settings Settings) Row {
	ratings := newTestRound(settings.Ratings, r.Beside)
	for stratum, block := range own {
		r.Waiting.add(stratum, block)
	}
	for stratum, block := range peers {
		r.Control.add(stratum, block)
	}
	for _, stratum := range sortedStrata(r.Waiting) {
		tested, control := r.Waiting[stratum].Ratings, r.Control[stratum].Ratings
		if min(tested.Trials, control.Trials) < settings.PeerBlockTrials {
			continue
		}
		ratings.addCommonShift(stratum, tested, control, r.Past[stratum].Ratings, peersPast[stratum].Ratings)
		delete(r.Waiting, stratum)
		delete(r.Control, stratum)
	}
	r.Beside = ratings.result()
	return r
}
