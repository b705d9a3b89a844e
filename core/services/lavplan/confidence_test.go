package lavplan

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func outlook() Outlook {
	return Outlook{First: time.Second, Whole: 5 * time.Second, TargetLeft: 3 * time.Second, DeadlineLeft: 20 * time.Second}
}

func TestAcceptAsksForMoreConfidenceWhileALargerModelIsInTime(t *testing.T) {
	is := is.New(t)
	is.True(!Accept(acceptInTime-1, outlook()))
	is.True(Accept(acceptInTime, outlook()))
}

func TestAcceptAsksForLessUnderLoad(t *testing.T) {
	is := is.New(t)
	late := outlook()
	late.First = 4 * time.Second
	is.True(acceptLate < acceptInTime)
	is.True(!Accept(acceptLate-1, late))
	is.True(Accept(acceptLate, late))
}

func TestAcceptTakesAnyAnswerWhenALargerModelCannotFinish(t *testing.T) {
	is := is.New(t)
	hopeless := outlook()
	hopeless.Whole = 19 * time.Second
	is.True(Accept(0, hopeless))
}
