package lavcutover

import (
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
)

const (
	// orderDelay is the time for which a release that appears is only a fallback: operators start its servers shortly before they order
	// its cutover.
	orderDelay = 5 * time.Second
	// forgetAfter is the time without a listed server after which a release counts as new when it appears again.
	forgetAfter = time.Minute
)

// appearance is the time in which the servers of a release were listed. A release that the first listing contained has a zero first.
type appearance struct{ first, last time.Time }

// appearances holds the appearances of the releases of each service.
type appearances map[lavid.ServiceID]map[lavid.ReleaseID]appearance

// SetListing takes over the listed servers. It is to be called before requests can be sent to them; initial states that the host
// starts with this listing, so that it does not tell which releases are new.
func (c *Cutovers) SetListing(servers []lavserver.Server, initial bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, server := range servers {
		releases := c.appearances[server.Service]
		if releases == nil {
			releases = make(map[lavid.ReleaseID]appearance)
			c.appearances[server.Service] = releases
		}
		seen, found := releases[server.Release]
		if !found && !initial {
			seen.first = now
		}
		seen.last = now
		releases[server.Release] = seen
	}
	for _, releases := range c.appearances {
		for release, seen := range releases {
			if now.Sub(seen.last) > forgetAfter {
				delete(releases, release)
			}
		}
	}
}

// awaitingOrder returns the releases of a service that have appeared too recently to serve without an order, or nil if there are none.
func (a appearances) awaitingOrder(service lavid.ServiceID, now time.Time) map[lavid.ReleaseID]bool {
	var awaiting map[lavid.ReleaseID]bool
	for release, seen := range a[service] {
		if seen.first.IsZero() || now.Sub(seen.first) >= orderDelay {
			continue
		}
		if awaiting == nil {
			awaiting = make(map[lavid.ReleaseID]bool)
		}
		awaiting[release] = true
	}
	return awaiting
}
