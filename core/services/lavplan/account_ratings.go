package lavplan

import (
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// ratingSums counts the ratings of one account's answers. The counts decay.
type ratingSums struct {
	rated    float64
	accepted float64
	// residual sums the differences between each rating (1 if accepted, else 0) and the acceptance pooled over all
	// accounts.
	residual float64
}

// withRating returns the sums with one more rating, given the acceptance pooled over all accounts.
func (r ratingSums) withRating(accepted bool, pooled float64) ratingSums {
	r.rated++
	r.residual -= pooled
	if accepted {
		r.accepted++
		r.residual++
	}
	return r
}

func (r ratingSums) scaled(factor float64) ratingSums {
	return ratingSums{rated: r.rated * factor, accepted: r.accepted * factor, residual: r.residual * factor}
}

// accountRatings corrects the pooled acceptance for one account, whose requests may be easier or harder than
// average.
type accountRatings struct {
	byClass map[lavid.TaskClass]ratingSums
	byKey   map[lavevidence.Key]ratingSums
}

func newAccountRatings() accountRatings {
	return accountRatings{byClass: make(map[lavid.TaskClass]ratingSums), byKey: make(map[lavevidence.Key]ratingSums)}
}

func (r accountRatings) add(key lavevidence.Key, accepted bool, pooled float64) {
	r.byClass[key.Class] = r.byClass[key.Class].withRating(accepted, pooled)
	r.byKey[key] = r.byKey[key].withRating(accepted, pooled)
}

// scale multiplies the sums by a factor, and removes the keys with few ratings left.
func (r accountRatings) scale(factor float64) {
	for class, sums := range r.byClass {
		r.byClass[class] = sums.scaled(factor)
	}
	for key, sums := range r.byKey {
		if sums.rated < minDecayedWeight {
			delete(r.byKey, key)
			continue
		}
		r.byKey[key] = sums.scaled(factor)
	}
}

// expectedAcceptance returns the acceptance rate expected for the account, given the rate pooled over all accounts and
// its weight in rated answers. The account's mean residual in the task class shifts the pooled rate to a prior, which is
// weighed against the account's own ratings of the key.
func (r accountRatings) expectedAcceptance(key lavevidence.Key, pooled, weight float64) float64 {
	class := r.byClass[key.Class]
	prior := clamp(pooled+class.residual/(class.rated+weight), 0, 1)
	own := r.byKey[key]
	return (own.accepted + weight*prior) / (own.rated + weight)
}

// expectedAcceptance returns the acceptance rate expected for an account, given the rate pooled over all accounts.
func (s *State) expectedAcceptance(account lavid.AccountID, key lavevidence.Key, pooled float64) float64 {
	found, ok := s.accounts[account]
	if !ok {
		return pooled
	}
	return found.ratings.expectedAcceptance(key, pooled, s.settings.PooledWeight)
}
