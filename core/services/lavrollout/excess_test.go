package lavrollout

import (
	"testing"

	"github.com/matryer/is"
)

func likelihoodRatio(tested, control Sample) float64 {
	return ExcessLikelihoodRatio(map[Stratum]Sample{"a": tested}, map[Stratum]Sample{"a": control}, DefaultSettings().Failures)
}

func TestLikelihoodRatioIsHighForARunOfFailuresWithoutAControl(t *testing.T) {
	is := is.New(t)
	is.True(likelihoodRatio(Sample{Trials: 4, Bad: 4}, Sample{}) > 100)
	is.True(likelihoodRatio(Sample{Trials: 4, Bad: 1}, Sample{}) < 100)
}

func TestLikelihoodRatioGrowsWithTheDistanceFromTheControl(t *testing.T) {
	is := is.New(t)
	control := Sample{Trials: 200, Bad: 28}
	is.True(likelihoodRatio(Sample{Trials: 30, Bad: 4}, control) < 2)
	is.True(likelihoodRatio(Sample{Trials: 30, Bad: 16}, control) > 100)
	is.True(likelihoodRatio(Sample{Trials: 30}, control) < 1)
}

// TestExcessInOneStratumShowsBesideBetterOnes guards against a fault of one kind of answer that is hidden by other kinds, which
// the tested servers answer better because they have less load.
func TestExcessInOneStratumShowsBesideBetterOnes(t *testing.T) {
	is := is.New(t)
	tested := map[Stratum]Sample{"hit": {Trials: 11, Bad: 9}, "better": {Trials: 40, Bad: 2}, "also better": {Trials: 40, Bad: 1}}
	control := map[Stratum]Sample{"hit": {Trials: 400, Bad: 22}, "better": {Trials: 1000, Bad: 260}, "also better": {Trials: 1000, Bad: 260}}
	settings := DefaultSettings().Failures
	is.True(MixedLikelihoodRatio(tested, control, settings) > 1000)
	for stratum := range tested {
		tested[stratum] = Sample{Trials: 40, Bad: 40 * control[stratum].Bad / control[stratum].Trials}
	}
	is.True(MixedLikelihoodRatio(tested, control, settings) < 1)
	is.Equal(MixedLikelihoodRatio(nil, control, settings), 1.0) // no answers, no evidence
}
