package lavforward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/modules/lavexchange"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavquarantine"
)

// answerSurvivalTime is how long after the head of an answer a server has survived the prompt. One that ends later ended for
// another reason.
const answerSurvivalTime = time.Second

// maxEndings is the number of servers that may end when they begin to answer a request before it is not repeated any more.
const maxEndings = 2

// reasonQuarantined is the reason of a refusal because of a part of the prompt.
const reasonQuarantined = "backend servers ended with a part of the prompt"

// flight is a send whose server has not survived the prompt yet.
type flight struct {
	parts  []lavquarantine.Key
	cancel context.CancelFunc
	// begun states that the answer has begun and nothing of it has been delivered.
	begun bool
	// settled states that it is known what became of the prompt: it was not run, its server ended, or survived it.
	settled  bool
	survived bool
}

// flights holds the sends that are cancelled once a part of their prompt is kept from servers. It is safe for concurrent use.
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

// CancelQuarantined cancels the sends of prompts with a part that has been found to end servers since, unless a server has
// survived them. It is to be called several times a second, as other hosts may have found it.
func (f *Forwarder) CancelQuarantined(now time.Time) {
	if !f.Quarantine.Suspects() {
		return
	}
	f.flights.mu.Lock()
	defer f.flights.mu.Unlock()
	for pending := range f.flights.pending {
		if f.Quarantine.Quarantined(pending.parts, now) {
			pending.cancel()
			delete(f.flights.pending, pending)
		}
	}
}

// sharedPartKeys returns the keys of the parts of a prompt that other requests may share. The last part is the request's own.
func sharedPartKeys(prompt Prompt) []lavquarantine.Key {
	var keys []lavquarantine.Key
	for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 0)] {
		keys = append(keys, lavquarantine.KeyOf(part.ID))
	}
	return keys
}

// admit decides whether the next send of the request may be made, and takes the trial of a part if it is due.
func (e *execution) admit(now time.Time) lavquarantine.Admission {
	if e.trial {
		return lavquarantine.Admission{}
	}
	admission := e.Quarantine.Admit(e.parts, e.trialRank(now), now)
	if admission.Trial {
		e.trial = true
		e.Metrics.quarantine.WithLabelValues(string(e.request.Service.ID), quarantineTrial).Inc()
		e.logDecision("prompt part is tried again", e.lastServer, nil)
	}
	return admission
}

// trialRank returns the order in which hosts try a part again.
func (e *execution) trialRank(now time.Time) lavquarantine.Rank {
	return func(part lavquarantine.Key) int {
		members := lavring.Ranked(e.Hosts.Hosts(now), fmt.Sprintf("prompt part %x", uint64(part)))
		for rank, member := range members {
			if member.ID == e.HostID {
				return rank
			}
		}
		return len(members)
	}
}

// isQuarantined reports whether the prompt is kept from servers.
func (e *execution) isQuarantined(now time.Time) bool {
	return !e.trial && e.Quarantine.Quarantined(e.parts, now)
}

// failQuarantined ends a request whose prompt is kept from servers.
func (e *execution) failQuarantined(admission lavquarantine.Admission) Result {
	fields := logrus.Fields{"endings": admission.Endings}
	for i, key := range e.parts {
		if key == admission.Part {
			fields["prompt_part"] = e.request.Prompt.Parts[i].ID
		}
	}
	e.Metrics.quarantine.WithLabelValues(string(e.request.Service.ID), quarantineRefused).Inc()
	e.logDecision("prompt is kept from servers", e.lastServer, fields)
	result := e.fail(reasonQuarantined)
	if result.Refusal != nil && e.runs == 0 {
		result.Refusal.RetryAfter = admission.ReturnAfter
	}
	return result
}

// recordEnding records that the connection to a server broke before the server had survived the prompt. begun states that the
// answer had begun and nothing of it had been delivered. A send that timed out, or whose answer was damaged, says nothing about
// the end of its server.
func (e *execution) recordEnding(chosen choice, begun bool, err error, now time.Time) {
	if !lavexchange.IsPeerEnd(err) {
		return
	}
	e.flight.settled, e.trial = true, false
	if begun {
		e.endings++
	}
	e.Quarantine.RecordEnding(e.parts, chosen.Instance(), begun, now)
	e.CancelQuarantined(now)
}

// recordSurvival records, once for each send, that its server has survived the prompt.
func (e *execution) recordSurvival(now time.Time) {
	if e.flight.survived {
		return
	}
	e.flight.settled, e.flight.survived = true, true
	e.flights.remove(e.flight)
	e.Quarantine.RecordAnswer(e.parts, now)
}

// endFlight records that a send ended. If it is not known what became of its prompt, the server may still end with it.
func (e *execution) endFlight(chosen choice) {
	e.flights.remove(e.flight)
	if !e.flight.settled && len(e.parts) > 0 {
		e.Quarantine.RecordDropped(e.parts, chosen.Instance(), e.flight.begun, e.Clock())
	}
}
