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
	"lavenderswitch/core/services/lavescalation"
)

// The outcomes of a request.
const (
	outcomeAnswered   = "answered"
	outcomeRefused    = "refused"
	outcomeBrokenOff  = "broken off"
	outcomeCallerLeft = "caller left"
)

// maxSendRecords is the number of sends of one request that are kept for the log; a request has fewer attempts.
const maxSendRecords = 16

// sendRecord is one send and the state from which its server was chosen.
type sendRecord struct {
	choice
	sentAt         time.Time
	number         int
	serverRequests int
	// listingAge is the age of the latest server listing, and remaining the time left until the deadline.
	listingAge      time.Duration
	remaining       time.Duration
	excludedServers int
	resumeAfter     string
	// expectedFirst is the expected time to the first event of an engine's answer, and headAfter the seen one; zero if there was none.
	expectedFirst time.Duration
	headAfter     time.Duration
	// confidence is that of an answer that was dropped in favour of a larger model, and withheld why a wanted one was not run.
	dropped    bool
	confidence int
	withheld   lavescalation.Reason
}

// recordSend keeps a send for the log until the outcome of the request is known.
func (e *execution) recordSend(chosen choice, now time.Time) {
	if len(e.sendRecords) == maxSendRecords {
		return
	}
	e.sendRecords = append(e.sendRecords, sendRecord{
		choice:          chosen,
		sentAt:          now,
		number:          e.sends,
		serverRequests:  e.Loads.Total(chosen.ID, now).Requests,
		listingAge:      now.Sub(e.Directory.LastListing()),
		remaining:       e.request.Deadline.Sub(now),
		excludedServers: len(e.excluded),
		resumeAfter:     e.lastEventID,
		expectedFirst:   e.expectedFirst(chosen, now),
	})
}

// updateRecord changes the record of the current send, if it is kept.
func (e *execution) updateRecord(change func(*sendRecord)) {
	if last := len(e.sendRecords) - 1; last >= 0 && e.sendRecords[last].number == e.sends {
		change(&e.sendRecords[last])
	}
}

// engineFields adds to the fields of a request's end what decided about its runs at engines: its length, its bounds, and what its runs
// took. A second run is one that replaced a dropped answer.
func (e *execution) engineFields(fields logrus.Fields) {
	if e.request.Service.Engine == nil {
		return
	}
	fields["input_tokens"] = int64(e.request.Prompt.Input)
	fields["output_tokens"] = int64(e.memoryTokens() - e.request.Prompt.Input)
	fields["deadline_ms"] = e.request.Deadline.Sub(e.request.Arrived).Milliseconds()
	for _, send := range e.sendRecords {
		switch {
		case send.dropped:
			fields["first_run_ms"], fields["dropped_confidence"] = send.headAfter.Milliseconds(), send.confidence
		case send.headAfter > 0:
			fields["last_run_ms"] = send.headAfter.Milliseconds()
			fields["expected_first_ms"] = send.expectedFirst.Milliseconds()
		}
		if send.withheld != "" {
			fields["withheld"] = send.withheld
		}
	}
}

// logSends logs the recorded sends, each with its age, because the time of a log line is that of logging.
func (e *execution) logSends(now time.Time) {
	for _, send := range e.sendRecords {
		fields := logrus.Fields{
			lavlog.FieldRequest:  e.request.ID,
			lavlog.FieldServer:   send.ID,
			lavlog.FieldConfig:   e.request.Config,
			lavlog.FieldAgo:      now.Sub(send.sentAt).Milliseconds(),
			"service":            send.Service,
			"release":            send.Release,
			"data_centre":        send.DataCentre,
			"try":                send.number,
			"requests_at_server": send.serverRequests,
			"listing_age_ms":     send.listingAge.Milliseconds(),
			"deadline_ms":        send.remaining.Milliseconds(),
			"usable_servers":     send.candidateCount,
			"server_is_cold":     send.Cold(send.sentAt),
			"excluded_servers":   send.excludedServers,
		}
		if send.resumeAfter != "" {
			fields["resumed_after"] = send.resumeAfter
		}
		if send.model != "" {
			fields["model"] = send.model
			fields["unread_tokens"] = int64(send.unreadTokens)
			fields["unread_tokens_before"] = int64(send.unreadTokensBefore)
			fields["expected_first_ms"] = send.expectedFirst.Milliseconds()
		}
		e.Log.WithFields(fields).Info("sent")
	}
}

