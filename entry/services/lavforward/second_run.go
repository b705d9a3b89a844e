package lavforward

import (
	"math"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavescalation"
	"lavenderswitch/core/services/lavforecast"
)

const (
	// backlogShare is the part of the shortest latency target of a service that its engines may be behind on average before
	// second runs are charged for their engine time. The rest is for the requests' own prompts and for uneven engines.
	backlogShare = 0.6
	// lengthSpread is the standard deviation of the logarithm of an answer's length over its estimate.
	lengthSpread = 0.5
)

// secondRuns holds what decides about second runs by larger models. It is safe for concurrent use.
type secondRuns struct {
	gains *lavescalation.Gains

	mu sync.Mutex
	// first holds the confidences of first answers that were dropped, until their requests end.
	first map[lavid.RequestID]lavescalation.Confidence
}

func newSecondRuns() *secondRuns {
	return &secondRuns{
		gains: lavescalation.NewGains(),
		first: make(map[lavid.RequestID]lavescalation.Confidence),
	}
}

// drop remembers the confidence of a first answer that is dropped.
func (s *secondRuns) drop(request lavid.RequestID, first lavescalation.Confidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first[request] = first
}

// dropped returns the confidence of the first answer that was dropped, or false if none was.
func (s *secondRuns) dropped(request lavid.RequestID) (lavescalation.Confidence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, found := s.first[request]
	return first, found
}

// forget drops what is held for a request that has ended.
func (s *secondRuns) forget(request lavid.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.first, request)
}

// largest returns the largest model of the route, or false if the request has no choice of models. A request that may run only
// once has none: it goes to the largest model.
func (e *execution) largest() (lavid.ModelID, bool) {
	models := e.request.Route.Models
	if e.request.Model != "" || len(models) < 2 || !e.request.Route.MayRunTwice() {
		return "", false
	}
	return models[len(models)-1], true
}

// startsLarge reports whether the request goes to the largest model without asking a smaller one.
func (e *execution) startsLarge() bool {
	largest, ok := e.largest()
	if !ok {
		return false
	}
	drawn := float64(e.keys.Request%1000) / 1000
	return lavescalation.StartsLarge(e.seconds.gains.Replaced(e.request.Route.Name), e.readFactor(largest), drawn)
}

// runsLarger reports whether the answer of a smaller model is dropped in favour of the largest model of the route, which is then
// the model of the next send. If it is, runsLarger takes one send from the repeat budget.
func (s *send) runsLarger(reply *Reply) bool {
	largest, ok := s.largest()
	if !ok || !reply.HasConfidence || s.answerBegun || s.answeringModel != "" {
		return false
	}
	confidence := lavescalation.Confidence(reply.Confidence)
	route := s.request.Route.Name
	if s.model == largest {
		if first, found := s.seconds.dropped(s.request.ID); found {
			s.seconds.gains.Observe(route, first, confidence)
		}
		return false
	}
	decision, known := s.decideSecondRun(largest, confidence)
	if !known {
		return false
	}
	s.seconds.gains.ObserveFirst(route, decision.Wanted)
	if decision.Made() && s.runs >= s.request.Route.Attempts {
		decision.Reason = lavescalation.ReasonRuns
	}
	if decision.Made() && !s.takeRepeatWithin(secondRunShare) {
		decision.Reason = lavescalation.ReasonBudget
	}
	fields := logrus.Fields{"confidence": reply.Confidence, "gain": rounded(decision.Gain), "cost": rounded(decision.Cost)}
	switch {
	case decision.Made():
		s.seconds.drop(s.request.ID, confidence)
		s.updateRecord(func(record *sendRecord) { record.dropped, record.confidence = true, reply.Confidence })
		s.modelIndex = len(s.request.Route.Models) - 1
		s.Metrics.escalations.WithLabelValues(string(s.chosen.Service)).Inc()
		s.Metrics.countSend(s.chosen, sendDropped)
		s.logDecision("larger model", s.chosen.ID, fields)
		return true
	case decision.Wanted:
		fields["reason"] = decision.Reason
		s.updateRecord(func(record *sendRecord) { record.withheld = decision.Reason })
		s.Metrics.withheldRuns.WithLabelValues(string(s.chosen.Service), string(decision.Reason)).Inc()
		s.logDecision("larger model withheld", s.chosen.ID, fields)
	}
	return false
}

func rounded(value float64) float64 { return math.Round(100*value) / 100 }

// decideSecondRun decides about a run of the model, or returns false if no server may take the request.
func (e *execution) decideSecondRun(model lavid.ModelID, confidence lavescalation.Confidence) (lavescalation.Decision, bool) {
	now := e.Clock()
	chosen, ok := e.choose(model, now)
	if !ok {
		return lavescalation.Decision{}, false
	}
	allowed := time.Duration(backlogShare * float64(e.waiting.shortestTarget(e.request.Service.ID, now)))
	price := lavescalation.PriceOf(e.backlog(now), allowed)
	e.Metrics.enginePrice.WithLabelValues(string(e.request.Service.ID)).Set(float64(price))
	first := e.estimate(chosen, now)
	// The high estimate counts, as an answer that does not end in time is worth nothing.
	last := first.High + e.speeds.expectEvents(model, e.expectedEvents())
	targetLeft := e.request.Arrived.Add(e.request.Route.LatencyTarget).Sub(now)
	run := lavescalation.Run{
		Confidence: confidence,
		Expected:   e.seconds.gains.Expected(e.request.Route.Name, confidence),
		Urgency:    e.request.Urgency(),
		Late:       e.request.Route.LatencyTarget > 0 && targetLeft < 0,
		InTime:     1,
		Whole:      lavforecast.Within(last, max(first.Spread, lengthSpread), e.request.Deadline.Sub(now)),
		EngineTime: e.Forecasts.ReadTime(chosen.query()),
	}
	if e.request.Route.LatencyTarget > 0 {
		run.InTime = lavforecast.Within(first.Expected, first.Spread, targetLeft)
	}
	return lavescalation.Decide(run, price), true
}

// backlog returns the mean time that a request waits at the engines that may take it.
func (e *execution) backlog(now time.Time) time.Duration {
	rows := e.candidates(nil, now)
	sum := time.Duration(0)
	for _, row := range rows {
		sum += e.Forecasts.Delay(lavforecast.Query{Service: row.Service, Server: row.ID, Before: e.Loads.Expected(row.ID, e.Forecasts.ReadRate(row.Service, row.ID, now), now).Unread}, now)
	}
	return sum / time.Duration(max(len(rows), 1))
}

// expectedEvents returns the expected number of events of the answer, or zero if the tokens per event are not known.
func (e *execution) expectedEvents() float64 {
	engine := e.request.Service.Engine
	if engine == nil || engine.EventTokens <= 0 {
		return 0
	}
	return float64(e.memoryTokens()-e.request.Prompt.Input) / engine.EventTokens
}
