package lavrollout

import (
	"maps"
	"math"
	"slices"
)

// Excess returns how much likelier the tested samples are if their bad rate is above the control's by one of the
// stream's amounts than if it is the same; it is a mean of likelihood ratios over all strata.
func Excess(tested, control map[Stratum]Sample, stream Stream) float64 {
	if len(stream.Excesses) == 0 {
		return 0
	}
	sum := 0.0
	for _, excess := range stream.Excesses {
		ratio := 0.0
		for _, stratum := range slices.Sorted(maps.Keys(tested)) {
			sample := tested[stratum]
			if sample.Trials == 0 {
				continue
			}
			// What is assumed stands in for a control that has not answered yet.
			compared := control[stratum].plus(Sample{Trials: assumedTrials, Bad: stream.Assumed * assumedTrials})
			base := compared.Bad / compared.Trials
			ratio += twoSample(sample, compared, base, excess)
		}
		sum += math.Exp(min(ratio, maxLogRatio))
	}
	return sum / float64(len(stream.Excesses))
}

// maxLogRatio keeps a mean of likelihood ratios finite.
const maxLogRatio = 50
