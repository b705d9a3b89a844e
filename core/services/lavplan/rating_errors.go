package lavplan

import "lavenderswitch/core/models/lavid"

// RatingErrors states how often the rating service is wrong.
type RatingErrors struct {
	// FalseAccept is the part of bad answers that it accepts.
	FalseAccept lavid.Share
	// FalseReject is the part of good answers that it rejects.
	FalseReject lavid.Share
}

// quality returns the part of good answers behind a rate of acceptance.
func (r RatingErrors) qualityFromAcceptance(accepted float64) float64 {
	youdenIndex := 1 - float64(r.FalseAccept) - float64(r.FalseReject)
	if youdenIndex <= 0 {
		return accepted
	}
	return clamp((accepted-float64(r.FalseAccept))/youdenIndex, 0, 1)
}

// good returns the probability that an answer is good given its rating and the rate of acceptance of its kind.
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

func ratio(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return clamp(part/whole, 0, 1)
}

func clamp(value, low, high float64) float64 {
	return max(low, min(high, value))
}
