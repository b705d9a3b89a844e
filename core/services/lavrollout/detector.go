package lavrollout

import "math"

const (
	// startMass is the part of the bets placed at the start; the rest is spread over the horizon.
	initialBetMass = 0.25
	// lowestRate and highestRate keep assumed rates away from certainty.
	minRate = 0.002
	maxRate = 0.98
)

// Detector sums bets that the bad rate is above its reference by one of several amounts.
//
// Each value grows by the likelihood ratio of its amount and by newly placed
// bets. While the bad rate is not above the reference, the mean of the values
// passes 1/p with probability p at most, per horizon of trials.
type Detector struct {
	Values []float64
	// Trials counts what was seen, for the bets still to be placed.
	Trials float64
}

// evidence returns the mean of the values.
func (d Detector) evidence() float64 {
	if len(d.Values) == 0 {
		return 0
	}
	sum := 0.0
	for _, value := range d.Values {
		sum += value
	}
	return sum / float64(len(d.Values))
}

// placed returns the bets to place before the next trials.
func (d Detector) newBetMass(trials, horizon float64) float64 {
	mass := (1 - initialBetMass) * trials / horizon
	if d.Trials == 0 {
		mass += initialBetMass
	}
	return mass
}

// update returns the detector after trials with the logarithms of the likelihood ratios of each amount.
func (d Detector) update(ratios []float64, trials, horizon float64) Detector {
	mass := d.newBetMass(trials, horizon)
	next := Detector{Values: make([]float64, len(ratios)), Trials: d.Trials + trials}
	for i, ratio := range ratios {
		value := mass
		if i < len(d.Values) {
			value += d.Values[i]
		}
		next.Values[i] = min(value*math.Exp(ratio), math.MaxFloat32)
	}
	return next
}

// twoSample returns the log likelihood ratio of a bad rate of base+excess against the same rate in both samples.
func twoSampleLogRatio(tested, control Sample, base, excess float64) float64 {
	low := clampRate(base)
	high := clampRate(base + excess)
	pooledRate := (tested.Trials*high + control.Trials*low) / (tested.Trials + control.Trials)
	return tested.logLikelihood(high) + control.logLikelihood(low) - tested.logLikelihood(pooledRate) - control.logLikelihood(pooledRate)
}

// oneSample returns the log likelihood ratio of a bad rate of base+excess against base.
func oneSampleLogRatio(tested Sample, base, excess float64) float64 {
	return tested.logLikelihood(clampRate(base+excess)) - tested.logLikelihood(clampRate(base))
}

func (s Sample) logLikelihood(rate float64) float64 {
	return s.Bad*math.Log(rate) + (s.Trials-s.Bad)*math.Log(1-rate)
}

func clampRate(rate float64) float64 {
	return max(minRate, min(maxRate, rate))
}
