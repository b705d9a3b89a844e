package lavreport

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavholding"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/core/services/lavnotice"
	"lavenderswitch/core/services/lavquarantine"
)

const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 50 * time.Millisecond
	// reportInterval separates two reports of a host, unless it sends few messages. A change of its requests by largeChange,
	// and by a quarter of them, is reported at the next tick.
	reportInterval = 200 * time.Millisecond
	largeChange    = 8
	// exchangeInterval separates two exchanges of a relay with the other data centres, of which at most exchangeTargets get
	// one each time. totalInterval separates two totals of a relay.
	exchangeInterval = 350 * time.Millisecond
	exchangeTargets  = 4
	totalInterval    = 300 * time.Millisecond
	// maxMessageRate is the number of messages a second that a host plans at most; probes and greetings are not planned. A
	// host that would send fewer shortens its intervals, down to shortestShare of the usual ones, and one that would send
	// more, such as a relay for hosts that disagree, lengthens them.
	maxMessageRate = 36
	// maxProbedRate is the number of messages a second up to which a host sends probes, and probeBurst the number of messages
	// by which a second may exceed it.
	maxProbedRate = 38
	probeBurst    = 8
	shortestShare = 0.4
	// reporterTimeout is how long after its last report a host gets totals.
	reporterTimeout = time.Second
	// countsLifetime is how long a relay keeps the counts of a host that fell silent, about as long as a cutover takes.
	countsLifetime = 30 * time.Second
	// sentReports is the number of own reports that are kept, to leave them out of totals. They cover several lifetimes.
	sentReports = 64
	// greetingsPerTick bounds the messages to hosts that were just listed.
	greetingsPerTick = 20
	// suspensionGap is the time without a tick after which the process was suspended. Messages that arrived meanwhile have
	// no known age; they are dropped until suspensionPause after the next tick.
	suspensionGap   = 500 * time.Millisecond
	suspensionPause = 100 * time.Millisecond
)

// directReport is a report that its host sent to this relay.
type directReport struct {
	member   lavring.Member
	sequence Sequence
	leaving  bool
	// isRelay states that the host made the report as a relay of its data centre.
	isRelay    bool
	loads      map[lavid.BackendServerID]lavload.Load
	speeds     map[lavload.ServerKey]lavforecast.Speed
	cutovers   []lavcutover.Status
	receivedAt time.Time
}

// sentReport is a report of this host.
type sentReport struct {
	sequence Sequence
	loads    map[lavid.BackendServerID]lavload.Load
	speeds   map[lavload.ServerKey]lavforecast.Speed
	cutovers []lavcutover.Status
}

// Speeds holds the speeds of backend servers that this host has seen, and takes those that all other hosts have seen.
type Speeds interface {
	Speeds(now time.Time) map[lavload.ServerKey]lavforecast.Speed
	SetPeerSpeeds(speeds map[lavload.ServerKey]lavforecast.Speed, until time.Time)
}

// Notices holds what backend servers have stated about new work.
type Notices interface {
	Reports(now time.Time) []lavnotice.Report
	Apply(reports []lavnotice.Report, now time.Time)
}

// Quarantine holds which requests and parts of prompts backend servers ended with.
type Quarantine interface {
	Findings(now time.Time) lavquarantine.Findings
	Apply(findings lavquarantine.Findings, now time.Time)
}

// Holdings holds which beginnings of prompts backend servers have read. Reports returns what this host has learnt from its own sends, and
// with passOn also what others have told it.
type Holdings interface {
	Reports(passOn bool, now time.Time) []lavholding.Report
	Apply(reports []lavholding.Report, now time.Time)
}

// NewsSource returns what this host knows of the store.
type NewsSource func(now time.Time) *lavnews.News

// AgeObserver is called with the age of each report that a total brings to this host.
type AgeObserver func(age time.Duration)

// Node decides which messages this host sends and applies those that it receives. It is safe for concurrent use.
type Node struct {
	peers    *Peers
	loads    *lavload.Table
	speeds   Speeds
	cutovers *lavcutover.Cutovers
	observe  AgeObserver
	news     NewsSource
	notices  Notices
	parts    Quarantine
	holdings Holdings

	mu       sync.Mutex
	sequence Sequence
	leaving  bool
	budget   messageBudget
	sent     [sentReports]sentReport
	// lastReport is when this host reported last, and reportedRequests the requests in progress that it stated.
	lastReport       time.Time
	reportedRequests int
	lastExchange     time.Time
	lastProbe        time.Time
	// lastExchangeProbe is when this host, as a relay, last sent an exchange to silent hosts.
	lastExchangeProbe time.Time
	lastTotal         time.Time
	// round counts the messages of a relay and exchanges the exchanges alone; they select targets by turns.
	round      int
	exchanges  int
	startedAt  time.Time
	lastTick   time.Time
	dropBefore time.Time

	choice relayChoice
	relays []lavring.Member
	// direct holds the reports that this host received as a relay, its own included, and exchanged the sums of other data
	// centres. total is the latest total of a relay.
	direct    map[lavid.HostID]directReport
	exchanged map[lavid.DataCentreID]heldSum
	total     heldSum
	// centreCounts holds the largest counts of other data centres, and otherCounts those of all other hosts; each by service.
	centreCounts map[lavid.DataCentreID]map[lavid.ServiceID]countsOfRelease
	otherCounts  map[lavid.ServiceID]countsOfRelease
}

