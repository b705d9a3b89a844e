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

// storySends bounds the sends of one request that are kept; a request has fewer attempts.
const storySends = 16

// sent is one send with what decided it: the server's load as this host knew it and what the request adds to it.
type sent struct {
	choice
	at       time.Time
	try      int
	requests int
	// listing is the age of the list of servers, and left what remained until the deadline.
	listing  time.Duration
	left     time.Duration
	excluded int
	after    string
	// expected is the time to the first event, for engines.
	expected time.Duration
}

// remember keeps a send until it is known whether anybody will ask about it.
func (w *work) remember(chosen choice, now time.Time) {
	if len(w.story) == storySends {
		return
	}
	w.story = append(w.story, sent{
		choice:   chosen,
		at:       now,
		try:      w.tries,
		requests: w.Loads.At(chosen.ID, now).Requests,
		listing:  now.Sub(w.Directory.LastListing()),
		left:     w.request.Deadline.Sub(now),
		excluded: len(w.excluded),
		after:    w.after,
		expected: w.expectedFirst(chosen),
	})
}

// tell writes the story with the time since each send, as lines carry the time at which they were written.
func (w *work) tell(now time.Time) {
	for _, send := range w.story {
		fields := logrus.Fields{
			lavlog.FieldRequest:  w.request.ID,
			lavlog.FieldServer:   send.ID,
			lavlog.FieldConfig:   w.request.Config,
			lavlog.FieldAgo:      now.Sub(send.at).Milliseconds(),
			"service":            send.Service,
			"release":            send.Release,
			"data_centre":        send.DataCentre,
			"try":                send.try,
			"requests_at_server": send.requests,
			"listing_age_ms":     send.listing.Milliseconds(),
			"deadline_ms":        send.left.Milliseconds(),
			"usable_servers":     send.among,
			"server_is_cold":     send.Cold(send.at),
			"excluded_servers":   send.excluded,
		}
		if send.after != "" {
			fields["resumed_after"] = send.after
		}
		if send.model != "" {
			fields["model"] = send.model
			fields["unread_tokens"] = int64(send.unread)
			fields["unread_tokens_before"] = int64(send.ahead)
			fields["expected_first_ms"] = send.expected.Milliseconds()
		}
		w.Log.WithFields(fields).Info("sent")
	}
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
		"listing_age_ms":    now.Sub(w.Directory.LastListing()).Milliseconds(),
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
