package lavforward

import (
	"time"

	"lavenderswitch/core/services/lavforecast"
)

// band returns the place of a request at the chosen engine among those of its urgency. A stream whose answer has begun, and
// a request without a latency target, is never deferred.
func (e *execution) band(chosen choice, now time.Time) lavforecast.Band {
	if e.answerBegun || e.request.Route.LatencyTarget <= 0 {
		return lavforecast.InTime
	}
	return lavforecast.Choose(lavforecast.Outlook{
		Ahead:        e.estimate(chosen, lavforecast.InTime, now),
		Behind:       e.estimate(chosen, lavforecast.Deferred, now),
		TargetLeft:   e.request.Arrived.Add(e.request.Route.LatencyTarget).Sub(now),
		DeadlineLeft: e.request.Deadline.Sub(now),
	})
}

// estimate returns the predicted time to the first event of an engine's answer in a band.
func (e *execution) estimate(chosen choice, band lavforecast.Band, now time.Time) lavforecast.Estimate {
	return e.forecasts.First(lavforecast.Query{Service: chosen.Service, Server: chosen.ID, Work: chosen.workUntilFirst(band)}, now)
}

// workUntilFirst returns the work of the engine until the first event of the request in a band.
func (c choice) workUntilFirst(band lavforecast.Band) float64 {
	work := c.unreadTokens + c.unreadTokensBefore
	if band == lavforecast.InTime {
		work -= c.deferredTokensBefore
	}
	return work
}

// expectedFirst returns the expected time to the first event of an engine's answer; unknown speeds count as zero.
func (e *execution) expectedFirst(chosen choice, now time.Time) time.Duration {
	return e.estimate(chosen, chosen.band, now).Expected
}

// observeFirst records the time to the first event of an engine's answer.
func (e *execution) observeFirst(chosen choice, took time.Duration, now time.Time) {
	query := lavforecast.Query{Service: chosen.Service, Server: chosen.ID, Work: chosen.workUntilFirst(chosen.band)}
	if ratio := e.forecasts.Observe(query, took, now); ratio > 0 {
		e.Metrics.predictionRatio.WithLabelValues(string(chosen.Service)).Observe(ratio)
	}
}
