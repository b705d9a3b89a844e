package lavreport

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavload"
)

// maxBranches is the number of hosts to which a relay sends its total, and a host forwards it. Further ones get it from them.
const maxBranches = 6

// reporters returns the other hosts that report to this one, in order of their ids. The other relay makes totals itself.
func (n *Node) reporters(now time.Time) []lavring.Member {
	otherRelays := make(map[lavid.HostID]bool, relayCount)
	if n.isRelay() {
		for _, relay := range n.relays {
			otherRelays[relay.ID] = true
		}
	}
	var members []lavring.Member
	for id, report := range n.direct {
		age := now.Sub(report.receivedAt)
		if age > countsLifetime {
			delete(n.direct, id)
		}
		if age >= reporterTimeout || id == n.peers.Self().ID || report.leaving || report.isRelay && otherRelays[id] {
			continue
		}
		members = append(members, report.member)
	}
	slices.SortFunc(members, func(a, b lavring.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// exchangeInterval returns the time between two exchanges, which grows with the number of data centres beyond
// exchangeTargets.
func (n *Node) exchangeInterval(now time.Time) time.Duration {
	centres := len(n.peers.dataCentres(now))
	return exchangeInterval * time.Duration(max(1, (centres+exchangeTargets-1)/exchangeTargets))
}

// exchange returns the sum of this data centre for one relay of each other one, by turns.
func (n *Node) exchange(now time.Time) []Envelope {
	probing := now.Sub(n.lastExchangeProbe) >= probeInterval
	if probing {
		n.lastExchangeProbe = now
	}
	n.lastExchange = now
	var targets, silent []lavring.Member
	for _, dataCentre := range n.peers.dataCentres(now) {
		relays := rankRelays(n.peers.relayCandidates(dataCentre, now))
		if len(relays) > 0 {
			targets = append(targets, relays[n.exchanges%len(relays)])
		}
		if probing {
			silent = append(silent, probes(n.peers.silentBefore(dataCentre, relays, now), n.exchanges)...)
		}
	}
	if len(silent) > 0 {
		// Another data centre is first each time, as the budget may not suffice for all.
		first := n.exchanges % len(silent)
		targets = append(targets, n.budget.limit(append(silent[first:], silent[:first]...))...)
	}
	n.exchanges++
	if len(targets) == 0 {
		return nil
	}
	message := n.message(KindExchange)
	message.Sum = n.centreSum(now)
	message.Members = n.peers.introduce(n.round, now)
	message.News = n.currentNews(now)
	n.addFindings(message, now)
	return []Envelope{{To: addressesOf(targets), Message: message}}
}

// centreSum returns the sum of the reports of this data centre that this host received.
func (n *Node) centreSum(now time.Time) Sum {
	sum := Sum{Loads: make(map[lavload.ServerKey]lavload.Load)}
	for _, report := range n.direct {
		if report.member.DataCentre != n.peers.Self().DataCentre {
			continue
		}
		sum.Cutovers = mergeStatuses(sum.Cutovers, report.cutovers)
		age := now.Sub(report.receivedAt)
		if age > reportLifetime {
			continue
		}
		sum.Entries = append(sum.Entries, Entry{Host: KeyOf(report.member.ID), Sequence: report.sequence, Age: age, Leaving: report.leaving})
		for server, load := range report.loads {
			sum.addLoad(lavload.KeyOf(server), load)
		}
		sum.addSpeeds(report.speeds)
	}
	return sum
}

// totalSum returns the sum over the hosts of all data centres.
func (n *Node) totalSum(now time.Time) Sum {
	total := n.centreSum(now)
	for dataCentre, held := range n.exchanged {
		if !now.Before(held.validUntil(exchangeLifetime)) {
			delete(n.exchanged, dataCentre)
			continue
		}
		total.add(held.aged(now.Sub(held.receivedAt)))
	}
	// Hosts take servers without an entry to have their usual speed.
	maps.DeleteFunc(total.Speeds, func(_ lavload.ServerKey, speed lavforecast.Speed) bool { return !speed.Slow() })
	for _, services := range n.centreCounts {
		for service, counts := range services {
			total.Cutovers = mergeStatuses(total.Cutovers, []lavcutover.Status{statusOf(service, counts)})
		}
	}
	return total
}

// statusOf returns the counts of other hosts as a status. Its version is zero, so that it replaces no row.
func statusOf(service lavid.ServiceID, counts countsOfRelease) lavcutover.Status {
	// A copy, because messages are encoded while the counts change.
	return lavcutover.Status{Progress: lavcutover.Progress{Service: service, To: counts.to}, Counts: maps.Clone(counts.counts)}
}

// sendTotal returns the total for the reporters, and applies it to this host.
func (n *Node) sendTotal(reporters []lavring.Member, now time.Time) []Envelope {
	n.lastTotal = now
	total := n.totalSum(now)
	if n.isRelay() {
		n.applyTotal(heldSum{Sum: total, receivedAt: now})
	}
	if len(reporters) == 0 {
		return nil
	}
	members := n.peers.introduce(n.round, now)
	message := n.message(KindTotal)
	message.Sum, message.Members, message.News = total, members, n.currentNews(now)
	n.addFindings(message, now)
	receivers := addressesOf(reporters)
	if len(n.relays) > 0 && n.relays[0].ID != n.peers.Self().ID {
		slices.Reverse(receivers) // other hosts forward the totals of the other relay
	}
	return forward(message, receivers)
}

// forward returns a message for several receivers, of which the first of each branch forward it to the others.
func forward(message *Message, receivers []string) []Envelope {
	var envelopes []Envelope
	for _, branch := range branches(receivers) {
		forwarded := *message
		forwarded.ForwardTo = branch[1:]
		envelopes = append(envelopes, Envelope{To: branch[:1], Message: &forwarded})
	}
	return envelopes
}

// branches splits the receivers of a message into at most maxBranches. The first of each gets the message and forwards it to
// the rest.
func branches(receivers []string) [][]string {
	count := min(len(receivers), maxBranches)
	result := make([][]string, count)
	for i, receiver := range receivers {
		result[i%count] = append(result[i%count], receiver)
	}
	return result
}

// exchangedSums returns the sums of other data centres for the other relay of this one.
func (n *Node) exchangedSums(now time.Time) []CentreSum {
	var sums []CentreSum
	for dataCentre, held := range n.exchanged {
		if now.Before(held.validUntil(exchangeLifetime)) {
			sums = append(sums, CentreSum{DataCentre: dataCentre, Sum: held.aged(now.Sub(held.receivedAt))})
		}
	}
	return sums
}
