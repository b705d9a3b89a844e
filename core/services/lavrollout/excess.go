package lavrollout

import (
	"maps"
	"math"
	"slices"
)

// ExcessLikelihoodRatio returns how much likelier the tested samples are if their bad rate is above the control's by one of the
// stream's amounts than if it is the same; it is a mean of likelihood ratios over all strata.
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
			// What is assumed stands in for a control that has not answered yet.
			smoothed := control[stratum].plus(Sample{Trials: priorTrials, Bad: settings.PriorRate * priorTrials})
			base := smoothed.Bad / smoothed.Trials
			logRatio += twoSampleLogRatio(sample, smoothed, base, excess)
		}
		sum += math.Exp(min(logRatio, maxLogRatio))
	}
	return sum / float64(len(settings.EffectSizes))
}

// maxLogRatio keeps a mean of likelihood ratios finite.
const maxLogRatio = 50
