package lavforecast

import "time"

// Band is the place of a request among those of its urgency.
type Band int

// The bands. An engine serves the requests of a later band when none of an earlier one waits.
const (
	// InTime is the band of requests that can be answered within their latency target.
	InTime Band = iota
	// Deferred is the band of requests that would be late in any case. Under more load than the engines can serve, they would
	// make others late that could be in time.
	Deferred
	// Hopeless requests cannot be answered before their deadline. They are refused at once.
	Hopeless
)

const (
	// lateFactor is the multiple of the time left until the latency target that the expected time of a deferred request
	// exceeds, so that errors of the prediction rarely defer a request that would have been in time.
	lateFactor = 1.25
	// hopelessFactor is the multiple of the time left until the deadline that the expected time of a hopeless request exceeds.
	// A request that is refused by mistake is lost, so that it is larger.
	hopelessFactor = 1.5
)

// Outlook holds what is expected of a request at the engine that is best for it.
type Outlook struct {
	// Ahead is the estimate behind the requests that can be in time, and Behind that behind all requests.
	Ahead  Estimate
	Behind Estimate
	// TargetLeft is the time left until the first event would be late; zero or less if it is late already. DeadlineLeft is
	// the time until the caller stops waiting.
	TargetLeft   time.Duration
	DeadlineLeft time.Duration
}

// Choose returns the band of a request. Without samples it is InTime.
func Choose(outlook Outlook) Band {
	switch {
	case !outlook.Ahead.Known:
		return InTime
	case float64(outlook.Behind.Expected) > hopelessFactor*float64(outlook.DeadlineLeft) && outlook.Ahead.Expected > outlook.TargetLeft:
		return Hopeless
	case float64(outlook.Ahead.Expected) > lateFactor*float64(outlook.TargetLeft):
		return Deferred
	default:
		return InTime
	}
}
