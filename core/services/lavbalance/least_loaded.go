package lavbalance

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Engine is a backend server that may take a request, with the work in progress there over all hosts.
type Engine struct {
	ID lavid.BackendServerID
	// Requests is the number in progress, of which the server works on Slots at once.
	Requests int
	Slots    int
	// Unread is the work of prompts that wait to be read, and Own that of this request there, in tokens.
	Unread    float64
	AddedWork float64
	// Memory is the tokens that the requests in progress hold, with this one, and Capacity what the server has.
	Memory   lavid.Tokens
	Capacity lavid.Tokens
	// ExcessFailureRate is the part of the latest requests that the server failed, beyond what is usual.
	ExcessFailureRate lavid.Share
	// Cold servers bear little load.
	Cold bool
	// Far servers are in another data centre.
	Far bool
}

// The parts of an engine's cost, in tokens of prompt that take as long.
const (
	// addedWeight weighs the work that a request adds against what it waits for, as others wait for it in turn.
	addedWeight = 6
	// requestTokens is what each request in progress slows the others by.
	requestTokens = 300
	// waitingTokens is what a request without a free slot waits for.
	waitingTokens = 8000
	// memoryFullTokens is the cost of memory that runs out, by which requests are preempted.
	memoryFullTokens = 40000
	// failingTokens is the cost of a server that fails every request.
	failingTokens = 60000
	// coldTokens is the cost of a cold server.
	coldTokens = 4000
	// farTokens is the price of an answer's bytes between data centres, against that of prompts read again.
	farTokens = 2000
)

// LeastWork returns the index of the engine that is expected to answer first, or -1 when there is none.
func LeastWork(engines []Engine) int {
	best, least := -1, 0.0
	for i := range engines {
		cost := engines[i].cost()
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

func (e *Engine) cost() float64 {
	cost := e.Unread + addedWeight*e.AddedWork + requestTokens*float64(e.Requests)
	if e.Slots > 0 && e.Requests >= e.Slots {
		cost += waitingTokens * float64(e.Requests-e.Slots+1)
	}
	if e.Capacity > 0 && e.Memory > e.Capacity {
		cost += memoryFullTokens
	}
	cost += failingTokens * float64(e.ExcessFailureRate)
	if e.Cold {
		cost += coldTokens
	}
	if e.Far {
		cost += farTokens
	}
	return cost
}

// PlainServer is a backend server of a plain service that may take a request.
type PlainServer struct {
	ID                lavid.BackendServerID
	Requests          int
	Slots             int
	ExcessFailureRate lavid.Share
	Cold              bool
	Far               bool
	// MeanLatency is the smoothed time of an answer; zero when unknown.
	MeanLatency time.Duration
}

const (
	// failingRequests, coldRequests and farRequests are costs in requests in progress.
	failingRequests = 20
	coldRequests    = 2
	farRequests     = 0.3
	// queuedRequests weighs a request that waits for a slot against one that is worked on.
	queuedRequests = 2
)

// LeastBusy returns the index of the plain server with the least in progress, or -1 when there is none.
func LeastBusy(servers []PlainServer, random func() float64) int {
	best, least := -1, 0.0
	for i := range servers {
		cost := servers[i].cost() + 0.01*random()
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

func (p *PlainServer) cost() float64 {
	cost := float64(p.Requests)
	if p.Slots > 0 && p.Requests >= p.Slots {
		cost += queuedRequests * float64(p.Requests-p.Slots+1)
	}
	cost += failingRequests * float64(p.ExcessFailureRate)
	if p.Cold {
		cost += coldRequests
	}
	if p.Far {
		cost += farRequests
	}
	return cost
}
