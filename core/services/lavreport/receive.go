package lavreport

import (
	"maps"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavload"
)

// Receipt tells what a message changed.
type Receipt struct {
	// Accepted is false if the message is this host's own, or has no known age.
	Accepted bool
	// Replies are the messages to send.
	Replies []Envelope
	// NewPeer reports whether the sender was heard for the first time.
	NewPeer bool
	// Changed are the cutovers whose rows the message changed.
	Changed []lavcutover.Progress
}

// Receive applies a message that arrived at now.
func (n *Node) Receive(message *Message, now time.Time) Receipt {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.peers.Self()
	if message.From.ID == "" || message.From.ID == self.ID || now.Before(n.dropBefore) || now.Sub(n.lastTick) > suspensionGap {
		return Receipt{}
	}
	receipt := Receipt{Accepted: true, NewPeer: n.peers.recordMessage(message.From, message.Leaving, now)}
	n.peers.AddListed(message.Members, now)
	if receipt.NewPeer && message.Kind != KindHello && !n.leaving {
		receipt.Replies = append(receipt.Replies, Envelope{To: []string{message.From.Address}, Message: n.message(KindHello)})
	}
	n.applyFindings(message, now)
	cutovers := message.Cutovers
	switch message.Kind {
	case KindHello:
	case KindReport:
		n.receiveReport(message, now)
		for _, sum := range message.Exchanged {
			n.receiveSum(sum, now)
		}
	case KindExchange:
		cutovers = message.Sum.Cutovers
		n.receiveSum(CentreSum{DataCentre: message.From.DataCentre, Sum: message.Sum}, now)
	case KindTotal:
		cutovers = message.Sum.Cutovers
		n.receiveTotal(message, now)
		forwarded := forward(message, message.ForwardTo)
		n.budget.spend(forwarded)
		receipt.Replies = append(receipt.Replies, forwarded...)
	}
	for _, status := range cutovers {
		if status.Progress.State != "" && n.cutovers.ApplyRow(status.Progress, status.Revision, now) {
			receipt.Changed = append(receipt.Changed, status.Progress)
		}
		n.cutovers.AddEarlierSessions(status)
	}
	return receipt
}

// receiveReport keeps the report of a host, unless a later one has arrived. Any number is later than that of a host that
// fell silent, which may have restarted with a lower one.
func (n *Node) receiveReport(message *Message, now time.Time) {
	held, found := n.direct[message.From.ID]
	if found && !message.Sequence.after(held.sequence) && now.Sub(held.receivedAt) <= reportLifetime {
		return
	}
	if message.IsRelay && n.isRelay() {
		n.choice.heard[message.From.ID] = now // relays send each other no totals
	}
	n.direct[message.From.ID] = directReport{
		member: message.From, sequence: message.Sequence, leaving: message.Leaving, isRelay: message.IsRelay,
		loads: message.Loads, speeds: message.Speeds, cutovers: message.Cutovers, receivedAt: now,
	}
}

// receiveSum keeps the sum of another data centre, unless a better one has arrived.
func (n *Node) receiveSum(sum CentreSum, now time.Time) {
	dataCentre := sum.DataCentre
	if dataCentre == n.peers.Self().DataCentre {
		return
	}
	n.recordEntries(sum.Sum, now)
	if n.exchanged[dataCentre].replacedBy(sum.Sum, exchangeLifetime, now) {
		n.exchanged[dataCentre] = heldSum{Sum: sum.Sum, receivedAt: now}
	}
	services := n.centreCounts[dataCentre]
	if services == nil {
		services = make(map[lavid.ServiceID]countsOfRelease)
		n.centreCounts[dataCentre] = services
	}
	for _, status := range sum.Cutovers {
		keepCounts(services, status, status.Counts)
	}
}

// keepCounts keeps the largest counts about the release of a status.
func keepCounts(services map[lavid.ServiceID]countsOfRelease, status lavcutover.Status, counts map[lavcutover.Key]lavcutover.Counts) {
	held, found := services[status.Progress.Service]
	if !found || held.to != status.Progress.To {
		held = countsOfRelease{to: status.Progress.To, counts: make(cutoverCounts)}
		services[status.Progress.Service] = held
	}
	held.counts.keepLargest(counts)
}

