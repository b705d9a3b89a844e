package lavbalance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// SubsetSize bounds the backend servers of one pool that an entry host sends to.
const SubsetSize = 24

// Subset returns at most size candidates that this host prefers by rendezvous hashing, near ones first.
//
// A tenth of the places goes to farther candidates, so that a host without
// near ones still reaches the pool.
func Subset(candidates []Candidate, host lavid.HostID, size int) []Candidate {
	if len(candidates) <= size {
		return candidates
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(score(host, b.ID), score(host, a.ID)))
	})
	farPlaces := max(1, size/10)
	chosen := ranked[:size-farPlaces]
	rest := ranked[size-farPlaces:]
	random := rand.New(rand.NewPCG(xxhash.Sum64String(string(host)), 0))
	for range farPlaces {
		chosen = append(chosen, rest[random.IntN(len(rest))])
	}
	slices.SortFunc(chosen, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(chosen, func(a, b Candidate) bool { return a.ID == b.ID })
}

func score(host lavid.HostID, server lavid.BackendServerID) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(server))
}
