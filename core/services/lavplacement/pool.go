package lavplacement

import "time"

// Action is the way in which a request is handled.
type Action string

// The actions, in the order in which they are considered.
const (
	// Dispatch sends the request to a server of the pool.
	Dispatch Action = "Dispatch"
	// OtherPlan takes another allowed plan that meets the quality target.
	OtherPlan Action = "OtherPlan"
	// Wait queues the request.
	Wait Action = "Wait"
	// Refuse refuses the request at once, stating that it was not run.
	Refuse Action = "Refuse"
)

// Pool is the state of the servers of one version on an entry host.
type Pool struct {
	// Servers counts the servers that hold the version and accept new requests.
	Servers int
	// Available counts the further requests that their limits admit.
	Available int
	// Loading counts the servers that are loading the version.
	Loading int
	// Queued counts the requests for the version that wait on this host.
	Queued int
	// PredictedWait is the expected wait of one more request.
	PredictedWait time.Duration
}

// PendingRequest describes a request that has not been dispatched.
type PendingRequest struct {
	// TimeLeft is the time left until its deadline.
	TimeLeft time.Duration
	// OtherPlan reports whether another allowed plan meets the quality target and has capacity.
	OtherPlan bool
	// Pinned reports whether the request's session must keep its version.
	Pinned bool
}

// loadTime is the time to load a version, including the transfer of its weights.
const loadTime = 10 * time.Second

// Decide returns how to handle a request in the current state of its pool.
func Decide(pool Pool, request PendingRequest) Action {
	if pool.Available > 0 && pool.Queued == 0 {
		return Dispatch
	}
	if request.OtherPlan && !request.Pinned {
		return OtherPlan
	}
	if pool.expectedWait() < request.TimeLeft {
		return Wait
	}
	return Refuse
}

// unboundedWait is longer than any deadline.
const unboundedWait = 24 * time.Hour

// expectedWait returns the expected wait of one more request, including the load of the version if no server holds it.
func (p Pool) expectedWait() time.Duration {
	if p.Servers > 0 {
		return p.PredictedWait
	}
	if p.Loading > 0 {
		return loadTime + p.PredictedWait
	}
	return unboundedWait
}
