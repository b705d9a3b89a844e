package lavrollout

import "math"

const (
	// maxShift bounds, in logits, the shift of all versions from their past, up or down.
	maxShift = 4.0
	// shiftSearchSteps is the number of steps of the ternary search, each of which leaves two thirds of the range.
	shiftSearchSteps = 40
)

// shiftComparison compares a version with all others, each against its own past rate, when both may have shifted by the
// same amount.
type shiftComparison struct {
	tested      Sample
	testedPast  float64
	control     Sample
	controlPast float64
}

// logLikelihood returns the log likelihood of both samples when both rates are a shift, in logits, above their
// past.
func (s shiftComparison) logLikelihood(shift float64) float64 {
	tested := s.tested.logLikelihood(clampRate(shiftRate(s.testedPast, shift)))
	return tested + s.control.logLikelihood(clampRate(shiftRate(s.controlPast, shift)))
}

// maxCommonLogLikelihood returns the highest log likelihood over all shifts by ternary search; it is concave in
// the shift.
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

// logRatio returns the log likelihood ratio of two hypotheses: the tested version is an excess above its past
// while the others are at theirs, against both having shifted by the same amount.
func (s shiftComparison) logRatio(excess float64) float64 {
	tested := s.tested.logLikelihood(clampRate(s.testedPast + excess))
	control := s.control.logLikelihood(clampRate(s.controlPast))
	return tested + control - s.maxCommonLogLikelihood()
}

// shiftRate adds a shift in logits to a rate.
func shiftRate(rate, shift float64) float64 {
	odds := clampRate(rate) / (1 - clampRate(rate)) * math.Exp(shift)
	return odds / (1 + odds)
}
