package lavplan

import (
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// ratings sums the ratings that one account saw.
type ratingSums struct {
	rated    float64
	accepted float64
	// surplus sums how far acceptance was above what all accounts see.
	residual float64
}

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

// habits is how the requests of one account differ in difficulty from those of all accounts.
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

// accepted returns the acceptance that the account is expected to see, from what all accounts see.
func (r accountRatings) expectedAcceptance(key lavevidence.Key, pooled, weight float64) float64 {
	class := r.byClass[key.Class]
	prior := clamp(pooled+class.residual/(class.rated+weight), 0, 1)
	own := r.byKey[key]
	return (own.accepted + weight*prior) / (own.rated + weight)
}

// accepted returns the acceptance that an account is expected to see, from what all accounts see.
func (s *State) expectedAcceptance(account lavid.AccountID, key lavevidence.Key, pooled float64) float64 {
	found, ok := s.accounts[account]
	if !ok {
		return pooled
	}
	return found.ratings.expectedAcceptance(key, pooled, s.settings.PooledWeight)
}
