package lavforward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/modules/lavexchange"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavquarantine"
)

// answerSurvivalTime is how long after the head of an answer a server has survived the request. One that ends later ended for
// another reason.
const answerSurvivalTime = time.Second

// continuationTime is how long after the head of an answer a server goes on with the request for a while. Most that end with a request end
// earlier.
const continuationTime = 300 * time.Millisecond

// maxRejectionTime is about how long a server that has too many connections takes to close a new one.
const maxRejectionTime = 10 * time.Millisecond

// arrivalError is about how far the time is off at which bytes of a server arrived.
const arrivalError = 50 * time.Millisecond

// The reasons of refusals because of the whole request, or of a part of its prompt.
const (
	reasonRequestQuarantined = "backend servers ended with this request"
	reasonPartQuarantined    = "backend servers ended with a part of the prompt"
)

// flight is a send whose server has not survived the request yet. It is begun once the answer has begun and nothing of it has
// been delivered.
type flight struct {
	lavquarantine.Send
	sentAt time.Time
	// begunAt is when the head of the answer arrived; zero before.
	begunAt time.Time
	cancel  context.CancelFunc
	// delivered states that a part of the answer has been delivered.
	delivered bool
	// continued states that the server has gone on with the answer for continuationTime.
	continued bool
	// settled states that it is known what became of the request: it was not run, its server ended, or survived it.
	settled  bool
	survived bool
	// partialSince is the time in nanoseconds since which the server has sent a part of an event without its end, or comments without an
	// event; zero if there is none. ahead reads the stream; it is nil before the head of a stream.
	partialSince atomic.Int64
	ahead        atomic.Pointer[readAhead]
}

// isOverdue reports whether the server has not ended an event for so long although it sends.
func (f *flight) isOverdue(timeout time.Duration, now time.Time) bool {
	since := f.partialSince.Load()
	return since != 0 && now.UnixNano()-since >= int64(timeout)
}

// waitsForCaller reports whether the stream is not read because its caller is too far behind.
func (f *flight) waitsForCaller() bool {
	ahead := f.ahead.Load()
	return ahead != nil && ahead.isFull()
}

// flights holds the sends that are cancelled once their requests are kept from servers: those of which nothing has been
// delivered. It is safe for concurrent use.
type flights struct {
	mu      sync.Mutex
	pending map[*flight]struct{}
}

func newFlights() *flights { return &flights{pending: make(map[*flight]struct{})} }

func (f *flights) add(added *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending[added] = struct{}{}
}

func (f *flights) remove(removed *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, removed)
}

// CancelQuarantined cancels the sends of requests that have been found to end servers since, unless the answer is being delivered.
// It is to be called several times a second, as other hosts may have found it.
func (f *Forwarder) CancelQuarantined(now time.Time) {
	if !f.Quarantine.Suspects() {
		return
	}
	f.flights.mu.Lock()
	defer f.flights.mu.Unlock()
	for pending := range f.flights.pending {
		if f.Quarantine.MustCancel(pending.Keys, now) {
			pending.cancel()
			delete(f.flights.pending, pending)
		}
	}
}

// admit decides whether the next send of the request may be made, and takes the trial of its keys if it is due.
func (e *execution) admit(now time.Time) lavquarantine.Admission {
	if e.trial {
		return lavquarantine.Admission{}
	}
	admission := e.Quarantine.Admit(e.keys, e.trialRank(now), now)
	if admission.Trial {
		e.trial = true
		e.Metrics.quarantine.WithLabelValues(string(e.request.Service.ID), quarantineTrial).Inc()
		message := "prompt part is tried again"
		if admission.Key == e.keys.Request {
			message = "request is tried again"
		}
		e.logDecision(message, e.lastServer, logrus.Fields{"request_key": e.keys.Request.String()})
	}
	return admission
}

// trialRank returns the order in which hosts try a key again.
func (e *execution) trialRank(now time.Time) lavquarantine.Rank {
	return func(key lavquarantine.Key) int {
		members := lavring.Ranked(e.Hosts.Hosts(now), "prompt part "+key.String())
		for rank, member := range members {
			if member.ID == e.HostID {
				return rank
			}
		}
		return len(members)
	}
}

