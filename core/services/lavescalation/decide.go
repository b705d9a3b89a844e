package lavescalation

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// minGain is the least gain for which a larger model runs: the run costs the operator several times what the first one did.
	minGain = 0.3
	// lateShare is the part of an answer's value that is left when it is late.
	lateShare = 0.5
)

// Reason states why an answer is delivered although a second run was wanted.
type Reason string

// The reasons. ReasonNone is that of a run that is made, or that was not wanted.
const (
	ReasonNone    Reason = ""
	ReasonTime    Reason = "time"
	ReasonEngines Reason = "engines"
	ReasonBudget  Reason = "budget"
	ReasonRuns    Reason = "runs"
)

// Run is a run of a larger model that could replace a smaller model's answer.
type Run struct {
	// Confidence is that of the answer at hand, and Expected the probability that the second answer is right.
	Confidence Confidence
	Expected   float64
	// Urgency is the urgency of the request; zero is the most urgent.
	Urgency int
	// Late states that the answer at hand is late already.
	Late bool
	// InTime is the probability that the first event of the second answer is in time, and Whole that the answer ends before
	// the deadline.
	InTime lavid.Share
	Whole  lavid.Share
	// EngineTime is how long an engine reads for the run.
	EngineTime time.Duration
}

// Decision states whether a run is made.
type Decision struct {
	// Wanted states that the run would bring enough if it ended in time and cost others nothing.
	Wanted bool
	// Reason is set if the run is wanted and not made.
	Reason Reason
	// Gain is the expected number of right answers that the run brings, and Cost what its engine time brings elsewhere.
	Gain float64
	Cost float64
}

// Made reports whether the run is made.
func (d Decision) Made() bool { return d.Wanted && d.Reason == ReasonNone }

// Decide decides about a run at a price of engine time.
func Decide(run Run, price Price) Decision {
	right := run.Confidence.Right()
	if run.Expected-right < minGain {
		return Decision{}
	}
	inTime := float64(run.InTime)
	worth := 1.0
	if run.Late {
		worth = lateShare
	}
	gain := float64(run.Whole)*(inTime+lateShare*(1-inTime))*run.Expected - worth*right
	decision := Decision{Wanted: true, Gain: gain, Cost: float64(price) * run.EngineTime.Seconds() * float64(1+run.Urgency)}
	switch {
	case gain < minGain*worth:
		decision.Reason = ReasonTime
	case gain < decision.Cost:
		decision.Reason = ReasonEngines
	}
	return decision
}

// StartsLarge reports whether a request goes to the larger model at once: so many first answers are replaced that running the
// smaller model first takes more engine time. The larger model takes factor times as long to read a prompt. Some requests, as
// drawn, still go to the smaller model, to see whether it has become better.
func StartsLarge(replaced, factor, drawn float64) bool {
	return factor > 1 && drawn >= trialShare && replaced > 1-1/factor
}

// trialShare is the part of the requests of a route that go to the smaller model all the same.
const trialShare = 0.1
