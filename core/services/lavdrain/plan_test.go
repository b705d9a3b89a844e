package lavdrain

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlanLimits guards against requests that a stopping host accepts, or lets wait, for longer than it can answer them.
func TestPlanLimits(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	plan := Plan{StreamsUntil: began.Add(2 * time.Second), AnswersUntil: began.Add(7 * time.Second)}
	deadline := began.Add(20 * time.Second)
	for _, stream := range []bool{true, false} {
		limited, accepted := plan.Limit(stream, deadline, began.Add(time.Second))
		is.True(accepted)
		is.Equal(limited, deadline)
	}
	_, accepted := plan.Limit(true, deadline, began.Add(2*time.Second))
	is.True(!accepted)
	limited, accepted := plan.Limit(false, deadline, began.Add(3*time.Second))
	is.True(accepted)
	is.Equal(limited, plan.AnswersUntil)
	_, accepted = plan.Limit(false, deadline, began.Add(8*time.Second))
	is.True(!accepted)
	is.Equal(plan.WaitUntil(true, deadline), plan.StreamsUntil)
	is.Equal(plan.WaitUntil(false, deadline), plan.AnswersUntil)
	is.Equal(plan.WaitUntil(true, began), began) // the request's own deadline is earlier
}
