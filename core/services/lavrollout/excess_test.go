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
