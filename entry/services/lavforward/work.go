package lavforward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavexchange"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavload"
)

const (
	// extraTries bounds the sends that servers refused without running, beyond the attempts of the route.
	extraTries = 3
	// minLeft is the least time in which a server can answer anything.
	minLeft = 20 * time.Millisecond
)

// work is the state of one request.
type work struct {
	*Forwarder
	request  *Request
	answer   Answer
	excluded map[lavid.BackendServerID]bool
	// runs counts the sends that may have run, tries all of them.
	runs  int
	tries int
	// model is the index of the model in the route's list.
	model int
	// begun says that the answer's head was delivered, after that the last event was.
	begun bool
	after string
	// settled is the model whose answer has begun.
	settled    lavid.ModelID
	confidence int
	stream     streamState
	// server is the one sent to last, and last why a send did not serve the request.
	server lavid.BackendServerID
	last   string
	// first is the time until the first event was delivered.
	first time.Duration
	// delivered counts the events that the caller has, over all servers; the last came at lastEvent.
	delivered    int
	lastEvent    time.Time
	longestPause time.Duration
	// failure is the latest answer in which a server failed the request.
	failure *Reply
	// story holds the sends until it is known whether anybody will ask about them.
	story []sent
	// timing is the wait for the answer of the present send.
	timing *lavcutover.Timing
}

// step is what follows a send.
type step int

const (
	// stepDone ends the request.
	stepDone step = iota
	// stepAgain sends it once more.
	stepAgain
)

func (w *work) run(ctx context.Context) Result {
	for {
		now := w.Clock()
		if w.request.Deadline.Sub(now) < minLeft {
			return w.giveUp("deadline has passed")
		}
		model := w.chooseModel()
		chosen, ok := w.choose(model, now)
		if !ok {
			return w.giveUp("no server may take the request")
		}
		job, ok := w.start(chosen, model, now)
		if !ok {
			w.excluded[chosen.ID] = true
			continue
		}
		next, result := w.send(ctx, chosen, model, job, now)
		job.End()
		if next == stepDone {
			return result
		}
	}
}

// chooseModel returns the model to ask for: the caller's, the one whose answer has begun, or the next stage's.
func (w *work) chooseModel() lavid.ModelID {
	models := w.request.Route.Models
	switch {
	case w.request.Model != "":
		return w.request.Model
	case w.settled != "":
		return w.settled
	case len(models) == 0:
		return ""
	case w.request.Route.Attempts < 2:
		return models[len(models)-1]
	default:
		return models[w.model]
	}
}

// send makes one attempt and decides what follows.
func (w *work) send(ctx context.Context, chosen choice, model lavid.ModelID, job *lavload.Job, now time.Time) (step, Result) {
	w.tries++
	w.server = chosen.ID
	w.remember(chosen, now)
	left := w.request.Deadline.Sub(now)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	rank := w.rank()
	var waiting atomic.Bool
	waiting.Store(true)
	stall := newStall(cancel, func(since time.Time) bool {
		if waiting.Load() {
			return w.isLost(chosen, rank, now)
		}
		return w.health.silent(chosen.ID, since)
	}, w.Clock)
	defer stall.stop()
	w.timing = w.Releases.StartTiming(chosen.Server, w.kind(chosen)+"/first", w.request.Service.Engine != nil, now)
	defer w.timing.Dropped()
	if w.mayRepeat() {
		stall.reset(w.firstStall() / firstChecks)
	}
	reply, err := w.Sender.Send(ctx, Dispatch{
		Request: w.request,
		Server:  chosen.Server,
		Model:   model,
		After:   w.resumeAfter(),
		Left:    left,
		Rank:    rank,
	})
	if err != nil {
		return w.failed(ctx, chosen, stall, err)
	}
	defer reply.Body.Close()
	w.Metrics.serverFirst.WithLabelValues(string(chosen.Service)).Observe(w.Clock().Sub(now).Seconds())
	w.health.hear(chosen.ID, w.Clock())
	if reply.NotRun {
		return w.refused(chosen, reply)
	}
	waiting.Store(false)
	w.health.answer(chosen.ID, now, rank)
	w.runs++
	return w.deliver(ctx, chosen, model, job, stall, reply, now)
}

