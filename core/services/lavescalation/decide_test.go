package lavescalation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// freeRun returns a run that certainly ends in time.
func freeRun(confidence Confidence) Run {
	return Run{Confidence: confidence, Expected: 0.95, InTime: 1, Whole: 1, EngineTime: time.Second}
}

// TestDoubtfulAnswerIsReplacedWhileEnginesAreFree guards against an answer that is probably wrong and delivered although a better one
// costs others nothing, and against a second run that brings little.
func TestDoubtfulAnswerIsReplacedWhileEnginesAreFree(t *testing.T) {
	is := is.New(t)
	for _, confidence := range []Confidence{0, 20, 42, 54} {
		is.True(Decide(freeRun(confidence), 0).Made())
	}
	for _, confidence := range []Confidence{65, 80, 100} {
		is.True(!Decide(freeRun(confidence), 0).Wanted)
	}
}

// TestLateSecondRunHasToBringMore guards against runs that end too late to be of use.
func TestLateSecondRunHasToBringMore(t *testing.T) {
	is := is.New(t)
	late := freeRun(42)
	late.InTime = 0
	is.Equal(Decide(late, 0).Reason, ReasonTime)
	late.Confidence = 10
	is.True(Decide(late, 0).Made()) // a late answer is better than a wrong one
	late.Whole = 0.3
	is.Equal(Decide(late, 0).Reason, ReasonTime) // the deadline would break it off
	late.Late, late.Whole, late.Confidence = true, 1, 42
	is.True(Decide(late, 0).Made()) // the answer at hand is late as well
}

// TestScarceEnginesGoToTheGreatestGain guards against long runs of little gain that delay others, and against a price that takes
// engines from the urgent.
func TestScarceEnginesGoToTheGreatestGain(t *testing.T) {
	is := is.New(t)
	price := PriceOf(2*time.Second, time.Second)
	is.Equal(price, Price(1))
	run := freeRun(20)
	run.EngineTime = 200 * time.Millisecond
	is.True(Decide(run, price).Made())
	run.EngineTime = 2 * time.Second
	is.Equal(Decide(run, price).Reason, ReasonEngines)
	run.EngineTime, run.Urgency = 400*time.Millisecond, 0
	is.True(Decide(run, price).Made())
	run.Urgency = 2
	is.Equal(Decide(run, price).Reason, ReasonEngines)
	is.Equal(PriceOf(time.Second, time.Second), Price(0))
	is.Equal(PriceOf(time.Hour, time.Second), maxPrice)
	is.Equal(PriceOf(time.Hour, 0), Price(0)) // without targets nothing is late
}

// TestExpectedGainFollowsSecondAnswers guards against a larger model that is asked again and again although it does no better.
func TestExpectedGainFollowsSecondAnswers(t *testing.T) {
	is := is.New(t)
	gains := NewGains()
	is.Equal(gains.Expected("route", 30), priorRight)
	for range 40 {
		gains.Observe("route", 30, 20)
	}
	run := freeRun(30)
	run.Expected = gains.Expected("route", 30)
	is.True(!Decide(run, 0).Wanted)
	is.Equal(gains.Expected("route", 80), priorRight) // other confidences are learned apart
	is.Equal(gains.Expected("other", 30), priorRight)
	gains.Observe("route", 200, -5) // confidences out of range fall into the outermost bands
}

// TestRequestStartsAtTheLargeModelWhenTheSmallOneIsDropped guards against a first run that only delays the second one.
func TestRequestStartsAtTheLargeModelWhenTheSmallOneIsDropped(t *testing.T) {
	is := is.New(t)
	gains := NewGains()
	for range 300 {
		gains.ObserveFirst("route", true)
	}
	replaced := gains.Replaced("route")
	is.True(StartsLarge(replaced, 3, 0.5))
	is.True(!StartsLarge(replaced, 3, 0.05)) // a few show whether the smaller model has become better
	is.True(!StartsLarge(0.5, 3, 0.5))       // half of the first answers are delivered
	is.True(!StartsLarge(replaced, 1, 0.5))  // models of equal speed
}
