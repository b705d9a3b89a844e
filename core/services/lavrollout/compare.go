package lavrollout

import (
	"maps"
	"slices"
)

// assumedTrials is the weight of an assumed rate against a counted one.
const assumedTrials = 20

// compare tests a version under roll-out against the one that it replaces.
func (r Row) compare(own, replaced, usual Blocks, settings Settings) Row {
	for stratum, block := range own {
		r.Waiting.add(stratum, block)
		r.Rated += block.Ratings.Trials
	}
	for stratum, block := range replaced {
		r.Control.add(stratum, block)
	}
	failures := newRound(settings.Failures, r.Failures)
	ratings := newRound(settings.Ratings, r.Ratings)
	for _, stratum := range sortedStrata(r.Waiting) {
		tested, control, past := r.Waiting[stratum], r.Control[stratum], usual[stratum]
		if failures.addTwo(stratum, tested.Failures, control.Failures, past.Failures) {
			tested.Failures, control.Failures = Sample{}, Sample{}
		}
		if ratings.addTwo(stratum, tested.Ratings, control.Ratings, past.Ratings) {
			tested.Ratings, control.Ratings = Sample{}, Sample{}
		}
		r.Waiting[stratum], r.Control[stratum] = tested, control
	}
	r.Failures = failures.result()
	r.Ratings = ratings.result()
	return r
}

// watch tests a version against its own past, on the strata that have one.
func (r Row) watch(own Blocks, shared shifts, settings Settings) Row {
	failures := newRound(settings.Failures, r.Failures)
	ratings := newRound(settings.Ratings, r.Ratings)
	for _, stratum := range sortedStrata(own) {
		tested, past := own[stratum], r.Past[stratum]
		failures.addOne(stratum, tested.Failures, past.Failures, shared.failures.highest())
		ratings.addOne(stratum, tested.Ratings, past.Ratings, shared.ratings.highest())
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
func (b Blocks) remember(own Blocks, settings Settings) {
	for stratum, block := range own {
		past := b[stratum]
		past.Failures = past.Failures.learn(block.Failures, settings)
		past.Ratings = past.Ratings.learn(block.Ratings, settings)
		b[stratum] = past
	}
}

func (s Sample) learn(news Sample, settings Settings) Sample {
	if s.Trials < settings.KnownPast {
		return s.plus(news)
	}
	return s.plus(news.scaled(settings.SlowPart)).capped(settings.PastTrials)
}

func (s Sample) capped(limit float64) Sample {
	if s.Trials <= limit {
		return s
	}
	return s.scaled(limit / s.Trials)
}

// watchOthers tests a version in service against all others, on blocks that are large enough to fit a shift of all.
func (r Row) watchOthers(own, others, usual Blocks, settings Settings) Row {
	ratings := newRound(settings.Ratings, r.Beside)
	for stratum, block := range own {
		r.Waiting.add(stratum, block)
	}
	for stratum, block := range others {
		r.Control.add(stratum, block)
	}
	for _, stratum := range sortedStrata(r.Waiting) {
		tested, control := r.Waiting[stratum].Ratings, r.Control[stratum].Ratings
		if min(tested.Trials, control.Trials) < settings.BesideTrials {
			continue
		}
		ratings.addShifted(stratum, tested, control, r.Past[stratum].Ratings, usual[stratum].Ratings)
		delete(r.Waiting, stratum)
		delete(r.Control, stratum)
	}
	r.Beside = ratings.result()
	return r
}
