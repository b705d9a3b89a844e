package lavplan

import "time"

// Confidence is a model's own opinion of its answer, from 0 to 100.
type Confidence int

const (
	// acceptInTime is the least confidence at which a smaller model's answer is delivered while a larger one's would
	// be in time: below it, the answer is wrong often enough to pay for a second run.
	acceptInTime Confidence = 55
	// acceptLate is the same while a larger model's answer would be late and delay others.
	acceptLate Confidence = 42
	// wholeMargin of the time left is kept for answers that grow longer than expected.
	wholeMargin = 0.8
)

// Outlook is what asking a larger model would mean for a request.
type Outlook struct {
	// First is the expected time to the first event, and Whole that to the last one.
	First time.Duration
	Whole time.Duration
	// TargetLeft is the time left for a first event that is in time, and DeadlineLeft that for the last one.
	TargetLeft   time.Duration
	DeadlineLeft time.Duration
}

// Accept tells whether a smaller model's answer is delivered in place of asking a larger model.
func Accept(confidence Confidence, outlook Outlook) bool {
	switch {
	case float64(outlook.Whole) > wholeMargin*float64(outlook.DeadlineLeft):
		return true
	case outlook.First > outlook.TargetLeft:
		return confidence >= acceptLate
	default:
		return confidence >= acceptInTime
	}
}
