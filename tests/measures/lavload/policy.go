package lavload

// choiceKind is the algorithm by which an entry host chooses a backend server.
type choiceKind string

const (
	chooseRandom        choiceKind = "random"
	chooseRoundRobin    choiceKind = "round robin"
	chooseLeastRequests choiceKind = "least requests"
	chooseRouter        choiceKind = "lavenderswitch"
)

// limitKind is the algorithm by which a side process limits the running requests of its backend server.
type limitKind string

const (
	limitMax      limitKind = "MaxRunning"
	limitRamp     limitKind = "fixed ramp"
	limitAdaptive limitKind = "adaptive"
	// limitKnown uses the true capacity of the engine, which is the fastest safe start.
	limitKnown limitKind = "known bound"
)

// policy is one combination of algorithms to compare.
type policy struct {
	name   string
	choice choiceKind
	limit  limitKind
	// queue means that entry hosts queue requests while no capacity is free, and fair that they share the capacity between
	// client accounts.
	queue bool
	fair  bool
	// ramp means that a returned server or data centre receives its share of the requests gradually.
	ramp bool
	// affinity means that servers with a cached prompt prefix are preferred.
	affinity bool
	// affinityBypass is the share of requests that ignore prefix affinity, for experiments.
	affinityBypass float64
}

// routerPolicy returns the policy of lavenderswitch with all its algorithms.
func routerPolicy() policy {
	return policy{name: "lavenderswitch", choice: chooseRouter, limit: limitAdaptive, queue: true, fair: true, ramp: true, affinity: true}
}

// baseline returns a policy with only a choice algorithm and the fixed limit.
func baseline(choice choiceKind) policy {
	return policy{name: string(choice), choice: choice, limit: limitMax}
}
