package lavcutover

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// Order is an operator's wish to move a service to a release within a time.
type Order struct {
	Service  lavid.ServiceID
	To       lavid.ReleaseID
	Duration time.Duration
}

// State is how far a cutover is.
type State string

// The states of a cutover; the last two are final.
const (
	Running  State = "Running"
	Complete State = "Complete"
	Stopped  State = "Stopped"
)

// Progress is the row that all hosts agree on.
type Progress struct {
	Service lavid.ServiceID
	To      lavid.ReleaseID
	State   State
	// Began is when the cutover began, on the store's clock.
	Began time.Duration
	// Duration is what the operator gave it.
	Duration time.Duration
}

const (
	// trialPart of the time is the least trial; the rules keep sessions on their release for the first half.
	trialFraction = 0.5
	// trialMargin keeps hosts whose clocks differ a little within the trial.
	trialMargin = 300 * time.Millisecond
	// endMargin before the end of the time covers an order that was seen late and the write itself.
	endMargin = 1200 * time.Millisecond
)

// inTrial tells whether sessions must not be moved yet.
func (p Progress) inTrial(elapsed time.Duration) bool {
	return elapsed < time.Duration(trialFraction*float64(p.Duration))+trialMargin
}

// due tells whether a cutover has to complete even though the old servers still work.
func (p Progress) mustComplete(elapsed time.Duration) bool {
	return elapsed >= p.Duration-endMargin
}

// drawn places a session in [0, 1), the same on every host.
func (p Progress) sessionPosition(session string) float64 {
	sum := xxhash.Sum64String(string(p.Service) + "\x00" + string(p.To) + "\x00" + session)
	return float64(sum>>11) / (1 << 53)
}
