package lavplan

import "lavenderswitch/core/models/lavid"

// RatingErrors holds the error rates of the rating service.
type RatingErrors struct {
	// FalseAccept is the share of bad answers that are accepted.
	FalseAccept lavid.Share
	// FalseReject is the share of good answers that are rejected.
	FalseReject lavid.Share
}

// qualityFromAcceptance returns the share of good answers that a rate of acceptance implies, corrected for the error
// rates (the Rogan-Gladen estimator). If the error rates add up to one or more, ratings carry no information and the
// acceptance is returned unchanged.
func (r RatingErrors) qualityFromAcceptance(accepted float64) float64 {
	youdenIndex := 1 - float64(r.FalseAccept) - float64(r.FalseReject)
	if youdenIndex <= 0 {
		return accepted
	}
	return clamp((accepted-float64(r.FalseAccept))/youdenIndex, 0, 1)
}

// probabilityGood returns the probability that an answer is good, given its rating and the acceptance rate of its
// key.
func (r RatingErrors) probabilityGood(accepted float64, rating Rating) float64 {
	quality := r.qualityFromAcceptance(accepted)
	switch rating {
	case RatedAccepted:
		return ratio(quality*(1-float64(r.FalseReject)), accepted)
	case RatedRejected:
		return ratio(quality*float64(r.FalseReject), 1-accepted)
	default:
		return quality
	}
}

// ratio returns part/whole, limited to the range from 0 to 1, or zero if whole is not positive.
func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return clamp(part/whole, 0, 1)
}

func clamp(value, low, high float64) float64 {
	return max(low, min(high, value))
}
