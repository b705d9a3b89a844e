package lavring

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// Member is a host that can own keys.
type Member struct {
	ID         lavid.HostID
	DataCentre lavid.DataCentreID
	Address    string
	// Capacity is the class of the host's link and processor. Hosts of a higher class work for others first.
	Capacity Capacity
}

// Capacity is a class of hosts with about the same link and processor, of which each takes twice as much as the one below. Zero is the
// lowest class, and that of hosts that state none.
type Capacity int

// Owners returns the owner of a key and its backup: the highest-ranked member and the next one in another data centre. If
// all members are in one data centre, the backup is the second-ranked member.
func Owners(members []Member, key string) []Member {
	ranked := rank(members, key)
	if len(ranked) == 0 {
		return nil
	}
	first := ranked[0]
	for _, member := range ranked[1:] {
		if member.DataCentre != first.DataCentre {
			return []Member{first, member}
		}
	}
	return ranked[:min(len(ranked), 2)]
}

// Ranked returns all members in descending order of their rendezvous score for the key.
func Ranked(members []Member, key string) []Member {
	return rank(members, key)
}

// First returns the ID of the first of the members in the order of Ranked; empty without members.
func First(ids iter.Seq[lavid.HostID], key string) lavid.HostID {
	first, highest := lavid.HostID(""), uint64(0)
	digest := xxhash.New()
	for id := range ids {
		digest.Reset()
		_, _ = digest.WriteString(string(id))
		_, _ = digest.WriteString("\x00")
		_, _ = digest.WriteString(key)
		if score := digest.Sum64(); first == "" || score > highest {
			first, highest = id, score
		}
	}
	return first
}

func rank(members []Member, key string) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	scores := make([]scored, 0, len(members))
	for _, member := range members {
		scores = append(scores, scored{member, xxhash.Sum64String(string(member.ID) + "\x00" + key)})
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]Member, 0, len(scores))
	for _, entry := range scores {
		ranked = append(ranked, entry.member)
	}
	return ranked
}
