package lavrollout

import "math"

const (
	// largestShift bounds, in logits, how far all versions may be above their past.
	maxShift         = 4.0
	shiftSearchSteps = 40
)

// shifted compares a version with all others, each against its own past, while the past of both may have shifted alike.
type shiftComparison struct {
	tested      Sample
	testedPast  float64
	control     Sample
	controlPast float64
}

// logLikelihood returns that of both samples when both rates are a shift above their past.
func (s shiftComparison) logLikelihood(shift float64) float64 {
	tested := s.tested.logLikelihood(clampRate(shiftRate(s.testedPast, shift)))
	return tested + s.control.logLikelihood(clampRate(shiftRate(s.controlPast, shift)))
}

// alike returns the highest log likelihood over all shifts; it is concave in the shift.
func (s shiftComparison) maxCommonLogLikelihood() float64 {
	low, high := -maxShift, maxShift
	for range shiftSearchSteps {
		left, right := low+(high-low)/3, high-(high-low)/3
		if s.logLikelihood(left) < s.logLikelihood(right) {
			low = left
		} else {
			high = right
		}
	}
	return s.logLikelihood((low + high) / 2)
}

// ratio returns the log likelihood ratio of the tested version being an excess above its past, and the others at theirs, against both being shifted alike.
func (s shiftComparison) logRatio(excess float64) float64 {
	tested := s.tested.logLikelihood(clampRate(s.testedPast + excess))
	control := s.control.logLikelihood(clampRate(s.controlPast))
	return tested + control - s.maxCommonLogLikelihood()
}

// raise adds a shift in logits to a rate.
func shiftRate(rate, shift float64) float64 {
	odds := clampRate(rate) / (1 - clampRate(rate)) * math.Exp(shift)
	return odds / (1 + odds)
}
