package lavforward

import (
	"context"
	"maps"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavexchange"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavquarantine"
)

// send is one send of a request to one server, from the choice of the server to the end of its answer. The execution, which it serves,
// decides between sends.
type send struct {
	*execution
	chosen choice
	// model is the model that is requested; empty for plain services.
	model  lavid.ModelID
	job    *lavload.Job
	sentAt time.Time
	// rank is the priority within the engine.
	rank int
	// flight holds what becomes of the request at the server, and timing measures the time to the answer. The watchdog gives up a server
	// that is silent.
	flight   *flight
	timing   *lavcutover.Timing
	watchdog *watchdog
	// stream is the state of the stream that the server sends.
	stream streamState
	// awaitsHead is true until the head of an answer has arrived.
	awaitsHead atomic.Bool
}

// run sends the request and decides what follows.
func (s *send) run(ctx context.Context) (step, Result) {
	remaining := s.request.Deadline.Sub(s.sentAt)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	s.flight = &flight{Send: lavquarantine.Send{Keys: s.keys, Instance: s.chosen.Instance(), Repeat: s.endedServer}, sentAt: s.sentAt, cancel: cancel}
	if !s.trial {
		s.flights.add(s.flight)
	}
	defer s.endFlight()
	s.awaitsHead.Store(true)
	s.watchdog = s.newWatchdog(cancel)
	defer s.watchdog.stop()
	s.timing = s.startTiming(s.chosen, s.sentAt)
	defer s.timing.Dropped()
	if s.mayRepeat() {
		s.watchdog.reset(s.silenceTimeout(s.chosen, s.sentAt) / checksPerTimeout)
	}
	reply, err := s.Sender.Send(ctx, Dispatch{
		Request:     s.request,
		Server:      s.chosen.Server,
		Model:       s.model,
		ResumeAfter: s.resumeAfter(),
		Timeout:     remaining,
		Rank:        s.rank,
		MaySend: func() bool {
			return s.Directory.MayTake(s.chosen.Server, s.Clock()) && !s.isQuarantined(s.Clock())
		},
	})
	if err != nil {
		return s.handleSendError(ctx, err)
	}
	defer reply.Body.Close()
	s.Metrics.serverFirstAnswer.WithLabelValues(string(s.chosen.Service)).Observe(s.Clock().Sub(s.sentAt).Seconds())
	s.health.recordActivity(s.chosen.Instance(), s.Clock())
	if !reply.OtherStated && !s.request.hasModel() {
		reply.OtherServer = false
	}
	s.recordNotices(reply)
	if !reply.OtherServer {
		s.recordAlive(reply)
	}
	if reply.NotRun {
		s.flight.settled = true
		return s.handleRefusal(reply)
	}
	s.awaitsHead.Store(false)
	s.flight.Begun, s.flight.begunAt = true, s.Clock()
	s.health.recordAnswer(s.chosen.Instance(), s.sentAt, s.rank)
	s.runs++
	return s.deliver(ctx, reply)
}

// newWatchdog returns a watchdog that cancels the send once its server counts as lost, while another server may take the request.
func (s *send) newWatchdog(cancel context.CancelFunc) *watchdog {
	others := maps.Clone(s.excluded)
	others[s.chosen.ID] = true
	return newWatchdog(cancel, func(since time.Time) bool {
		if s.flight.waitsForCaller() {
			return false
		}
		lost := s.health.silentSince(s.chosen.Instance(), since) || s.flight.isOverdue(s.pauseTimeout(), s.Clock())
		if s.awaitsHead.Load() {
			lost = s.isLost(s.chosen, s.rank, s.sentAt, s.Clock())
		}
		// Without another server, waiting for this one is the best that can be done.
		return lost && len(s.candidates(others, s.Clock())) > 0
	}, s.Clock)
}

// handleSendError decides what follows a send that got no answer. A send that did not reach the server is repeated even if
// the request may run only once.
func (s *send) handleSendError(ctx context.Context, err error) (step, Result) {
	now := s.Clock()
	s.excluded[s.chosen.ID] = true
	s.lastFailure = err.Error()
	sent := lavexchange.WasSent(err)
	if sent {
		s.runs++
	} else {
		s.flight.settled = true
	}
	requestEnded := ctx.Err() != nil && !s.watchdog.hasFired()
	if errors.Is(err, lavexchange.ErrWithheld) {
		s.logDecision("send withheld", s.chosen.ID, nil)
		return stepRepeat, Result{}
	}
	if requestEnded && s.isQuarantined(now) {
		return stepDone, s.failQuarantined(s.Quarantine.Refusal(s.keys, now))
	}
	if !requestEnded {
		switch {
		case sent && !s.watchdog.hasFired():
			s.recordEnding(err, now)
		case lavexchange.IsRefused(err):
			s.Quarantine.RecordEnded(s.chosen.Instance(), now)
		}
		s.health.recordFailure(s.chosen.Instance(), now)
		s.Metrics.countSend(s.chosen, sendLost)
		s.logDecision("send failed", s.chosen.ID, s.progressFields(logrus.Fields{"sent": sent, "reason": err.Error()}))
	}
	switch {
	case requestEnded:
		return stepDone, s.fail("no answer in time")
	case !sent:
		return stepRepeat, Result{}
	default:
		return s.repeatOrFail("server gave no answer")
	}
}

// handleRefusal decides what follows a refusal by a server that did not run the request. It is repeated even if it may run
// only once.
func (s *send) handleRefusal(reply *Reply) (step, Result) {
	s.excluded[s.chosen.ID] = true
	s.lastFailure = "server refused with " + http.StatusText(reply.Status)
	s.Metrics.countSend(s.chosen, sendRefused)
	switch {
	case reply.OtherServer:
		s.Directory.Displace(s.chosen.Server, s.Clock())
	case reply.Pause == 0 && !reply.Leaving && reply.Status != http.StatusMisdirectedRequest:
		s.health.recordErrorAnswer(s.chosen.Instance())
	}
	s.logDecision("server refused", s.chosen.ID, logrus.Fields{"status": reply.Status, "other_server": reply.OtherServer})
	if reply.Status == http.StatusMisdirectedRequest && !reply.OtherServer && s.runs == 0 {
		// Other servers of the service would refuse the request as well.
		return stepDone, Result{Refusal: &Refusal{Status: reply.Status, Reason: "server does not have the model"}}
	}
	if s.sends >= s.request.Route.Attempts+maxRefusedSends {
		return stepDone, s.fail("servers refused")
	}
	if !s.takeRepeat() {
		return stepDone, s.fail("servers refused and the budget for repeats is used up")
	}
	return stepRepeat, Result{}
}
