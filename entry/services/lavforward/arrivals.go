package lavforward

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// arrivalWindow is the time constant of the rate at which this host sends requests.
const arrivalWindow = 2 * time.Second

// arrivals measures the requests that this host sends to each service. It is safe for concurrent use.
type arrivals struct {
	mu       sync.Mutex
	services map[lavid.ServiceID]decayingSum
}

// decayingSum is a sum whose past weight decays by arrivalWindow.
type decayingSum struct {
	sum float64
	at  time.Time
}

// value returns the sum as of a time.
func (d decayingSum) value(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/arrivalWindow.Seconds())
}

func newArrivals() *arrivals {
	return &arrivals{services: make(map[lavid.ServiceID]decayingSum)}
}

// add records a request that is sent to a service.
func (a *arrivals) add(service lavid.ServiceID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.services[service] = decayingSum{sum: a.services[service].value(now) + 1, at: now}
}

// rate returns the requests a second that this host sends to a service.
func (a *arrivals) rate(service lavid.ServiceID, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.services[service].value(now) / arrivalWindow.Seconds()
}

// unreported returns the number of requests that the other hosts are expected to have sent to each of a number of servers since
// their reports. Hosts are taken to have about the same traffic.
func (e *execution) unreported(servers int, now time.Time) float64 {
	others := float64(len(e.Hosts.Hosts(now)) - 1)
	sent := others * e.arrivals.rate(e.request.Service.ID, now) * e.Loads.PeersAge(now).Seconds()
	return sent / float64(max(servers, 1))
}
