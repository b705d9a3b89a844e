package lavrollout

import "math"

const (
	// initialBetMass is the part of the bets placed at the start; the rest is spread evenly over the horizon.
	initialBetMass = 0.25
	// minRate and maxRate keep rates away from 0 and 1, where log likelihoods are infinite.
	minRate = 0.002
	maxRate = 0.98
)

// Detector is a sequential test of whether the bad rate is above its reference, with one value per effect size.
//
// Each tick multiplies a value by the likelihood ratio of its effect size, after adding a newly placed bet; the
// bets placed over time cover the times at which a version may turn bad. While the bad rate is not above the
// reference, the mean of the values exceeds 1/p with probability at most p, within the horizon of trials.
type Detector struct {
	Values []float64
	// Trials counts the trials so far, from which the bets still to be placed follow.
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

// newBetMass returns the mass of the bets to place before the next trials.
func (d Detector) newBetMass(trials, horizon float64) float64 {
	mass := (1 - initialBetMass) * trials / horizon
	if d.Trials == 0 {
		mass += initialBetMass
	}
	return mass
}

// update returns the detector after further trials; ratios holds the log likelihood ratio of each effect size.
func (d Detector) update(ratios []float64, trials, horizon float64) Detector {
	mass := d.newBetMass(trials, horizon)
	next := Detector{Values: make([]float64, len(ratios)), Trials: d.Trials + trials}
	for i, ratio := range ratios {
		value := mass
		if i < len(d.Values) {
			value += d.Values[i]
		}
		// The limit keeps the values finite.
		next.Values[i] = min(value*math.Exp(ratio), math.MaxFloat32)
	}
	return next
}

// twoSampleLogRatio returns the log likelihood ratio of the tested sample having the bad rate base+excess and the
// control base, against both having the mean of the two rates, weighted by trials.
func twoSampleLogRatio(tested, control Sample, base, excess float64) float64 {
	low := clampRate(base)
	high := clampRate(base + excess)
	pooledRate := (tested.Trials*high + control.Trials*low) / (tested.Trials + control.Trials)
	return tested.logLikelihood(high) + control.logLikelihood(low) - tested.logLikelihood(pooledRate) - control.logLikelihood(pooledRate)
}

// oneSampleLogRatio returns the log likelihood ratio of the bad rate base+excess against base.
func oneSampleLogRatio(tested Sample, base, excess float64) float64 {
	return tested.logLikelihood(clampRate(base+excess)) - tested.logLikelihood(clampRate(base))
}

// logLikelihood returns the log likelihood of the sample at a bad rate.
func (s Sample) logLikelihood(rate float64) float64 {
	return s.Bad*math.Log(rate) + (s.Trials-s.Bad)*math.Log(1-rate)
}

// clampRate limits a rate to the range from minRate to maxRate.
func clampRate(rate float64) float64 {
	return max(minRate, min(maxRate, rate))
}