func (n *Node) receiveTotal(message *Message, now time.Time) {
	n.choice.heard[message.From.ID] = now
	n.recordEntries(message.Sum, now)
	if n.isRelay() && n.knowsAsMuch(message.Sum) {
		return // this host makes totals of its own
	}
	if n.total.replacedBy(message.Sum, totalLifetime, now) && !n.holdsEarlierRun(message.Sum, now) {
		n.applyTotal(heldSum{Sum: message.Sum, receivedAt: now})
	}
}

// knowsAsMuch reports whether the own total of this host, which is a relay, holds at least half of the hosts of another.
func (n *Node) knowsAsMuch(sum Sum) bool {
	return 2*len(n.total.Entries) >= len(sum.Entries)
}

// holdsEarlierRun reports whether a sum contains a report of this host from before its start, which it cannot leave out.
func (n *Node) holdsEarlierRun(sum Sum, now time.Time) bool {
	if now.Sub(n.startedAt) > totalLifetime+reportLifetime {
		return false
	}
	key := KeyOf(n.peers.Self().ID)
	_, known := n.ownReport(sum)
	for _, entry := range sum.Entries {
		if entry.Host == key && !known {
			return true
		}
	}
	return false
}

func (n *Node) recordEntries(sum Sum, now time.Time) {
	for _, entry := range sum.Entries {
		n.peers.recordEntry(entry, now.Add(-entry.Age))
	}
}

// applyTotal makes a total, without this host's own report, the loads, speeds and counts of the other hosts.
func (n *Node) applyTotal(total heldSum) {
	n.total = total
	own, hasOwn := n.ownReport(total.Sum)
	loads, speeds := maps.Clone(total.Loads), maps.Clone(total.Speeds)
	if hasOwn {
		subtractOwn(loads, speeds, own)
	}
	until := total.validUntil(totalLifetime)
	n.loads.SetPeers(loads, total.receivedAt.Add(-total.meanAge()), until)
	n.speeds.SetPeerSpeeds(speeds, until)
	n.observeAges(total.Sum)
	for _, status := range total.Cutovers {
		keepCounts(n.otherCounts, status, own.withoutOwn(status))
		n.cutovers.SetOtherCounts(status.Progress.Service, n.otherCounts[status.Progress.Service].counts)
	}
}

// subtractOwn removes a report of this host from the loads and speeds of a sum that contains it.
func subtractOwn(loads map[lavload.ServerKey]lavload.Load, speeds map[lavload.ServerKey]lavforecast.Speed, own sentReport) {
	for server, load := range own.loads {
		key := lavload.KeyOf(server)
		if total, found := loads[key]; found {
			loads[key] = total.Minus(load)
		}
	}
	for server, speed := range own.speeds {
		if total, found := speeds[server]; found {
			speeds[server] = total.Minus(speed)
		}
	}
}

// withoutOwn returns the counts of a status in a sum without those of this report, which the sum contains.
func (s sentReport) withoutOwn(status lavcutover.Status) map[lavcutover.Key]lavcutover.Counts {
	counts := status.Counts
	for _, own := range s.cutovers {
		if own.Progress.Service == status.Progress.Service && own.Progress.To == status.Progress.To {
			counts = subtractCounts(counts, own.Counts)
		}
	}
	return counts
}

// observeAges passes on the ages of the reports of other hosts in a sum.
func (n *Node) observeAges(sum Sum) {
	if n.observe == nil {
		return
	}
	for _, entry := range sum.Entries {
		if entry.Host != KeyOf(n.peers.Self().ID) {
			n.observe(entry.Age)
		}
	}
}

// ownReport returns the report of this host that a sum contains, or false.
func (n *Node) ownReport(sum Sum) (sentReport, bool) {
	key := KeyOf(n.peers.Self().ID)
	for _, entry := range sum.Entries {
		if report := n.sent[entry.Sequence%sentReports]; entry.Host == key && report.sequence == entry.Sequence && report.loads != nil {
			return report, true
		}
	}
	return sentReport{}, false
}

// subtractCounts returns the counts of a sum without those of this host.
func subtractCounts(sum, own map[lavcutover.Key]lavcutover.Counts) map[lavcutover.Key]lavcutover.Counts {
	rest := make(map[lavcutover.Key]lavcutover.Counts, len(sum))
	for key, counts := range sum {
		rest[key] = counts.Minus(own[key])
	}
	return rest
}
