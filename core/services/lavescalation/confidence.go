package lavescalation

import "math"

// Confidence is a model's self-reported confidence in its answer, from 0 to 100.
type Confidence int

const (
	// evenConfidence is the confidence at which an answer is as likely right as wrong.
	evenConfidence = 50
	// confidenceSpread is the distance from evenConfidence at which the odds are e to 1. Reports are rough.
	confidenceSpread = 10
)

// Right returns the probability that an answer is right, from 0 to 1.
func (c Confidence) Right() float64 {
	return 1 / (1 + math.Exp(-(float64(c)-evenConfidence)/confidenceSpread))
}
