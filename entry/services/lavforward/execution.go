package lavforward

import (
	"context"
	"net/http"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavquarantine"
)

const (
	// maxRefusedSends is the number of sends allowed beyond the attempts of the route, for servers that refuse a request
	// without running it.
	maxRefusedSends = 3
	// minRemaining is the time before the deadline within which no server is expected to answer.
	minRemaining = 20 * time.Millisecond
)

// execution is the state of one request while it is forwarded.
type execution struct {
	*Forwarder
	request  *Request
	answer   AnswerWriter
	excluded map[lavid.BackendServerID]bool
	// keys are those of the request. trial states that it may be sent although servers ended with one of them.
	// endedServer states that a server has ended with the request.
	keys        lavquarantine.Keys
	trial       bool
	endedServer bool
	// bufferedBytes is what the request has reserved of the buffers for large answers.
	bufferedBytes int64
	// runs counts the sends that a server may have run, and sends counts all of them.
	runs  int
	sends int
	// modelIndex is the index of the current model in the route's list of models.
	modelIndex int
	delivered
	// waited is how long the request waited until an engine could serve it in time.
	waited time.Duration
	// lastServer is the server of the latest send, and lastFailure the reason of the latest send that failed.
	lastServer  lavid.BackendServerID
	lastFailure string
	// serverError is the latest complete and signed 5xx answer.
	serverError *Reply
	// sendRecords holds the sends until the request ends. They are logged only if the request failed, was late or had a
	// failed send.
	sendRecords []sendRecord
}

// delivered is what the caller has received of the answer, from all servers.
type delivered struct {
	// answerBegun is set once the head of a stream was delivered. lastEventID is the ID of the last event delivered since.
	answerBegun bool
	lastEventID string
	// answeringModel is the model whose stream is delivered; it is empty before. confidence is the model's self-reported
	// confidence in its answer.
	answeringModel lavid.ModelID
	confidence     int
	// firstEventAfter is the time from the request's arrival to the delivery of its first event.
	firstEventAfter time.Duration
	// deliveredEvents counts the events delivered from all servers; the last of them was delivered at lastEventAt.
	// longestPause is the longest time between two of them.
	deliveredEvents int
	lastEventAt     time.Time
	longestPause    time.Duration
}

// step is what follows a send. The Result returned with it is set only for stepDone.
type step int

const (
	// stepDone ends the request.
	stepDone step = iota
	// stepRepeat sends the request again.
	stepRepeat
)

// run sends the request until it is answered or fails.
func (e *execution) run(ctx context.Context) Result {
	if e.startsLarge() {
		e.modelIndex = len(e.request.Route.Models) - 1
	}
	for {
		now := e.Clock()
		if e.request.Deadline.Sub(now) < minRemaining {
			return e.fail("deadline has passed")
		}
		if admission := e.admit(now); admission.Refused {
			return e.failQuarantined(admission)
		}
		model := e.chooseModel()
		if e.mayWait() {
			entry := e.waiting.wait(ctx, e, model)
			switch {
			case entry.quarantined:
				continue
			case entry.refused != "":
				return e.refuse(entry.refused, entry.retryAfter)
			}
			next, result := e.send(ctx, entry.chosen, model, entry.job, e.Clock())
			e.release(entry.chosen, entry.job)
			if next == stepDone {
				return result
			}
			continue
		}
		chosen, ok := e.choose(model, now)
		if !ok {
			return e.fail("no server may take the request")
		}
		job, ok := e.reserve(chosen, model, now)
		if !ok {
			e.excluded[chosen.ID] = true
			continue
		}
		next, result := e.send(ctx, chosen, model, job, now)
		e.release(chosen, job)
		if next == stepDone {
			return result
		}
	}
}

// chooseModel returns the model of the next send: the one named by the caller, the one whose answer has begun, or the current
// model of the route's list.
func (e *execution) chooseModel() lavid.ModelID {
	models := e.request.Route.Models
	switch {
	case e.request.Model != "":
		return e.request.Model
	case e.answeringModel != "":
		return e.answeringModel
	case len(models) == 0:
		return ""
	case !e.request.Route.MayRunTwice():
		return models[len(models)-1]
	default:
		return models[e.modelIndex]
	}
}

