package lavforward

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/modules/lavlog"
)

// The ways in which a request ends.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeBrokenOff  = "broken off"
	outcomeCallerLeft = "caller left"
)

// storySteps bounds the steps of one request that are kept; a request has fewer attempts.
const storySteps = 16

// told is one step of a request.
type told struct {
	at     time.Time
	what   string
	fields logrus.Fields
}

// story keeps the first steps of a request that are worth a line only if the request fails, is late or was repeated.
type story struct {
	steps []told
}

func (s *story) add(at time.Time, what string, fields logrus.Fields) {
	if len(s.steps) < storySteps {
		s.steps = append(s.steps, told{at: at, what: what, fields: fields})
	}
}

// sentFields are what decided a send: the server's load as this host knew it and what the request adds to it.
func (w *work) sentFields(chosen choice, now time.Time) logrus.Fields {
	fields := logrus.Fields{
		lavlog.FieldRequest:  w.request.ID,
		lavlog.FieldServer:   chosen.ID,
		"service":            chosen.Service,
		"release":            chosen.Release,
		"data_centre":        chosen.DataCentre,
		"try":                w.tries,
		"requests_at_server": w.Loads.At(chosen.ID, now).Requests,
		"listing_age_ms":     now.Sub(w.Directory.LastRead()).Milliseconds(),
		"deadline_ms":        w.request.Deadline.Sub(now).Milliseconds(),
		lavlog.FieldConfig:   w.request.Config,
		"usable_servers":     chosen.among,
		"server_is_cold":     chosen.Cold(now),
		"excluded_servers":   len(w.excluded),
	}
	if w.after != "" {
		fields["resumed_after"] = w.after
	}
	if chosen.model != "" {
		first, _ := w.speeds.expect(w.request.Service.ID, chosen.model, chosen.unread+chosen.ahead, 0)
		fields["model"] = chosen.model
		fields["unread_tokens"] = int64(chosen.unread)
		fields["unread_tokens_before"] = int64(chosen.ahead)
		fields["expected_first_ms"] = first.Milliseconds()
	}
	return fields
}

// decided logs a decision about the request.
func (w *work) decided(decision string, server lavid.BackendServerID, fields logrus.Fields) {
	w.Log.WithFields(fields).WithFields(logrus.Fields{
		lavlog.FieldRequest: w.request.ID,
		lavlog.FieldServer:  server,
		"tries":             w.tries,
		"runs":              w.runs,
	}).Info(decision)
}

// report logs and counts how the request ended.
func (w *work) report(ctx context.Context, result Result) {
	now := w.Clock()
	took := now.Sub(w.request.Arrived)
	outcome := w.outcome(ctx, result)
	if outcome != outcomeAnswered || w.last != "" || w.late(took) {
		w.tell(now)
	}
	fields := logrus.Fields{
		lavlog.FieldRequest: w.request.ID,
		lavlog.FieldAccount: w.request.AccountID(),
		lavlog.FieldServer:  w.server,
		"route":             w.request.Route.Name,
		"kind":              w.request.Route.Kind.String(),
		"tries":             w.tries,
		"runs":              w.runs,
		"took_ms":           took.Milliseconds(),
		lavlog.FieldConfig:  w.request.Config,
		"listing_age_ms":    now.Sub(w.Directory.LastRead()).Milliseconds(),
	}
	if result.Refusal != nil {
		fields["status"] = result.Refusal.Status
		fields["reason"] = result.Refusal.Reason
		fields["retry_after_ms"] = result.Refusal.RetryAfter.Milliseconds()
		w.Metrics.refusals.WithLabelValues(w.request.Route.Kind.String(), strconv.Itoa(result.Refusal.Status)).Inc()
	}
	if w.first > 0 {
		fields["first_ms"] = w.first.Milliseconds()
		fields["events"] = w.delivered
		fields["longest_pause_ms"] = max(w.longestPause, now.Sub(w.lastEvent)).Milliseconds()
	}
	if w.last != "" {
		fields["last_failure"] = w.last
	}
	if w.settled != "" {
		fields["model"] = w.settled
		fields["confidence"] = w.confidence
	}
	w.Metrics.ended(w.request.Route.Kind, outcome, took, w.first)
	w.Log.WithFields(fields).Info(outcome)
}

func (w *work) outcome(ctx context.Context, result Result) string {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return outcomeCallerLeft
	case result.Broken:
		return outcomeBrokenOff
	case result.Refusal != nil:
		return outcomeRefused
	default:
		return outcomeAnswered
	}
}

// late tells whether the answer, or a stream's first event, came after the route's latency target.
func (w *work) late(took time.Duration) bool {
	if w.request.Route.Kind == lavroute.Streaming {
		took = w.first
	}
	return w.request.Route.LatencyTarget > 0 && took > w.request.Route.LatencyTarget
}

// tell writes the story with the time since each step, as lines carry the time at which they were written.
func (w *work) tell(now time.Time) {
	for _, step := range w.story.steps {
		w.Log.WithFields(step.fields).WithField(lavlog.FieldAgo, now.Sub(step.at).Milliseconds()).Info(step.what)
	}
}
