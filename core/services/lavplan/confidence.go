package lavplan

import "time"

// Confidence is a model's self-reported confidence in its answer, from 0 to 100.
type Confidence int

const (
	// minConfidenceInTime is the lowest confidence at which a smaller model's answer is delivered while the first event of a
	// larger model is expected within TargetLeft. Below it, the answer is wrong often enough to justify a second run.
	minConfidenceInTime Confidence = 55
	// minConfidenceLate is the lowest confidence while that event is expected after TargetLeft. A second run would then be
	// late and delay other requests.
	minConfidenceLate Confidence = 42
	// usableDeadlineShare is the share of the time left that a larger model's answer may be expected to take. The rest is
	// for answers longer than expected.
	usableDeadlineShare = 0.8
)

// Forecast holds the expected times of a larger model's answer and the time that the request has left.
type Forecast struct {
	// FirstEvent is the expected time to the first event, and LastEvent that to the last event.
	FirstEvent time.Duration
	LastEvent  time.Duration
	// TargetLeft is the time left until the first event would be late, and DeadlineLeft that until the request's
	// deadline.
	TargetLeft   time.Duration
	DeadlineLeft time.Duration
}

// Accept reports whether a smaller model's answer is delivered instead of running a larger model.
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
