package lavreport

import (
	"cmp"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
)

const (
	// relayCount is the number of relays of a data centre. Hosts choose them without agreement: hosts that choose different
	// ones cost messages, but count no report twice.
	relayCount = 2
	// relayPatience is how long a host reports to a relay that sends no totals before it chooses another one. It allows for
	// two lost totals.
	relayPatience = 1000 * time.Millisecond
	// relayExclusion is how long a relay that sent no totals is not chosen again.
	relayExclusion = 3 * time.Second
	// probeInterval separates two messages to hosts that would be relays but are silent. Two parts of a data centre that could
	// not reach each other find each other again in this way.
	probeInterval = time.Second
	// relayKey is the key of the rendezvous order of relays of one capacity.
	relayKey = "relay"
)

// relayChoice holds which relays this host uses, and which of them do not answer.
type relayChoice struct {
	// since holds when this host began to report to each relay in use, and heard when each relay last sent a total.
	since    map[lavid.HostID]time.Time
	heard    map[lavid.HostID]time.Time
	excluded map[lavid.HostID]time.Time
}

func newRelayChoice() relayChoice {
	return relayChoice{since: make(map[lavid.HostID]time.Time), heard: make(map[lavid.HostID]time.Time), excluded: make(map[lavid.HostID]time.Time)}
}

// rankRelays returns the first relayCount members in the order of relays.
func rankRelays(candidates []lavring.Member) []lavring.Member {
	ranked := relayOrder(candidates)
	return ranked[:min(len(ranked), relayCount)]
}

// relayOrder returns the members in the order in which they serve as relays: those of the highest capacity first, as the totals and
// the content of the store for a large data centre fill a weak link.
func relayOrder(members []lavring.Member) []lavring.Member {
	ranked := lavring.Ranked(members, relayKey)
	slices.SortStableFunc(ranked, func(a, b lavring.Member) int { return cmp.Compare(b.Capacity, a.Capacity) })
	return ranked
}

// choose returns the relays of this host's data centre from the live hosts there, and updates which of them do not answer.
func (c *relayChoice) choose(self lavid.HostID, candidates []lavring.Member, now time.Time) []lavring.Member {
	for id, since := range c.since {
		if id != self && now.Sub(since) > relayPatience && now.Sub(c.heard[id]) > relayPatience {
			c.excluded[id] = now
			delete(c.since, id)
		}
	}
	for id, at := range c.excluded {
		if now.Sub(at) > relayExclusion {
			delete(c.excluded, id)
		}
	}
	usable := slices.DeleteFunc(slices.Clone(candidates), func(member lavring.Member) bool {
		_, excluded := c.excluded[member.ID]
		return excluded
	})
	relays := rankRelays(usable)
	chosen := make(map[lavid.HostID]bool, len(relays))
	for _, relay := range relays {
		chosen[relay.ID] = true
		if _, found := c.since[relay.ID]; !found {
			c.since[relay.ID] = now
		}
	}
	for id := range c.since {
		if !chosen[id] {
			delete(c.since, id)
		}
	}
	return relays
}

// probes returns the first of the silent hosts and another one by turns.
func probes(silent []lavring.Member, round int) []lavring.Member {
	if len(silent) < 2 {
		return silent
	}
	return []lavring.Member{silent[0], silent[1+round%(len(silent)-1)]}
}
