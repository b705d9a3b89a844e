package lavwaiting

import (
	"time"
)

const (
	// ownShare is the part of its latency target that the most urgent kind of request may wait at an engine, behind what the
	// engine has to read first. The rest is for its own prompt and for errors of the prediction.
	ownShare = 0.75
	// headroomShare is the part of the latency targets of more urgent kinds that a kind of request may fill up at an engine.
	// Engines read prompts in order of arrival, so that the rest keeps those kinds in time.
	headroomShare = 0.5
	// targetLifetime is how long the target of a kind counts after its last request.
	targetLifetime = 30 * time.Second
)

// kind is a kind of request that was seen lately.
type kind struct {
	urgency int
	target  time.Duration
	seen    time.Time
}

// Targets holds the latency targets of the kinds of requests of a service. It is not safe for concurrent use.
type Targets struct {
	kinds map[string]kind
}

// NewTargets returns targets without kinds.
func NewTargets() *Targets { return &Targets{kinds: make(map[string]kind)} }

// Record records a request of a route with an urgency.
func (t *Targets) Record(route string, urgency int, target time.Duration, now time.Time) {
	t.kinds[route] = kind{urgency: urgency, target: target, seen: now}
}

// Allowance returns how long a request may wait at an engine behind the prompts that the engine has to read first.
func (t *Targets) Allowance(urgency int, target time.Duration, now time.Time) time.Duration {
	allowance := time.Duration(ownShare * float64(target))
	for route, other := range t.kinds {
		if now.Sub(other.seen) > targetLifetime {
			delete(t.kinds, route)
			continue
		}
		if other.urgency < urgency {
			allowance = min(allowance, time.Duration(headroomShare*float64(other.target)))
		}
	}
	return allowance
}

// Shortest returns the shortest latency target of the kinds that were seen lately, or zero without any.
func (t *Targets) Shortest(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, kind := range t.kinds {
		if now.Sub(kind.seen) <= targetLifetime && (shortest == 0 || kind.target < shortest) {
			shortest = kind.target
		}
	}
	return shortest
}
