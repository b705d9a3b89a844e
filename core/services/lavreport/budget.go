package lavreport

import (
	"time"

	"lavenderswitch/core/modules/lavring"
)

// messageBudget bounds the probes of a host: they take what the planned messages leave of maxProbedRate. A host that many
// others use as a relay by mistake has the most planned messages and the most silent hosts to probe.
type messageBudget struct {
	// left is the number of messages that may be sent now; planned messages may make it negative.
	left       float64
	refilledAt time.Time
}

// refill adds what has accrued until now.
func (b *messageBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.left += maxProbedRate * now.Sub(b.refilledAt).Seconds()
	}
	b.left, b.refilledAt = min(b.left, probeBurst), now
}

// spend takes the messages in the envelopes from the budget.
func (b *messageBudget) spend(envelopes []Envelope) {
	for _, envelope := range envelopes {
		b.left -= float64(len(envelope.To))
	}
}

// probes returns the number of probes that may be sent now.
func (b *messageBudget) probes() int { return max(int(b.left), 0) }

// limit returns the first receivers of probes, as many as may be sent now.
func (b *messageBudget) limit(receivers []lavring.Member) []lavring.Member {
	return receivers[:min(len(receivers), b.probes())]
}
