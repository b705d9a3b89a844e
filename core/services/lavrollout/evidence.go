package lavrollout

import (
	"maps"
	"math"
	"slices"
)

// maxStrata bounds the strata with a test of their own; further ones count in the pooled test only.
const maxStrata = 16

// Evidence holds the tests of one kind of bad answer, failures or rejections, for one version.
type Evidence struct {
	// Pooled tests all strata together, and Strata tests each on its own, so that a fault in one class is not diluted.
	Pooled Detector
	Strata map[Stratum]Detector
}

func newEvidence() Evidence {
	return Evidence{Strata: make(map[Stratum]Detector)}
}

// value returns the mean of the pooled test and of the mean over the strata. A mean of such tests is itself a
// valid test at the same threshold.
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

// clone never returns nil strata, since they are written to after a restore.
func (e Evidence) clone() Evidence {
	if e.Strata == nil {
		return Evidence{Pooled: e.Pooled, Strata: make(map[Stratum]Detector)}
	}
	return Evidence{Pooled: e.Pooled, Strata: maps.Clone(e.Strata)}
}

// testRound collects the log likelihood ratios of one tick, per effect size.
type testRound struct {
	settings TestSettings
	evidence Evidence
	pooled   []float64
	trials   float64
}

func newTestRound(settings TestSettings, evidence Evidence) *testRound {
	return &testRound{settings: settings, evidence: evidence, pooled: make([]float64, len(settings.EffectSizes))}
}

// addTwoSample tests a stratum against the control if both samples have trials, and reports whether it did.
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

// addOneSample tests a stratum against its past. The reference rate is the upper bound of the past rate, plus the
// margin, plus shared: how far all other versions are above their past now.
func (r *testRound) addOneSample(stratum Stratum, tested, past Sample, shared float64) {
	if tested.Trials == 0 || past.Trials < r.settings.MinPastTrials {
		return
	}
	base := past.upperBound(r.settings.PriorRate) + r.settings.Margin + shared
	r.add(stratum, tested.Trials, func(excess float64) float64 {
		return oneSampleLogRatio(tested, base, excess)
	})
}

// addCommonShift tests a stratum against its past, allowing for a shift common to this version and all others.
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

// add adds the log likelihood ratios of a stratum to its own test and to the pooled one.
func (r *testRound) add(stratum Stratum, trials float64, ratio func(excess float64) float64) {
	logs := make([]float64, len(r.settings.EffectSizes))
	for i, excess := range r.settings.EffectSizes {
		logs[i] = ratio(excess)
		r.pooled[i] += logs[i]
	}
	r.trials += trials
	detector, found := r.evidence.Strata[stratum]
	if found || len(r.evidence.Strata) < maxStrata {
		r.evidence.Strata[stratum] = detector.update(logs, trials, r.settings.Horizon)
	}
}

// result returns the evidence after the round.
func (r *testRound) result() Evidence {
	if r.trials > 0 {
		r.evidence.Pooled = r.evidence.Pooled.update(r.pooled, r.trials, r.settings.Horizon)
	}
	return r.evidence
}

// commonShift sums how far several versions are above their past now. excess is the number of bad trials above the
// number expected from the past.
type commonShift struct {
	trials float64
	excess float64
	bad    float64
}

// plus adds a stratum of one version, if it has recent trials and enough past ones.
func (s commonShift) plus(recent, past Sample, settings TestSettings) commonShift {
	if recent.Trials == 0 || past.Trials < settings.MinPastTrials {
		return s
	}
	pastRate := past.rate(settings.PriorRate)
	return commonShift{trials: s.trials + recent.Trials, excess: s.excess + recent.Bad - pastRate*recent.Trials, bad: s.bad + recent.Bad}
}

// upperBound returns an upper confidence bound of the shift: the mean excess over the past plus two standard
// deviations, at least zero. It is zero without trials.
func (s commonShift) upperBound() float64 {
	const deviations = 2
	if s.trials == 0 {
		return 0
	}
	rate := (s.bad + 1) / (s.trials + 2)
	return max(0, s.excess/s.trials+deviations*math.Sqrt(rate*(1-rate)/s.trials))
}
