package lavbalance

import (
	"math"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Distance is how far a backend server is from this host.
type Distance int

// The distances that matter for the choice.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is one backend server that may take the attempt, with its load as last reported.
type Candidate struct {
	ID         lavid.BackendServerID
	DataCentre lavid.DataCentreID
	Running    int
	Limit      int
	// Waiting counts requests that wait at the server.
	Waiting int
	// ReportedAt is when the load was reported; zero when it never was.
	ReportedAt time.Time
	// OwnSinceReport counts what this host has sent and not ended since the report.
	OwnSinceReport int
	// OwnRunning counts all that this host has in progress at the server.
	OwnRunning int
	// FirstToken is the smoothed time to the first token; zero when unknown.
	FirstToken time.Duration
	Distance   Distance
	// Cold says that the server is in its slow start.
	Cold bool
	// CachedPrefix is how likely the server caches the prompt's prefix.
	CachedPrefix float64
	// AdmittedShare is the part of its usual work that a returning server or data centre may take; zero counts as all.
	AdmittedShare lavid.Share
}

const (
	// fullTrustAge is how long a reported load is taken as it stands.
	fullTrustAge = 200 * time.Millisecond
	// zeroTrustAge is the age at which a report counts for nothing.
	zeroTrustAge = 5 * time.Second
	// unknownLoad is assumed of a server that reported nothing lately.
	unknownLoad = 0.7
)

// load is the expected part of the limit in use, one attempt more included.
func (c *Candidate) load(now time.Time) float64 {
	limit := float64(max(c.Limit, 1)) * c.admittedShare()
	reported := float64(c.Running+c.Waiting+c.OwnSinceReport+1) / limit
	own := float64(c.OwnRunning+1) / limit
	trust := c.reportTrust(now)
	return math.Max(trust*reported+(1-trust)*unknownLoad, own)
}

func (c *Candidate) reportTrust(now time.Time) float64 {
	if c.ReportedAt.IsZero() {
		return 0
	}
	age := now.Sub(c.ReportedAt)
	if age <= fullTrustAge {
		return 1
	}
	return math.Max(0, 1-float64(age-fullTrustAge)/float64(zeroTrustAge-fullTrustAge))
}

func (c *Candidate) admittedShare() float64 {
	if c.AdmittedShare <= 0 {
		return 1
	}
	return math.Min(float64(c.AdmittedShare), 1)
}
