package lavrollout

import (
	"testing"

	"github.com/matryer/is"
)

func excess(tested, control Sample) float64 {
	return Excess(map[Stratum]Sample{"a": tested}, map[Stratum]Sample{"a": control}, DefaultSettings().Failures)
}

func TestExcessNeedsNoControlToSeeARunOfFailures(t *testing.T) {
	is := is.New(t)
	is.True(excess(Sample{Trials: 4, Bad: 4}, Sample{}) > 100)
	is.True(excess(Sample{Trials: 4, Bad: 1}, Sample{}) < 100)
}

func TestExcessGrowsWithTheDistanceFromTheControl(t *testing.T) {
	is := is.New(t)
	usual := Sample{Trials: 200, Bad: 28}
	is.True(excess(Sample{Trials: 30, Bad: 4}, usual) < 2)
	is.True(excess(Sample{Trials: 30, Bad: 16}, usual) > 100)
	is.True(excess(Sample{Trials: 30}, usual) < 1)
}
