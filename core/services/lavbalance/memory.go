package lavbalance

import (
	"math"

	"lavenderswitch/core/models/lavid"
)

const (
	// reserveDeviations is the number of standard deviations of the unreported memory for which room is left.
	reserveDeviations = 4
	// sharedMemory is the part of an engine's memory that all hosts may fill. Only one host sends to an engine that has less left.
	// It knows what it has sent itself, so that hosts together do not exceed the memory, whatever the reports lack.
	sharedMemory = 0.5
)

// Arrivals describes what other hosts have sent to an engine and not reported yet.
type Arrivals struct {
	// Requests is the expected number of requests, and Memory the tokens that one holds on average.
	Requests float64
	Memory   lavid.Tokens
}

// reserve returns the tokens that are left free for the requests. Their number has the spread of independent arrivals, and their
// sizes about that of an exponential distribution.
func (a Arrivals) reserve() lavid.Tokens {
	mean := a.Requests * float64(a.Memory)
	deviation := math.Sqrt(2*a.Requests) * float64(a.Memory)
	return lavid.Tokens(mean + reserveDeviations*deviation)
}

// IsShared reports whether all hosts may send to an engine with the given memory in use. What hosts send spreads over such engines.
func IsShared(used, capacity lavid.Tokens) bool {
	return capacity <= 0 || float64(used) <= sharedMemory*float64(capacity)
}

// SharedMemory returns the memory of an engine up to which IsShared holds.
func SharedMemory(capacity lavid.Tokens) lavid.Tokens {
	if capacity <= 0 {
		return math.MaxInt64
	}
	return lavid.Tokens(sharedMemory * float64(capacity))
}

// FitsMemory reports whether an engine has the memory for a request, with that of the requests in progress and of those that other
// hosts have sent meanwhile. Used includes the request. The keeper is the one host that sends to an engine whose memory is nearly
// full. An engine ends once its requests exceed its memory. A capacity of zero is not known, and fits all.
func FitsMemory(used, capacity lavid.Tokens, keeper bool, arrivals Arrivals) bool {
	switch {
	case capacity <= 0:
		return true
	case keeper:
		return used+arrivals.reserve() <= capacity
	default:
		return IsShared(used, capacity) && used+arrivals.reserve() <= capacity
	}
}