// resumeAfter is the last event that the caller has.
func (w *work) resumeAfter() string {
	if w.after != "" {
		return w.after
	}
	return w.request.After
}

// rank orders requests within the engine; a request that goes on comes before others of its urgency.
func (w *work) rank() int {
	rank := 2*w.request.Urgency() + 1
	if w.begun {
		rank--
	}
	return min(rank, lowestRank)
}

// lowestRank is the least urgent rank that engines tell apart.
const lowestRank = 9

// mayRepeat tells whether the request may be sent once more after this send.
func (w *work) mayRepeat() bool {
	return w.request.Route.Repeatable() && w.runs+1 < w.request.Route.Attempts
}

// failed decides after a send without an answer.
func (w *work) failed(ctx context.Context, chosen choice, stall *stall, err error) (step, Result) {
	now := w.Clock()
	w.excluded[chosen.ID] = true
	w.last = err.Error()
	sent := lavexchange.WasSent(err)
	if sent {
		w.runs++
	}
	gone := ctx.Err() != nil && !stall.fired()
	if !gone {
		w.health.fail(chosen.ID, now)
		w.Metrics.send(chosen, sendLost)
		w.decided("send failed", chosen.ID, logrus.Fields{"sent": sent, "reason": err.Error()})
	}
	switch {
	case gone:
		return stepDone, w.giveUp("no answer in time")
	case !sent:
		return stepAgain, Result{}
	default:
		return w.again("server gave no answer")
	}
}

// again repeats the request where that is allowed, or ends it.
func (w *work) again(reason string) (step, Result) {
	route := w.request.Route
	switch {
	case !route.Repeatable():
	case w.runs >= route.Attempts:
	case w.tries >= route.Attempts+extraTries:
	case !w.takeRepeat():
	default:
		return stepAgain, Result{}
	}
	return stepDone, w.giveUp(reason)
}

// takeRepeat takes a further send from this host's part of the budget that all hosts share.
func (w *work) takeRepeat() bool {
	now := w.Clock()
	allowed := w.repeats.take(w.request.Service.ID, len(w.Hosts.Hosts(now)), now)
	w.Metrics.repeat(w.request.Service.ID, allowed)
	return allowed
}

// refused decides after a server refused the request without running it.
func (w *work) refused(chosen choice, reply *Reply) (step, Result) {
	w.excluded[chosen.ID] = true
	w.last = "server refused with " + http.StatusText(reply.Status)
	w.Metrics.send(chosen, sendRefused)
	if reply.OtherServer {
		w.Directory.Displace(chosen.Server)
	} else {
		w.health.flaw(chosen.ID)
	}
	w.decided("server refused", chosen.ID, logrus.Fields{"status": reply.Status, "other_server": reply.OtherServer})
	if w.tries >= w.request.Route.Attempts+extraTries {
		return stepDone, w.giveUp("servers refused")
	}
	if !w.takeRepeat() {
		return stepDone, w.giveUp("servers refused and the budget for repeats is used up")
	}
	return stepAgain, Result{}
}

// giveUp returns the true final answer: not run where nothing can have run, otherwise a failure that promises nothing.
func (w *work) giveUp(reason string) Result {
	if w.begun {
		return Result{Broken: true}
	}
	if w.failure != nil {
		return w.deliverFailure()
	}
	if w.runs == 0 {
		return Result{Refusal: &Refusal{Status: http.StatusServiceUnavailable, RetryAfter: w.retryAfter(), Reason: reason}}
	}
	if w.request.Deadline.Sub(w.Clock()) < minLeft {
		return Result{Refusal: &Refusal{Status: http.StatusGatewayTimeout, Reason: reason}}
	}
	return Result{Refusal: &Refusal{Status: http.StatusBadGateway, Reason: reason}}
}

const (
	// retryAfterLeast and retryAfterSpread place the callers that come back after a refusal.
	retryAfterLeast  = 300 * time.Millisecond
	retryAfterSpread = 700 * time.Millisecond
)

// retryAfter spreads the callers that come back, so that they do not return together.
func (w *work) retryAfter() time.Duration {
	return retryAfterLeast + time.Duration(w.random()*float64(retryAfterSpread))
}
