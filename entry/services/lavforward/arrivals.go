package lavforward

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/core/services/lavdirectory"
)

// arrivalWindow is the time constant of the rate at which this host sends requests.
const arrivalWindow = 2 * time.Second

// arrivals measures the requests that this host sends to each service, and the memory that they take. It is safe for concurrent use.
type arrivals struct {
	mu       sync.Mutex
	services map[lavid.ServiceID]decayingSum
	memory   map[lavid.ServiceID]decayingSum
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
	return &arrivals{services: make(map[lavid.ServiceID]decayingSum), memory: make(map[lavid.ServiceID]decayingSum)}
}

// add records a request that is sent to a service and takes memory there.
func (a *arrivals) add(service lavid.ServiceID, memory lavid.Tokens, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memory[service] = decayingSum{sum: a.memory[service].value(now) + float64(memory), at: now}
	a.services[service] = decayingSum{sum: a.services[service].value(now) + 1, at: now}
}

// rate returns the requests a second that this host sends to a service.
func (a *arrivals) rate(service lavid.ServiceID, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.services[service].value(now) / arrivalWindow.Seconds()
}

// meanMemory returns the mean memory of the requests that this host sends to a service, or zero before the first one.
func (a *arrivals) meanMemory(service lavid.ServiceID, now time.Time) lavid.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	requests := a.services[service].value(now)
	if requests <= 0 {
		return 0
	}
	return lavid.Tokens(a.memory[service].value(now) / requests)
}

// unreported returns the number of requests that the other hosts are expected to have sent to each of a number of servers since
// their reports. Hosts are taken to have about the same traffic.
func (e *execution) unreported(servers int, now time.Time) float64 {
	others := float64(len(e.Hosts.Hosts(now)) - 1)
	sent := others * e.arrivals.rate(e.request.Service.ID, now) * e.Loads.PeersAge(now).Seconds()
	return sent / float64(max(servers, 1))
}

// memoryArrivals returns what other hosts are expected to have sent to each of the engines that they may fill, since their reports.
// Their requests go to all engines of the service, also where this request may go to few.
func (e *execution) memoryArrivals(now time.Time) lavbalance.Arrivals {
	rows := e.Directory.Usable(e.request.Service.ID, now)
	ids := func(yield func(lavid.BackendServerID) bool) {
		for _, row := range rows {
			if !yield(row.ID) {
				return
			}
		}
	}
	open := e.Loads.CountWithin(ids, lavbalance.SharedMemory(e.request.Service.Engine.Capacity), now)
	return lavbalance.Arrivals{Requests: e.unreported(open, now), Memory: e.arrivals.meanMemory(e.request.Service.ID, now)}
}

// fitsMemory reports whether an engine has the memory for the request beside what is in progress there. A stream that goes on is
// treated as sent by the engine's keeper.
func (e *execution) fitsMemory(row *lavdirectory.Row, inProgress lavid.Tokens, arrivals lavbalance.Arrivals, now time.Time) bool {
	used, capacity := inProgress+e.memoryTokens(), e.request.Service.Engine.Capacity
	keeper := !lavbalance.IsShared(used, capacity) && (e.answerBegun || lavring.Ranked(e.Hosts.Hosts(now), string(row.ID))[0].ID == e.HostID)
	return lavbalance.FitsMemory(used, capacity, keeper, arrivals)
}