// logDecision logs a decision about the request.
func (e *execution) logDecision(decision string, server lavid.BackendServerID, fields logrus.Fields) {
	e.Log.WithFields(fields).WithFields(logrus.Fields{
		lavlog.FieldRequest: e.request.ID,
		lavlog.FieldServer:  server,
		"tries":             e.sends,
		"runs":              e.runs,
	}).Info(decision)
}

// maxLoggedParts is the number of parts of a prompt that a log line names. The parts that requests share come first.
const maxLoggedParts = 8

// progressFields adds the key of the request, the parts of its prompt and what speaks against these to the fields of a send that got no
// whole answer, so that sends that ended with their servers can be compared. The lists about parts are in the order of the parts.
func (e *execution) progressFields(fields logrus.Fields) logrus.Fields {
	fields["request_key"] = e.keys.Request.String()
	if len(e.request.Prompt.Parts) == 0 {
		return fields
	}
	var parts []string
	for _, part := range e.request.Prompt.Parts[:min(len(e.request.Prompt.Parts), maxLoggedParts)] {
		parts = append(parts, part.ID)
	}
	fields["prompt_parts"] = parts
	if !e.Quarantine.Suspects() {
		return fields
	}
	var endings []int
	var scores, required []float64
	for _, key := range e.keys.Parts[:min(len(e.keys.Parts), maxLoggedParts)] {
		evidence := e.Quarantine.Evidence(key, e.Clock())
		endings, scores, required = append(endings, evidence.Endings), append(scores, evidence.Score), append(required, evidence.RequiredScore)
	}
	fields["part_endings"], fields["part_scores"], fields["part_required_scores"] = endings, scores, required
	return fields
}

// reportEnd logs and counts how the request ended.
func (e *execution) reportEnd(ctx context.Context, result Result) {
	now := e.Clock()
	took := now.Sub(e.request.Arrived)
	outcome := e.outcome(ctx, result)
	if outcome != outcomeAnswered || e.lastFailure != "" || e.exceededTarget(took) {
		e.logSends(now)
	}
	fields := logrus.Fields{
		lavlog.FieldRequest: e.request.ID,
		lavlog.FieldAccount: e.request.AccountID(),
		lavlog.FieldServer:  e.lastServer,
		"route":             e.request.Route.Name,
		"kind":              e.request.Route.Kind.String(),
		"tries":             e.sends,
		"runs":              e.runs,
		"took_ms":           took.Milliseconds(),
		lavlog.FieldConfig:  e.request.Config,
		"listing_age_ms":    now.Sub(e.Directory.LastListing()).Milliseconds(),
		"data_centre":       e.DataCentre,
		"target_ms":         e.request.Route.LatencyTarget.Milliseconds(),
	}
	e.engineFields(fields)
	if result.Refusal != nil {
		fields["status"] = result.Refusal.Status
		fields["reason"] = result.Refusal.Reason
		fields["retry_after_ms"] = result.Refusal.RetryAfter.Milliseconds()
		e.Metrics.refusals.WithLabelValues(e.request.Route.Kind.String(), strconv.Itoa(result.Refusal.Status)).Inc()
	}
	if e.waited > 0 {
		fields["waited_ms"] = e.waited.Milliseconds()
	}
	if e.firstEventAfter > 0 {
		fields["first_ms"] = e.firstEventAfter.Milliseconds()
		fields["events"] = e.deliveredEvents
		fields["longest_pause_ms"] = max(e.longestPause, now.Sub(e.lastEventAt)).Milliseconds()
	}
	if e.lastFailure != "" {
		fields["last_failure"] = e.lastFailure
	}
	if e.answeringModel != "" {
		fields["model"] = e.answeringModel
		fields["confidence"] = e.confidence
	}
	e.Metrics.countRequest(e.request.Route.Kind, outcome, took, e.firstEventAfter)
	e.Log.WithFields(fields).Info(outcome)
}

// outcome returns how the request ended, as logs and metrics state it.
func (e *execution) outcome(ctx context.Context, result Result) string {
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

// exceededTarget reports whether the answer, or the first event of a stream, exceeded the latency target of the route.
func (e *execution) exceededTarget(took time.Duration) bool {
	if e.request.Route.Kind == lavroute.Streaming {
		took = e.firstEventAfter
	}
	return e.request.Route.LatencyTarget > 0 && took > e.request.Route.LatencyTarget
}
