package lavplan

import (
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// Rating is what is known of one answer.
type Rating string

// The ratings; an answer whose rating is missing or still to come is unrated.
const (
	Unrated       Rating = "Unrated"
	RatedAccepted Rating = "Accepted"
	RatedRejected Rating = "Rejected"
)

// Delivery is an answer that was delivered to its caller.
type Delivery struct {
	Account lavid.AccountID
	Key     lavevidence.Key
	// Rating is the one known before delivery.
	Rating Rating
}

// ObserveDelivery counts a delivered answer into the measured quality of its account.
func (s *State) ObserveDelivery(document *lavconfig.Document, delivery Delivery, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pooled := float64(s.estimate(document, delivery.Key, now).Accepted)
	account := s.account(delivery.Account, now)
	accepted := account.ratings.expectedAcceptance(delivery.Key, pooled, s.settings.PooledWeight)
	account.delivered++
	account.expectedGood += s.settings.RatingErrors.probabilityGood(accepted, delivery.Rating)
}

// ObserveRating counts a rating, however late, of any answer of an account, delivered or rejected before.
func (s *State) ObserveRating(document *lavconfig.Document, account lavid.AccountID, key lavevidence.Key, accepted bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pooled := float64(s.estimate(document, key, now).Accepted)
	s.account(account, now).ratings.add(key, accepted, pooled)
}
