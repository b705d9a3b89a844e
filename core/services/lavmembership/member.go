package lavmembership

import (
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// Member is a host of the system.
type Member struct {
	ID   lavid.HostID
	Role lavplatform.HostRole
	// Address is the address for calls between hosts, as IP:port.
	Address    string
	DataCentre lavid.DataCentreID
	// Leaving reports that the host takes no new work.
	Leaving bool
}

// Row is the state of one member as recorded by this host.
type Row struct {
	Member
	// Listed reports whether the newest host list contains the host.
	Listed bool
	// Heard is when the host last answered a call of this host or called it.
	Heard time.Time
	// Failures counts the unanswered calls since Heard.
	Failures int
	// LastFailure is when the last of these calls ended.
	LastFailure time.Time
}

// The thresholds that change the state of a member.
const (
	// unlistedRetention is how long a host that the list omits stays in the table after its last contact.
	unlistedRetention = 2 * time.Minute
	// suspectFailures is the number of consecutive failures that make a host suspect.
	suspectFailures = 2
	// minSuspectTime is how long a suspect host is not used; it doubles with each further failure.
	minSuspectTime = time.Second
	// maxSuspectTime bounds the doubling.
	maxSuspectTime = 30 * time.Second
)

// Suspect reports whether the member is not used at now, because its recent calls failed.
func (r Row) Suspect(now time.Time) bool {
	return r.Failures >= suspectFailures && now.Sub(r.LastFailure) < r.suspectTime()
}

// live reports whether the member is neither leaving, suspect nor expired.
func (r Row) live(now time.Time) bool {
	return !r.Leaving && !r.Suspect(now) && !r.expired(now)
}

// suspectTime returns how long the member stays suspect after its last failure.
func (r Row) suspectTime() time.Duration {
	duration := minSuspectTime
	for range r.Failures - suspectFailures {
		duration = min(2*duration, maxSuspectTime)
	}
	return duration
}

// expired reports whether the member is not on the host list and had no recent contact with this host.
func (r Row) expired(now time.Time) bool {
	return !r.Listed && now.Sub(r.Heard) > unlistedRetention
}
