package lavplan

import (
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// Rating is the rating of one answer.
type Rating string

// The ratings. An answer is unrated while its rating is missing or pending.
const (
	Unrated       Rating = "Unrated"
	RatedAccepted Rating = "Accepted"
	RatedRejected Rating = "Rejected"
)

// Delivery describes an answer that was delivered to its caller.
type Delivery struct {
	Account lavid.AccountID
	Key     lavevidence.Key
	// Rating is the rating before delivery; later ratings go to ObserveRating.
	Rating Rating
}

// ObserveDelivery adds a delivered answer to the measured quality of its account.
func (s *State) ObserveDelivery(document *lavconfig.Document, delivery Delivery, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pooled := float64(s.estimate(document, delivery.Key, now).Accepted)
	account := s.account(delivery.Account, now)
	accepted := account.ratings.expectedAcceptance(delivery.Key, pooled, s.settings.PooledWeight)
	account.delivered++
	account.expectedGood += s.settings.RatingErrors.probabilityGood(accepted, delivery.Rating)
}

// ObserveRating adds a rating of an account's answer, which may arrive after delivery or be of a rejected answer.
func (s *State) ObserveRating(document *lavconfig.Document, account lavid.AccountID, key lavevidence.Key, accepted bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pooled := float64(s.estimate(document, key, now).Accepted)
	s.account(account, now).ratings.add(key, accepted, pooled)
}
