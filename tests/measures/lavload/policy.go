package lavload

// choiceKind is how an entry host picks a backend server.
type choiceKind string

const (
	chooseRandom        choiceKind = "random"
	chooseRoundRobin    choiceKind = "round robin"
	chooseLeastRequests choiceKind = "least requests"
	chooseRouter        choiceKind = "lavenderswitch"
)

// limitKind is how a side process bounds the work of its server.
type limitKind string

const (
	limitMax      limitKind = "MaxRunning"
	limitRamp     limitKind = "fixed ramp"
	limitAdaptive limitKind = "adaptive"
	// limitBears knows what the engine can bear; it is the fastest safe start.
	limitKnown limitKind = "known bound"
)

// policy is one set of decisions to compare.
type policy struct {
	name     string
	choice   choiceKind
	limit    limitKind
	queue    bool
	fair     bool
	ramp     bool
	affinity bool
	// spread is the part of the work that ignores the cache, for trials.
	affinityBypass float64
}

func routerPolicy() policy {
	return policy{name: "lavenderswitch", choice: chooseRouter, limit: limitAdaptive, queue: true, fair: true, ramp: true, affinity: true}
}

func baseline(choice choiceKind) policy {
	return policy{name: string(choice), choice: choice, limit: limitMax}
}