// send sends the request once to the chosen server and decides what follows.
func (e *execution) send(ctx context.Context, chosen choice, model lavid.ModelID, job *lavload.Job, now time.Time) (step, Result) {
	e.sends++
	e.lastServer = chosen.ID
	e.recordSend(chosen, now)
	next := &send{execution: e, chosen: chosen, model: model, job: job, sentAt: now, rank: e.rank()}
	return next.run(ctx)
}

// resumeAfter returns the ID of the last event that the caller has received; it is empty for a stream from its start.
func (e *execution) resumeAfter() string {
	if e.lastEventID != "" {
		return e.lastEventID
	}
	return e.request.LastEventID
}

// rank returns the priority of the send within the engine; lower ranks run first. A stream that is resumed goes before
// other requests of its urgency.
func (e *execution) rank() int {
	rank := 2*e.request.Urgency() + 1
	if e.answerBegun {
		rank--
	}
	return min(rank, lowestRank)
}

// lowestRank is the least urgent rank that engines distinguish.
const lowestRank = 9

// mayRepeat reports whether the route may be repeated and its attempts allow another send after the current one.
func (e *execution) mayRepeat() bool {
	return e.request.Route.Repeatable() && e.runs+1 < e.request.Route.Attempts
}

// repeatOrFail repeats the request if the route, its attempts and the repeat budget allow it, and otherwise fails it.
func (e *execution) repeatOrFail(reason string) (step, Result) {
	route := e.request.Route
	switch {
	case !route.Repeatable():
	case e.runs >= route.Attempts:
	case e.sends >= route.Attempts+maxRefusedSends:
	default:
		if admission := e.admit(e.Clock()); admission.Refused {
			return stepDone, e.failQuarantined(admission)
		}
		if e.takeRepeat() {
			return stepRepeat, Result{}
		}
	}
	return stepDone, e.fail(reason)
}

// takeRepeat takes one send from this host's share of the repeat budget and reports whether one was left.
func (e *execution) takeRepeat() bool { return e.takeRepeatWithin(1) }

// takeRepeatWithin takes one send from the given part of this host's share of the repeat budget and reports whether one was left.
func (e *execution) takeRepeatWithin(part float64) bool {
	now := e.Clock()
	allowed := e.repeats.take(e.request.Service.ID, len(e.Hosts.Hosts(now)), part, now)
	e.Metrics.countRepeat(e.request.Service.ID, allowed)
	return allowed
}

// fail ends the request without a successful answer. An answer that was begun is broken. Otherwise the latest error answer
// of a server is delivered, or a refusal if there is none. The status of the refusal is 503 only if no server can have run
// the request; 504 and 502 do not state whether it ran.
func (e *execution) fail(reason string) Result {
	if e.answerBegun {
		return Result{Broken: true}
	}
	if e.serverError != nil {
		return e.deliverServerError()
	}
	if e.runs == 0 {
		return Result{Refusal: &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: e.retryAfter(), Reason: reason}}
	}
	if e.request.Deadline.Sub(e.Clock()) < minRemaining {
		return Result{Refusal: &Refusal{Status: http.StatusGatewayTimeout, Reason: reason}}
	}
	return Result{Refusal: &Refusal{Status: http.StatusBadGateway, Reason: reason}}
}

// refuse ends a request that was sent to no server. The caller may return when its turn would have come.
func (e *execution) refuse(reason string, turn time.Duration) Result {
	return Result{Refusal: &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: turn + e.retryAfter(), Reason: reason}}
}

const (
	// minRetryAfter and retryAfterSpread are the smallest Retry-After of a refusal and the range of its random part.
	minRetryAfter    = 300 * time.Millisecond
	retryAfterSpread = 700 * time.Millisecond
)

// retryAfter returns a randomised delay, so that refused callers do not all return at the same time. While all servers have
// asked for a pause, it ends after the first pause, and spreads the callers over as long a time as they were refused.
func (e *execution) retryAfter() time.Duration {
	pause := e.Directory.PauseLeft(e.request.Service.ID, e.Clock())
	return pause + minRetryAfter + time.Duration(e.random()*float64(max(retryAfterSpread, pause)))
}