// isQuarantined reports whether the request is kept from servers.
func (e *execution) isQuarantined(now time.Time) bool {
	return !e.trial && e.Quarantine.Quarantined(e.keys, now)
}

// failQuarantined ends a request that is kept from servers.
func (e *execution) failQuarantined(admission lavquarantine.Admission) Result {
	message, reason := "request is kept from servers", reasonRequestQuarantined
	fields := logrus.Fields{"endings": admission.Endings, "request_key": e.keys.Request.String()}
	for i, key := range e.keys.Parts {
		if key == admission.Key {
			message, reason = "prompt is kept from servers", reasonPartQuarantined
			fields["prompt_part"] = e.request.Prompt.Parts[i].ID
		}
	}
	e.Metrics.quarantine.WithLabelValues(string(e.request.Service.ID), quarantineRefused).Inc()
	e.logDecision(message, e.lastServer, fields)
	result := e.fail(reason)
	if result.Refusal != nil && e.runs == 0 {
		result.Refusal.RetryAfter = admission.ReturnAfter
	}
	return result
}

// arrival is the body of an answer that tells how long ago its latest bytes arrived at this host, which may be long before they are read.
type arrival interface{ ReceivedAgo() (time.Duration, bool) }

// recordAlive records that the server sent something. An answer shows that it was alive when the request was sent, and its latest bytes
// that it was when they arrived.
func (s *send) recordAlive(reply *Reply) {
	now := s.Clock()
	at := s.sentAt
	if body, ok := reply.Body.(arrival); ok {
		if ago, known := body.ReceivedAgo(); known {
			at = later(at, now.Add(-ago-arrivalError))
		}
	}
	s.Quarantine.RecordAlive(s.chosen.Instance(), at, now)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// recordEnding records that the connection to a server broke before the server had survived the request. A send that timed out,
// or whose answer was damaged, says nothing about the end of its server.
func (s *send) recordEnding(err error, now time.Time) {
	if !lavexchange.IsPeerEnd(err) {
		return
	}
	s.trial, s.endedServer = false, true
	s.Quarantine.RecordEnding(s.settle(now), now)
	s.CancelQuarantined(now)
}

// settle returns the send as it is held against its request when its server ends. A plain server is taken to run the request from
// its arrival on, as it sends nothing before the whole answer, but one that closes the connection at once may have too many.
func (s *send) settle(now time.Time) lavquarantine.Send {
	s.flight.settled = true
	send := s.flight.Send
	if s.request.Service.Engine == nil && !s.flight.delivered && now.Sub(s.flight.sentAt) >= maxRejectionTime {
		send.Begun = true
	}
	return send
}

// recordProgress records that a part of a stream was delivered, whose head arrived at headAt. A server that ends with a request
// ends when it begins to answer, so that the send is not cancelled any more.
func (s *send) recordProgress(headAt, now time.Time) {
	if s.stream.events() == 0 {
		return
	}
	if !s.flight.delivered {
		s.flight.Begun, s.flight.delivered = false, true
		s.flights.remove(s.flight)
	}
	if now.Sub(headAt) >= continuationTime && !s.flight.continued {
		s.flight.continued = true
		s.Quarantine.RecordContinued(s.keys, now)
	}
	if now.Sub(headAt) >= answerSurvivalTime {
		s.recordSurvival()
	}
}

// recordSurvival records, once for each send, that its server has survived the request. As servers end when they begin to answer, the time is
// that of the beginning: the answer says nothing about servers that ended after it.
func (s *send) recordSurvival() {
	if s.flight.survived {
		return
	}
	s.flight.settled, s.flight.survived = true, true
	s.flights.remove(s.flight)
	s.Quarantine.RecordAnswer(s.keys, s.flight.begunAt, s.Clock())
}

// endFlight records that a send ended. If it is not known what became of its request, the server may still end with it.
func (s *send) endFlight() {
	s.flights.remove(s.flight)
	if now := s.Clock(); !s.flight.settled {
		s.Quarantine.RecordDropped(s.settle(now), now)
	}
}
