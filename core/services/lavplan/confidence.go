package lavplan

import "time"

// Confidence is a model's own opinion of its answer, from 0 to 100.
type Confidence int

const (
	// acceptInTime is the least confidence at which a smaller model's answer is delivered while a larger one's would
	// be in time: below it, the answer is wrong often enough to pay for a second run.
	minConfidenceInTime Confidence = 55
	// acceptLate is the same while a larger model's answer would be late and delay others.
	minConfidenceLate Confidence = 42
	// wholeMargin of the time left is kept for answers that grow longer than expected.
	usableDeadlineShare = 0.8
)

// Forecast is what asking a larger model would mean for a request.
type Forecast struct {
	// FirstEvent is the expected time to the first event, and Whole that to the last one.
	FirstEvent time.Duration
	LastEvent  time.Duration
	// TargetLeft is the time left for a first event that is in time, and DeadlineLeft that for the last one.
	TargetLeft   time.Duration
	DeadlineLeft time.Duration
}

// Accept tells whether a smaller model's answer is delivered in place of asking a larger model.
func Accept(confidence Confidence, forecast Forecast) bool {
	switch {
	case float64(forecast.LastEvent) > usableDeadlineShare*float64(forecast.DeadlineLeft):
		return true
	case forecast.FirstEvent > forecast.TargetLeft:
		return confidence >= minConfidenceLate
	default:
		return confidence >= minConfidenceInTime
	}
}
