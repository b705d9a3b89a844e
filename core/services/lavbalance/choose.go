package lavbalance

import (
	"math/rand/v2"
	"time"
)

const (
	// fullLoad is the load above which a server is expected to refuse.
	fullLoad = 1.0
	// fullPenalty ranks every full server behind every server that is not full.
	fullPenalty = 100
	// cachedDiscount is the part of the cost that a certainly cached prefix saves.
	cachedDiscount = 0.5
	// maxCachedLoad is the load above which a cached prefix is ignored; it bounds the imbalance that caching causes.
	maxCachedLoad = 0.9
	// coldCost is added for a server in slow start.
	coldCost = 0.1
	// sameRegionCost and otherRegionCost are added for the distance.
	sameRegionCost  = 0.1
	otherRegionCost = 1.0
	// typicalFirstToken is the time to the first token at which the latency factor is one.
	typicalFirstToken = 500 * time.Millisecond
)

// Choose returns the candidate of least cost among two random ones and the one most likely to cache the prefix. When that
// candidate is full, it compares all candidates. It returns false when there are none.
func Choose(candidates []Candidate, random *rand.Rand, now time.Time) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	candidates = preferNearRegion(candidates, now)
	first, second := pickTwo(len(candidates), random)
	best := better(&candidates[first], &candidates[second], now)
	if cached := likeliestCached(candidates, now); cached != nil {
		best = better(cached, best, now)
	}
	if best.cost(now) < fullPenalty {
		return *best, true
	}
	return *leastCost(candidates, now), true
}

// HasCapacity reports whether any candidate is expected to accept one more attempt.
func HasCapacity(candidates []Candidate, now time.Time) bool {
	for i := range candidates {
		if candidates[i].load(now) <= fullLoad {
			return true
		}
	}
	return false
}

// preferNearRegion leaves out the candidates of other regions while this region has capacity.
func preferNearRegion(candidates []Candidate, now time.Time) []Candidate {
	hasCapacity := false
	near := make([]Candidate, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Distance == OtherRegion {
			continue
		}
		near = append(near, candidates[i])
		hasCapacity = hasCapacity || candidates[i].load(now) <= fullLoad
	}
	if hasCapacity {
		return near
	}
	return candidates
}

// leastCost returns the candidate of least cost of all.
func leastCost(candidates []Candidate, now time.Time) *Candidate {
	best := &candidates[0]
	for i := range candidates[1:] {
		best = better(best, &candidates[i+1], now)
	}
	return best
}

func pickTwo(count int, random *rand.Rand) (int, int) {
	first := random.IntN(count)
	if count == 1 {
		return first, first
	}
	second := random.IntN(count - 1)
	if second >= first {
		second++
	}
	return first, second
}

func better(a, b *Candidate, now time.Time) *Candidate {
	if b.cost(now) < a.cost(now) {
		return b
	}
	return a
}

// likeliestCached returns the candidate most likely to cache the prefix among those with capacity, or nil.
func likeliestCached(candidates []Candidate, now time.Time) *Candidate {
	var best *Candidate
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.CachedPrefix <= 0 || candidate.load(now) > maxCachedLoad {
			continue
		}
		if best == nil || candidate.CachedPrefix > best.CachedPrefix {
			best = candidate
		}
	}
	return best
}

// cost returns the relative cost of sending the attempt to the candidate; lower is better.
func (c *Candidate) cost(now time.Time) float64 {
	load := c.load(now)
	cost := load * c.latencyFactor()
	if load <= maxCachedLoad {
		cost *= 1 - cachedDiscount*c.CachedPrefix
	}
	if c.Cold {
		cost += coldCost
	}
	switch c.Distance {
	case SameRegion:
		cost += sameRegionCost
	case OtherRegion:
		cost += otherRegionCost
	case SameDataCentre:
	}
	if load > fullLoad {
		cost += fullPenalty
	}
	return cost
}

// latencyFactor weighs servers of different speed: half of it is constant, half proportional to the time to the first token.
func (c *Candidate) latencyFactor() float64 {
	if c.FirstToken <= 0 {
		return 1
	}
	return 0.5 + 0.5*float64(c.FirstToken)/float64(typicalFirstToken)
}
