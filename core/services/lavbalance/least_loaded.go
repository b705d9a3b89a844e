package lavbalance

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Engine is a model engine that may serve a request, with the work that all hosts together have in progress there.
type Engine struct {
	ID lavid.BackendServerID
	// Requests is the number of requests in progress; the server runs Slots of them at once.
	Requests int
	Slots    int
	// Unread is the work of the prompts that wait for prefill, and AddedWork that of this request's prompt, both in tokens
	// of the smallest model of the route.
	Unread    float64
	AddedWork float64
	// Slowness is how many times longer than usual the engine takes; zero means unknown.
	Slowness float64
	// WholeWork is the work of the whole prompt; AddedWork is less if the engine has read a part of it before.
	WholeWork float64
	// Memory is the number of tokens that the requests in progress hold, including this one; Capacity is how many the
	// server can hold.
	Memory   lavid.Tokens
	Capacity lavid.Tokens
	// ExcessFailureRate is the part of recent requests that the server failed, above the normal rate.
	ExcessFailureRate lavid.Share
	// Cold reports whether the server is cold and can serve only a small load.
	Cold bool
	// Far reports whether the server is in another data centre.
	Far bool
	// Late is the probability that the answer comes after its target.
	Late lavid.Share
}

// The parts of an engine's cost, in prompt tokens whose prefill takes as long.
const (
	// addedWeight multiplies the work that a request adds, because later requests wait for that work too.
	addedWeight = 6
	// requestTokens is the cost of each request in progress, which slows down the others.
	requestTokens = 300
	// waitingTokens is the cost of waiting for a slot, for each request that waits for one.
	waitingTokens = 8000
	// memoryFullTokens is the cost of exceeding the memory, which makes the engine preempt requests.
	memoryFullTokens = 40000
	// failingTokens is the cost of a server that fails every request.
	failingTokens = 60000
	// coldTokens is the cost of a cold server.
	coldTokens = 4000
	// farTokens is the cost of a server in another data centre. It weighs the price of transferring a prompt and its answer
	// against that of prefilling the prompt again.
	farTokens = 20000
	// lateTokens is the cost of an answer after its target. It outweighs reading the longest prompts again.
	lateTokens = 1_000_000
)

// LeastWork returns the index of the engine of least cost, or -1 when there is none.
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

const (
	// freshSample and staleSample are the numbers of engines without a part of the prompt among which one is chosen, while few
	// and while many requests of other hosts are not in their reports yet.
	freshSample = 3
	staleSample = 2
	// staleRequests is the number of unreported requests for each engine from which knowledge counts as stale.
	staleRequests = 0.8
)

// SampleSize returns the number of engines among which a host chooses while other hosts have sent the given number of requests to
// each engine since their reports. A choice of few engines spreads the requests of many hosts, a choice of many follows the
// reports, and brings all hosts to the same engines once the reports are old.
func SampleSize(unreported float64) int {
	if unreported >= staleRequests {
		return staleSample
	}
	return freshSample
}

// LeastWorkOfSample returns the index of the engine of least cost among a random sample of the given size, or -1 when there is
// none. Engines that have read a part of the prompt before always belong to the sample, in addition.
//
// Hosts know what others have sent only some time later. If each chose the least of all engines, all would choose the same
// ones until the next reports arrive.
func LeastWorkOfSample(engines []Engine, size int, random func() float64) int {
	sampled := make([]int, 0, len(engines))
	unread := make([]int, 0, len(engines))
	for i := range engines {
		if engines[i].AddedWork < engines[i].WholeWork {
			sampled = append(sampled, i)
			continue
		}
		unread = append(unread, i)
	}
	for drawn := 0; drawn < size && drawn < len(unread); drawn++ {
		other := drawn + int(random()*float64(len(unread)-drawn))
		unread[drawn], unread[other] = unread[other], unread[drawn]
		sampled = append(sampled, unread[drawn])
	}
	best, least := -1, 0.0
	for _, i := range sampled {
		if cost := engines[i].cost(); best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

func (e *Engine) cost() float64 {
	cost := (e.Unread + addedWeight*e.AddedWork + requestTokens*float64(e.Requests)) * max(e.Slowness, 1)
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
	cost += lateTokens * float64(e.Late)
	return cost
}

// PlainServer is a backend server that runs a plain service instead of a model engine and may serve a request. Its fields
// have the meaning of those of Engine.
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
	// failingRequests, coldRequests and farRequests are costs, in requests in progress.
	failingRequests = 20
	coldRequests    = 2
	farRequests     = 0.3
	// queuedRequests is the additional cost of each request that waits for a slot.
	queuedRequests = 2
	// maxTieBreak bounds the random cost that breaks ties.
	maxTieBreak = 0.01
)

// LeastBusy returns the index of the plain server of least cost, or -1 when there is none. The function random returns
// values in [0, 1) and breaks ties.
func LeastBusy(servers []PlainServer, random func() float64) int {
	best, least := -1, 0.0
	for i := range servers {
		cost := servers[i].cost() + maxTieBreak*random()
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
