package lavrollout

import (
	"maps"
	"slices"
)

// priorTrials is the weight of a prior rate, in trials.
const priorTrials = 20

// compareWithReplaced tests a version under roll-out against the version that it replaces. Answers of a stratum
// wait until both versions have some.
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

// compareWithOwnPast tests a version against its own past, on the strata with enough past trials.
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

// addToPast adds a tick's answers to a version's past. Once the past has EstablishedPastTrials, new answers count
// with a small weight only, so that a fault does not become the reference.
func (b Blocks) addToPast(own Blocks, settings Settings) {
	for stratum, block := range own {
		past := b[stratum]
		past.Failures = past.Failures.updatedPast(block.Failures, settings)
		past.Ratings = past.Ratings.updatedPast(block.Ratings, settings)
		b[stratum] = past
	}
}

// updatedPast returns the past sample after recent trials, of which few count once the past is established.
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

// compareWithPeers tests the ratings of a version in service against those of all other versions. A stratum is
// tested in blocks of at least PeerBlockTrials ratings, which are enough to fit a shift common to all versions.
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
