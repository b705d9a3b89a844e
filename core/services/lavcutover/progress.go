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
	// trialPart of the time is the trial; the rules keep sessions on their release for the first half.
	trialPart = 0.5
	// trialMargin keeps hosts whose clocks differ a little within the trial.
	trialMargin = 300 * time.Millisecond
	// growthPart of the time is spent on each growing share.
	growthPart = 1.0 / 24
	// endPart of the time is when a cutover completes at the latest, with a margin for the write.
	endPart = 0.93
)

// growth is the shares that follow the trial, one after the other.
var growth = []lavid.Share{0.25, 0.5, 1}

// InTrial tells whether sessions must not be moved yet.
func (p Progress) InTrial(elapsed time.Duration) bool {
	return elapsed < p.trialEnd()
}

func (p Progress) trialEnd() time.Duration {
	return time.Duration(trialPart*float64(p.Duration)) + trialMargin
}

// Share is the part of the sessions that the new release takes.
func (p Progress) Share(elapsed time.Duration, trial lavid.Share) lavid.Share {
	if elapsed < 0 {
		return 0
	}
	past := elapsed - p.trialEnd()
	if past < 0 {
		return trial
	}
	step := time.Duration(growthPart * float64(p.Duration))
	if step <= 0 {
		return 1
	}
	return growth[min(int(past/step), len(growth)-1)]
}

// Moved tells whether the new release takes everything.
func (p Progress) Moved(elapsed time.Duration) bool {
	return p.Share(elapsed, 0) >= 1
}

// Due tells whether a cutover has to complete even though the old servers still work.
func (p Progress) Due(elapsed time.Duration) bool {
	return elapsed >= time.Duration(endPart*float64(p.Duration))
}

// drawn places a session in [0, 1), the same on every host.
func (p Progress) drawn(session string) float64 {
	sum := xxhash.Sum64String(string(p.Service) + "\x00" + string(p.To) + "\x00" + session)
	return float64(sum>>11) / (1 << 53)
}