// countsOfRelease holds the counts about a cutover to a release.
type countsOfRelease struct {
	to     lavid.ReleaseID
	counts cutoverCounts
}

// NewNode returns a node that reports the loads, speeds and cutovers of this host, and applies those of the others to them. As
// a relay, it passes the news on. The source of news and the observer may be nil.
func NewNode(peers *Peers, loads *lavload.Table, speeds Speeds, cutovers *lavcutover.Cutovers, news NewsSource, observe AgeObserver, now time.Time) *Node {
	return &Node{
		peers: peers, loads: loads, speeds: speeds, cutovers: cutovers, news: news, observe: observe,
		// A restarted host goes on above its earlier numbers.
		sequence:     Sequence(now.UnixMilli() / reportInterval.Milliseconds()),
		startedAt:    now,
		lastTick:     now,
		choice:       newRelayChoice(),
		direct:       make(map[lavid.HostID]directReport),
		exchanged:    make(map[lavid.DataCentreID]heldSum),
		centreCounts: make(map[lavid.DataCentreID]map[lavid.ServiceID]countsOfRelease),
		otherCounts:  make(map[lavid.ServiceID]countsOfRelease),
	}
}

// ShareNotices makes the node tell other hosts of the notices and apply theirs. It is to be called before the first Tick.
func (n *Node) ShareNotices(notices Notices) { n.notices = notices }

// ShareQuarantine makes the node tell other hosts of what is in quarantine and apply theirs. It is to be called before the first
// Tick.
func (n *Node) ShareQuarantine(parts Quarantine) { n.parts = parts }

// ShareHoldings makes the node tell other hosts of what backend servers have read and apply theirs. It is to be called before the first
// Tick.
func (n *Node) ShareHoldings(holdings Holdings) { n.holdings = holdings }

// Rank returns the place of this host among the relays of its data centre, which are the readers of the store.
func (n *Node) Rank() lavnews.Rank {
	for rank, relay := range n.Relays() {
		if relay.ID == n.peers.Self().ID {
			return lavnews.Rank(rank)
		}
	}
	return lavnews.NotReader
}

// Relays returns the relays that this host reports to.
func (n *Node) Relays() []lavring.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays
}

// Tick returns the messages that are due, and drops what has become too old.
func (n *Node) Tick(now time.Time) []Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.lastTick) > suspensionGap {
		n.dropBefore = now.Add(suspensionPause)
	}
	n.lastTick = now
	self := n.peers.Self()
	n.relays = n.choice.choose(self.ID, n.peers.relayCandidates(self.DataCentre, now), now)
	var envelopes []Envelope
	reporters := n.reporters(now)
	serves := len(reporters) > 0 || n.isRelay()
	share := n.intervalShare(len(reporters), serves, now)
	n.budget.refill(now)
	probing := now.Sub(n.lastProbe) >= probeInterval && n.budget.probes() > 0
	if probing {
		n.lastProbe = now
	}
	if own := n.loads.Own(); probing || n.reportDue(own, share, now) {
		envelopes = append(envelopes, n.report(own, probing, now)...)
	}
	if serves {
		if now.Sub(n.lastExchange) >= shorten(n.exchangeInterval(now), share) {
			envelopes = append(envelopes, n.exchange(now)...)
			n.round++
		}
		if now.Sub(n.lastTotal) >= shorten(totalInterval, share) {
			envelopes = append(envelopes, n.sendTotal(reporters, now)...)
			n.round++
		}
	}
	n.budget.spend(envelopes)
	if greeted := n.peers.takeUngreeted(greetingsPerTick); len(greeted) > 0 {
		envelopes = append(envelopes, Envelope{To: addressesOf(greeted), Message: n.message(KindHello)})
	}
	return envelopes
}

// Leave returns the last report of this host, to all others: it shuts down and accepts no new work.
func (n *Node) Leave(now time.Time) []Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
	n.report(n.loads.Own(), false, now)
	others := n.others(n.peers.Hosts(now))
	if len(others) == 0 {
		return nil
	}
	message := n.message(KindReport)
	last := n.sent[n.sequence%sentReports]
	message.Loads, message.Speeds, message.Cutovers = last.loads, last.speeds, last.cutovers
	n.addFindings(message, now)
	return []Envelope{{To: addressesOf(others), Message: message}}
}

