package lavrollout

import (
	"maps"
	"math"
	"slices"
)

// maxStrata bounds the strata that are tested on their own.
const maxStrata = 16

// Evidence is what one kind of bad answer says against a version.
type Evidence struct {
	// Pooled tests all strata together, and Strata each on its own, so that a fault in one class is not diluted.
	Pooled Detector
	Strata map[Stratum]Detector
}

func newEvidence() Evidence {
	return Evidence{Strata: make(map[Stratum]Detector)}
}

// value returns the mean of the pooled test and of those per stratum, which is a test of its own.
func (e Evidence) value() float64 {
	if len(e.Strata) == 0 {
		return e.Pooled.evidence()
	}
	sum := 0.0
	for _, stratum := range slices.Sorted(maps.Keys(e.Strata)) {
		sum += e.Strata[stratum].evidence()
	}
	return (e.Pooled.evidence() + sum/float64(len(e.Strata))) / 2
}

func (e Evidence) clone() Evidence {
	if e.Strata == nil {
		return Evidence{Pooled: e.Pooled, Strata: make(map[Stratum]Detector)}
	}
	return Evidence{Pooled: e.Pooled, Strata: maps.Clone(e.Strata)}
}

// round collects the log likelihood ratios of one tick.
type testRound struct {
	settings TestSettings
	evidence Evidence
	pooled   []float64
	trials   float64
}

func newTestRound(settings TestSettings, evidence Evidence) *testRound {
	return &testRound{settings: settings, evidence: evidence, pooled: make([]float64, len(settings.EffectSizes))}
}

// addTwo tests a stratum once both samples have trials, and tells whether it did.
func (r *testRound) addTwoSample(stratum Stratum, tested, control, past Sample) bool {
	if tested.Trials == 0 || control.Trials == 0 {
		return false
	}
	base := past.rate(r.settings.PriorRate)
	r.add(stratum, tested.Trials, func(excess float64) float64 {
		return twoSampleLogRatio(tested, control, base, excess)
	})
	return true
}

// addOne tests a stratum against its past, raised by what all other versions suffer now.
func (r *testRound) addOneSample(stratum Stratum, tested, past Sample, shared float64) {
	if tested.Trials == 0 || past.Trials < r.settings.MinPastTrials {
		return
	}
	base := past.upperBound(r.settings.PriorRate) + r.settings.Margin + shared
	r.add(stratum, tested.Trials, func(excess float64) float64 {
		return oneSampleLogRatio(tested, base, excess)
	})
}

// addShifted tests a stratum against its past, in the company of all other versions against theirs.
func (r *testRound) addCommonShift(stratum Stratum, tested, control, testedPast, controlPast Sample) {
	if min(testedPast.Trials, controlPast.Trials) < r.settings.MinPastTrials {
		return
	}
	comparison := shiftComparison{
		tested:      tested,
		testedPast:  testedPast.rate(r.settings.PriorRate) + r.settings.PeerMargin,
		control:     control,
		controlPast: controlPast.rate(r.settings.PriorRate),
	}
	r.add(stratum, tested.Trials, comparison.logRatio)
}

func (r *testRound) add(stratum Stratum, trials float64, ratio func(excess float64) float64) {
	logs := make([]float64, len(r.settings.EffectSizes))
	for i, excess := range r.settings.EffectSizes {
		logs[i] = ratio(excess)
		r.pooled[i] += logs[i]
	}
	r.trials += trials
	detector, known := r.evidence.Strata[stratum]
	if known || len(r.evidence.Strata) < maxStrata {
		r.evidence.Strata[stratum] = detector.update(logs, trials, r.settings.Horizon)
	}
}

func (r *testRound) result() Evidence {
	if r.trials > 0 {
		r.evidence.Pooled = r.evidence.Pooled.update(r.pooled, r.trials, r.settings.Horizon)
	}
	return r.evidence
}

// shift is how far versions are above their past now.
type commonShift struct {
	trials float64
	excess float64
	bad    float64
}

func (s commonShift) plus(recent, past Sample, settings TestSettings) commonShift {
	if recent.Trials == 0 || past.Trials < settings.MinPastTrials {
		return s
	}
	pastRate := past.rate(settings.PriorRate)
	return commonShift{trials: s.trials + recent.Trials, excess: s.excess + recent.Bad - pastRate*recent.Trials, bad: s.bad + recent.Bad}
}

// highest returns a shift that the true one is rarely above, and zero without other versions.
func (s commonShift) upperBound() float64 {
	const deviations = 2
	if s.trials == 0 {
		return 0
	}
	rate := (s.bad + 1) / (s.trials + 2)
	return max(0, s.excess/s.trials+deviations*math.Sqrt(rate*(1-rate)/s.trials))
}
