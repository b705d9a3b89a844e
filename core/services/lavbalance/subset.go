package lavbalance

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// SubsetSize bounds the backend servers of one pool to which an entry host sends requests.
const SubsetSize = 24

// Subset returns at most size candidates for this host, near ones first and then by rendezvous hashing.
//
// A tenth of the places, but at least one, goes to random other candidates, so that a host without near servers still
// reaches the pool.
func Subset(candidates []Candidate, host lavid.HostID, size int) []Candidate {
	if len(candidates) <= size {
		return candidates
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(score(host, b.ID), score(host, a.ID)))
	})
	farPlaces := max(1, size/10)
	chosen := slices.Clone(ranked[:size-farPlaces])
	rest := ranked[size-farPlaces:]
	random := rand.New(rand.NewPCG(xxhash.Sum64String(string(host)), 0))
	for _, position := range random.Perm(len(rest))[:farPlaces] {
		chosen = append(chosen, rest[position])
	}
	slices.SortFunc(chosen, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return chosen
}

// score returns the rendezvous hash of a host and a backend server.
func score(host lavid.HostID, server lavid.BackendServerID) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(server))
}
