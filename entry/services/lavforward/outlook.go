package lavforward

import (
	"time"

	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
)

// estimate returns the predicted time to the first event of an engine's answer.
func (e *execution) estimate(chosen choice, now time.Time) lavforecast.Estimate {
	return e.Forecasts.First(chosen.query(), now)
}

// query returns the query for the first event of the engine's answer.
func (c choice) query() lavforecast.Query {
	return lavforecast.Query{Service: c.Service, Server: c.ID, Own: c.unreadTokens, Before: c.unreadTokensBefore}
}

// expectedFirst returns the expected time to the first event of an engine's answer; unknown speeds count as zero.
func (e *execution) expectedFirst(chosen choice, now time.Time) time.Duration {
	return e.estimate(chosen, now).Expected
}

// usualFirst returns the expected time to the first event of the answer of an engine that is not slow. A request is not to
// wait longer because its engine has turned slow.
func (e *execution) usualFirst(chosen choice, now time.Time) time.Duration {
	query := chosen.query()
	query.Server = ""
	return e.Forecasts.First(query, now).Expected
}

// startTiming starts timing the answer of a send, or the first event of an engine's answer.
func (e *execution) startTiming(chosen choice, now time.Time) *lavcutover.Timing {
	awaited := lavcutover.Awaited{Kind: e.outcomeKind(chosen) + "/first"}
	if e.request.Service.Engine != nil {
		awaited.Varied, awaited.Expected = true, e.usualFirst(chosen, now)
	}
	return e.Releases.StartTiming(chosen.Server, awaited, now)
}

// observeFirst records the time to the first event of an engine's answer.
func (e *execution) observeFirst(chosen choice, took time.Duration, now time.Time) {
	if ratio := e.Forecasts.Observe(chosen.query(), took, now); ratio > 0 {
		e.Metrics.predictionRatio.WithLabelValues(string(chosen.Service)).Observe(ratio)
	}
}
