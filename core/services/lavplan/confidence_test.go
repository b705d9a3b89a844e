package lavplan

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func forecast() Forecast {
	return Forecast{FirstEvent: time.Second, LastEvent: 5 * time.Second, TargetLeft: 3 * time.Second, DeadlineLeft: 20 * time.Second}
}

func TestAcceptRequiresMoreConfidenceWhileALargerModelIsInTime(t *testing.T) {
	is := is.New(t)
	is.True(!Accept(minConfidenceInTime-1, forecast()))
	is.True(Accept(minConfidenceInTime, forecast()))
}

func TestAcceptRequiresLessConfidenceWhenALargerModelIsLate(t *testing.T) {
	is := is.New(t)
	late := forecast()
	late.FirstEvent = 4 * time.Second
	is.True(minConfidenceLate < minConfidenceInTime)
	is.True(!Accept(minConfidenceLate-1, late))
	is.True(Accept(minConfidenceLate, late))
}

func TestAcceptDeliversAnyAnswerWhenALargerModelCannotFinish(t *testing.T) {
	is := is.New(t)
	pastDeadline := forecast()
	pastDeadline.LastEvent = 19 * time.Second
	is.True(Accept(0, pastDeadline))
}
