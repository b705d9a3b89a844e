package lavbalance

import (
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Candidate is one backend server that may take the attempt, with its load as last reported.
type Candidate struct {
	ID         lavid.BackendServerID
	DataCentre lavid.DataCentreID
	Running    int
	Limit      int
	// Reported is when the load was reported; zero when it never was.
	Reported time.Time
}

// Choose returns the less loaded of two random candidates, or false when there is none.
func Choose(candidates []Candidate, random *rand.Rand, _ time.Time) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	first := candidates[random.IntN(len(candidates))]
	second := candidates[random.IntN(len(candidates))]
	if second.load() < first.load() {
		return second, true
	}
	return first, true
}

func (c Candidate) load() float64 {
	return float64(c.Running+1) / float64(max(c.Limit, 1))
}
