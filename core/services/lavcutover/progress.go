package lavcutover

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// Order is an operator's order to move a service to a release within a duration.
type Order struct {
	Service  lavid.ServiceID
	To       lavid.ReleaseID
	Duration time.Duration
}

// State is the state of a cutover.
type State string

// The states of a cutover. Complete and Stopped are final. An empty state means that the cutover has not begun.
const (
	Running  State = "Running"
	Complete State = "Complete"
	Stopped  State = "Stopped"
)

// Progress is the stored row of a cutover, on which all hosts agree.
type Progress struct {
	Service lavid.ServiceID
	// To is the release that the service moves to.
	To    lavid.ReleaseID
	State State
	// Began is the time at which the cutover began, on the store's clock, since the Unix epoch.
	Began time.Duration
	// Duration is the time within which the cutover has to complete, as ordered.
	Duration time.Duration
	// Past holds the releases of earlier cutovers of the service.
	Past Past
}

const (
	// trialFraction is the shortest trial as a fraction of the duration. Sessions must not change their release in the
	// first half of the duration.
	trialFraction = 0.5
	// trialMargin lengthens the trial to allow for clock differences between hosts.
	trialMargin = 300 * time.Millisecond
	// settleTime is the time after its begin, and after a host has learned of it, in which a cutover moves no session. By then
	// the hosts know of the cutover and have told each other which sessions older releases serve.
	settleTime = 2 * time.Second
	// endMargin is the time before the end at which the cutover must complete. It allows for reading the order late
	// and for the write.
	endMargin = 1200 * time.Millisecond
)

// inTrial reports whether sessions must stay on their release.
func (p Progress) inTrial(elapsed time.Duration) bool {
	return elapsed < time.Duration(trialFraction*float64(p.Duration))+trialMargin
}

// mustComplete reports whether the cutover has to complete even if the old servers still have work in progress.
func (p Progress) mustComplete(elapsed time.Duration) bool {
	return elapsed >= p.Duration-endMargin
}

// sessionPosition hashes a session to a position in [0, 1), which is the same on every host.
func (p Progress) sessionPosition(session string) float64 {
	sum := xxhash.Sum64String(string(p.Service) + "\x00" + string(p.To) + "\x00" + session)
	return float64(sum>>11) / (1 << 53)
}
