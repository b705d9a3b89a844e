package lavrollout

import (
	"maps"
	"math"
	"slices"
)

// ExcessLikelihoodRatio returns how much likelier the tested samples are if their bad rate is above the control's
// by one of the effect sizes than if it is the same. It multiplies the ratios of the strata and averages over the
// effect sizes.
func ExcessLikelihoodRatio(tested, control map[Stratum]Sample, settings TestSettings) float64 {
	if len(settings.EffectSizes) == 0 {
		return 0
	}
	sum := 0.0
	for _, excess := range settings.EffectSizes {
		logRatio := 0.0
		for _, stratum := range slices.Sorted(maps.Keys(tested)) {
			sample := tested[stratum]
			if sample.Trials == 0 {
				continue
			}
			// The prior rate stands in for a control without answers.
			smoothed := control[stratum].plus(Sample{Trials: priorTrials, Bad: settings.PriorRate * priorTrials})
			base := smoothed.Bad / smoothed.Trials
			logRatio += twoSampleLogRatio(sample, smoothed, base, excess)
		}
		sum += math.Exp(min(logRatio, maxLogRatio))
	}
	return sum / float64(len(settings.EffectSizes))
}

// MixedLikelihoodRatio returns the mean of ExcessLikelihoodRatio over all strata together and over each one alone. It also
// shows an excess in one stratum while the tested samples of others are better than the control's.
func MixedLikelihoodRatio(tested, control map[Stratum]Sample, settings TestSettings) float64 {
	alone, count := 0.0, 0.0
	for stratum, sample := range tested {
		if sample.Trials == 0 {
			continue
		}
		count++
		alone += ExcessLikelihoodRatio(map[Stratum]Sample{stratum: sample}, control, settings)
	}
	together := ExcessLikelihoodRatio(tested, control, settings)
	if count == 0 {
		return together
	}
	return (together + alone/count) / 2
}

// maxLogRatio bounds a log likelihood ratio, so that the mean stays finite.
const maxLogRatio = 50
