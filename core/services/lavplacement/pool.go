package lavplacement

import "time"

// Action is what becomes of a request whose pool has no room.
type Action string

// The actions, in the order in which they are tried.
const (
	// Dispatch sends the request to its pool.
	Dispatch Action = "Dispatch"
	// OtherPlan takes another allowed plan that meets the quality target.
	OtherPlan Action = "OtherPlan"
	// Wait queues the request.
	Wait Action = "Wait"
	// Refuse answers at once that the request did not run.
	Refuse Action = "Refuse"
)

// Pool is what an entry host knows of the servers of one version.
type Pool struct {
	// Servers counts those that hold the version and take new work.
	Servers int
	// Available counts the requests that their limits leave open.
	Available int
	// Loading counts servers that will hold the version soon.
	Loading int
	// Queued counts requests of the version that wait here.
	Queued int
	// PredictedWait is how long one more request would wait.
	PredictedWait time.Duration
}

// PendingRequest is the request that looks for room.
type PendingRequest struct {
	// TimeLeft is the time to its deadline.
	TimeLeft time.Duration
	// OtherPlan says that another allowed plan meets the target and has room.
	OtherPlan bool
	// Pinned says that its session has to keep the version.
	Pinned bool
}

// loadTime is how long a version takes to load, weights included.
const loadTime = 10 * time.Second

// Decide returns what becomes of a request under the state of its pool.
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

// neverWait is longer than any deadline.
const unboundedWait = 24 * time.Hour

func (p Pool) expectedWait() time.Duration {
	if p.Servers > 0 {
		return p.PredictedWait
	}
	if p.Loading > 0 {
		return loadTime + p.PredictedWait
	}
	return unboundedWait
}
