package lavmembership

import (
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// Member is a host of the system.
type Member struct {
	ID         lavid.HostID
	Role       lavplatform.HostRole
	Address    string
	DataCentre lavid.DataCentreID
	// Leaving says that the host takes no new work.
	Leaving bool
}

// Row is what is known of one member.
type Row struct {
	Member
	// Listed says that the newest host list names the host.
	Listed bool
	// Heard is when the host last answered or called this one.
	Heard time.Time
	// Failures counts calls without an answer since the host was heard.
	Failures int
	// LastFailure is when the last of these calls ended.
	LastFailure time.Time
}

// The times after which evidence changes the state of a member.
const (
	// unlistedRetention is how long a host that was heard stays without being on the list.
	unlistedRetention = 2 * time.Minute
	// suspectFailures in a row make a host suspect.
	suspectFailures = 2
	// minSuspectTime is how long a suspect host is left alone; it doubles with each further failure.
	minSuspectTime = time.Second
	// maxSuspectTime bounds the doubling.
	maxSuspectTime = 30 * time.Second
)

// Suspect tells whether recent calls to the member had no answer.
func (r Row) Suspect(now time.Time) bool {
	return r.Failures >= suspectFailures && now.Sub(r.LastFailure) < r.suspectTime()
}

// live tells whether the member is neither leaving nor suspect.
func (r Row) live(now time.Time) bool {
	return !r.Leaving && !r.Suspect(now) && !r.expired(now)
}

func (r Row) suspectTime() time.Duration {
	pause := minSuspectTime
	for range r.Failures - suspectFailures {
		pause = min(2*pause, maxSuspectTime)
	}
	return pause
}

// expired tells whether nothing speaks for the member any more.
func (r Row) expired(now time.Time) bool {
	return !r.Listed && now.Sub(r.Heard) > unlistedRetention
}