// message returns a message of this host without content.
func (n *Node) message(kind Kind) *Message {
	return &Message{Kind: kind, From: n.peers.Self(), Sequence: n.sequence, Leaving: n.leaving}
}

// currentNews returns what this host knows of the store, or nil.
func (n *Node) currentNews(now time.Time) *lavnews.News {
	if n.news == nil {
		return nil
	}
	return n.news(now)
}

// addFindings adds to a message what other hosts are to be told of the notices of backend servers, of the quarantine and of what servers
// have read. Only relays pass on what others have told.
func (n *Node) addFindings(message *Message, now time.Time) {
	if n.notices != nil {
		message.Notices = n.notices.Reports(now)
	}
	if n.parts != nil {
		message.PromptParts = n.parts.Findings(now)
	}
	if n.holdings != nil {
		message.Holdings = n.holdings.Reports(message.Kind != KindReport || n.isRelay(), now)
	}
}

// applyFindings takes over the notices, the quarantine and what servers have read in a message.
func (n *Node) applyFindings(message *Message, now time.Time) {
	if n.notices != nil {
		n.notices.Apply(message.Notices, now)
	}
	if n.parts != nil {
		n.parts.Apply(message.PromptParts, now)
	}
	if n.holdings != nil {
		n.holdings.Apply(message.Holdings, now)
	}
}

func (n *Node) others(members []lavring.Member) []lavring.Member {
	var others []lavring.Member
	for _, member := range members {
		if member.ID != n.peers.Self().ID {
			others = append(others, member)
		}
	}
	return others
}

func addressesOf(members []lavring.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// isRelay reports whether this host is one of its own relays.
func (n *Node) isRelay() bool {
	for _, relay := range n.relays {
		if relay.ID == n.peers.Self().ID {
			return true
		}
	}
	return false
}

// shorten returns a part of an interval. Half a tick less makes up for ticks that come late.
func shorten(interval time.Duration, share float64) time.Duration {
	return max(time.Duration(share*float64(interval))-TickInterval/2, TickInterval/2)
}

// intervalShare returns the multiple of the usual intervals at which this host sends no more than maxMessageRate.
func (n *Node) intervalShare(reporters int, serves bool, now time.Time) float64 {
	rate := float64(len(n.others(n.relays))) / reportInterval.Seconds()
	if serves {
		rate += float64(min(len(n.peers.dataCentres(now)), exchangeTargets)) / exchangeInterval.Seconds()
		rate += float64(min(reporters, maxBranches)) / totalInterval.Seconds()
	}
	if !n.isRelay() && len(n.peers.relayCandidates(n.peers.Self().DataCentre, now)) > maxBranches+relayCount {
		rate += maxBranches / totalInterval.Seconds() // it may forward totals, also while others take it for a relay
	}
	return max(rate/maxMessageRate, shortestShare)
}

// reportDue reports whether this host has to report its loads.
func (n *Node) reportDue(own map[lavid.BackendServerID]lavload.Load, share float64, now time.Time) bool {
	if now.Sub(n.lastReport) >= shorten(reportInterval, share) {
		return true
	}
	change := max(requestsOf(own)-n.reportedRequests, n.reportedRequests-requestsOf(own))
	return change >= largeChange && 4*change >= n.reportedRequests
}

func requestsOf(loads map[lavid.BackendServerID]lavload.Load) int {
	sum := 0
	for _, load := range loads {
		sum += load.Requests
	}
	return sum
}

// report records a new report of this host and returns it for its relays, and if probing is set, for silent hosts that would
// be relays.
func (n *Node) report(own map[lavid.BackendServerID]lavload.Load, probing bool, now time.Time) []Envelope {
	n.sequence++
	report := sentReport{sequence: n.sequence, loads: own, speeds: n.speeds.Speeds(now), cutovers: n.cutovers.Statuses()}
	n.sent[n.sequence%sentReports] = report
	n.lastReport, n.reportedRequests = now, requestsOf(own)
	self := n.peers.Self()
	n.direct[self.ID] = directReport{member: self, sequence: report.sequence, leaving: n.leaving, loads: report.loads, speeds: report.speeds, cutovers: report.cutovers, receivedAt: now}
	receivers := n.others(n.relays)
	if probing {
		receivers = append(receivers, n.budget.limit(probes(n.peers.silentBefore(self.DataCentre, n.relays, now), n.round))...)
	}
	if len(receivers) == 0 {
		return nil
	}
	message := n.message(KindReport)
	message.Loads, message.Speeds, message.Cutovers = report.loads, report.speeds, report.cutovers
	n.addFindings(message, now)
	if message.IsRelay = n.isRelay(); message.IsRelay {
		message.Exchanged = n.exchangedSums(now)
		message.News = n.currentNews(now)
	}
	return []Envelope{{To: addressesOf(receivers), Message: message}}
}
