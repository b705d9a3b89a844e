package lavplan

import (
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// ratings sums the ratings that one account saw.
type ratings struct {
	rated    float64
	accepted float64
	// surplus sums how far acceptance was above what all accounts see.
	surplus float64
}

func (r ratings) plus(accepted bool, pooled float64) ratings {
	r.rated++
	r.surplus -= pooled
	if accepted {
		r.accepted++
		r.surplus++
	}
	return r
}

func (r ratings) scaled(factor float64) ratings {
	return ratings{rated: r.rated * factor, accepted: r.accepted * factor, surplus: r.surplus * factor}
}

// habits is how the requests of one account differ in difficulty from those of all accounts.
type habits struct {
	classes map[lavid.TaskClass]ratings
	keys    map[lavevidence.Key]ratings
}

func newHabits() habits {
	return habits{classes: make(map[lavid.TaskClass]ratings), keys: make(map[lavevidence.Key]ratings)}
}

func (h habits) add(key lavevidence.Key, accepted bool, pooled float64) {
	h.classes[key.Class] = h.classes[key.Class].plus(accepted, pooled)
	h.keys[key] = h.keys[key].plus(accepted, pooled)
}

func (h habits) scale(factor float64) {
	for class, sums := range h.classes {
		h.classes[class] = sums.scaled(factor)
	}
	for key, sums := range h.keys {
		if sums.rated < minWeight {
			delete(h.keys, key)
			continue
		}
		h.keys[key] = sums.scaled(factor)
	}
}

// accepted returns the acceptance that the account is expected to see, from what all accounts see.
func (h habits) accepted(key lavevidence.Key, pooled, weight float64) float64 {
	class := h.classes[key.Class]
	shifted := clamp(pooled+class.surplus/(class.rated+weight), 0, 1)
	own := h.keys[key]
	return (own.accepted + weight*shifted) / (own.rated + weight)
}

// accepted returns the acceptance that an account is expected to see, from what all accounts see.
func (s *State) accepted(account lavid.AccountID, key lavevidence.Key, pooled float64) float64 {
	found, ok := s.balances[account]
	if !ok {
		return pooled
	}
	return found.habits.accepted(key, pooled, s.settings.PooledRated)
}
