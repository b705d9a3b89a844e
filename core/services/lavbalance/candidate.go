package lavbalance

import (
	"math"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Distance is the network distance between this host and a backend server.
type Distance int

// The distances, from near to far.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a backend server that may serve the attempt, with its last reported load.
type Candidate struct {
	ID         lavid.BackendServerID
	DataCentre lavid.DataCentreID
	// Running is the number of requests in progress at the server, and Limit how many it may have in progress.
	Running int
	Limit   int
	// Waiting is the number of requests that wait at the server.
	Waiting int
	// ReportedAt is the time of the last load report; zero when there is none.
	ReportedAt time.Time
	// OwnSinceReport is the number of requests that this host has sent since the report and that are still in progress.
	OwnSinceReport int
	// OwnRunning is the number of requests of this host that are in progress at the server.
	OwnRunning int
	// FirstToken is the smoothed time to the first token; zero when unknown.
	FirstToken time.Duration
	Distance   Distance
	// Cold reports whether the server is in slow start.
	Cold bool
	// CachedPrefix is the probability, from 0 to 1, that the server caches the prompt's prefix.
	CachedPrefix float64
	// AdmittedShare is the part of its limit that a returning server or data centre may use; zero counts as all.
	AdmittedShare lavid.Share
}

const (
	// fullTrustAge is the age up to which a load report is taken as current.
	fullTrustAge = 200 * time.Millisecond
	// zeroTrustAge is the age from which a load report is ignored.
	zeroTrustAge = 5 * time.Second
	// unknownLoad is the load assumed of a server without a recent report.
	unknownLoad = 0.7
)

// load returns the expected part of the limit in use, including one more attempt.
func (c *Candidate) load(now time.Time) float64 {
	limit := float64(max(c.Limit, 1)) * c.admittedShare()
	reported := float64(c.Running+c.Waiting+c.OwnSinceReport+1) / limit
	own := float64(c.OwnRunning+1) / limit
	trust := c.reportTrust(now)
	return math.Max(trust*reported+(1-trust)*unknownLoad, own)
}

// reportTrust returns the weight of the load report, from one for a current report to zero for an ignored one.
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
