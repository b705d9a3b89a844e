package lavreport

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
)

const (
	// silentTimeout is how long after its last message a host may still have requests in progress.
	silentTimeout = 30 * time.Second
	// liveTimeout is how long after its last message a host counts as live. Messages reach hosts of other data centres
	// through two relays.
	liveTimeout = 2 * time.Second
	// forgetTimeout is how long after its last message a host's data centre counts as part of the system.
	forgetTimeout = 5 * time.Minute
)

type peer struct {
	member lavring.Member
	// heardAt is when the host last sent a message to any host, as far as this one has heard.
	heardAt time.Time
	// listedAt is when the store or another host first listed the host at this address, or when it was last heard.
	listedAt time.Time
	// firstHeard is when the host was first heard at this address.
	firstHeard time.Time
	leaving    bool
	// greeted states that this host has sent a message to the peer at this address.
	greeted bool
}

// Peers holds the entry hosts, this one included. It is safe for concurrent use.
type Peers struct {
	self  lavring.Member
	mu    sync.Mutex
	peers map[lavid.HostID]peer
	keys  map[HostKey]lavid.HostID
}

// NewPeers returns peers with this host alone.
func NewPeers(self lavring.Member) *Peers {
	return &Peers{self: self, peers: make(map[lavid.HostID]peer), keys: make(map[HostKey]lavid.HostID)}
}

// Self returns this host.
func (p *Peers) Self() lavring.Member { return p.self }

// AddListed adds hosts that the store or another host lists. A host whose address has changed replaces its earlier entry.
func (p *Peers) AddListed(members []lavring.Member, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range members {
		if member.ID == p.self.ID || member.ID == "" {
			continue
		}
		row, exists := p.peers[member.ID]
		if !exists || row.member.Address != member.Address {
			row = peer{member: member, listedAt: now}
		}
		p.put(row)
	}
}

// put stores the row of a peer; the caller holds the mutex.
func (p *Peers) put(row peer) {
	p.peers[row.member.ID] = row
	p.keys[KeyOf(row.member.ID)] = row.member.ID
}

// recordMessage records a message of a host itself and reports whether the host is new.
func (p *Peers) recordMessage(member lavring.Member, leaving bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, exists := p.peers[member.ID]
	if !exists || row.member.Address != member.Address || row.firstHeard.IsZero() {
		row = peer{firstHeard: now, greeted: row.greeted && row.member.Address == member.Address}
	}
	row.member, row.heardAt, row.listedAt, row.leaving = member, now, now, leaving
	p.put(row)
	return !exists
}

// recordEntry records that a relay heard a host at a time. Only the latest time counts.
func (p *Peers) recordEntry(entry Entry, heardAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, known := p.keys[entry.Host]
	if !known {
		return
	}
	row := p.peers[id]
	if !heardAt.After(row.heardAt) {
		return
	}
	row.heardAt, row.listedAt, row.leaving = heardAt, latest(heardAt, row.listedAt), entry.Leaving
	if row.firstHeard.IsZero() {
		row.firstHeard = heardAt
	}
	p.put(row)
}

// takeUngreeted returns up to limit peers to which this host has sent nothing yet, and marks them as greeted. They follow this
// host in the order of IDs, so that hosts that start together greet different ones first.
func (p *Peers) takeUngreeted(limit int) []lavring.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var members []lavring.Member
	for _, row := range p.peers {
		if !row.greeted {
			members = append(members, row.member)
		}
	}
	slices.SortFunc(members, func(a, b lavring.Member) int {
		return cmp.Or(compareBool(a.ID < p.self.ID, b.ID < p.self.ID), cmp.Compare(a.ID, b.ID))
	})
	members = members[:min(limit, len(members))]
	for _, member := range members {
		row := p.peers[member.ID]
		row.greeted = true
		p.put(row)
	}
	return members
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// relayCandidates returns the hosts of a data centre that may serve as relays, in order of their ids. A listed host that was
// never heard counts for a while, so that hosts that start together find each other.
func (p *Peers) relayCandidates(dataCentre lavid.DataCentreID, now time.Time) []lavring.Member {
	members := p.filter(func(row peer) bool {
		if row.member.DataCentre != dataCentre || row.leaving {
			return false
		}
		return now.Sub(latest(row.heardAt, row.listedAt)) < liveTimeout
	})
	if dataCentre == p.self.DataCentre {
		return members
	}
	return slices.DeleteFunc(members, func(member lavring.Member) bool { return member.ID == p.self.ID })
}

// silentBefore returns the hosts of a data centre that are not live and precede the relays in use in the order of relays, or
// all that are not live if there are fewer relays than usual.
func (p *Peers) silentBefore(dataCentre lavid.DataCentreID, relays []lavring.Member, now time.Time) []lavring.Member {
	all := p.filter(func(row peer) bool { return row.member.DataCentre == dataCentre })
	live := make(map[lavid.HostID]bool)
	for _, member := range p.Live(now) {
		live[member.ID] = true
	}
	last := lavid.HostID("")
	if len(relays) >= relayCount {
		last = relays[len(relays)-1].ID
	}
	var silent []lavring.Member
	for _, member := range relayOrder(all) {
		if member.ID == last {
			break
		}
		if !live[member.ID] {
			silent = append(silent, member)
		}
	}
	return silent
}

// dataCentres returns the data centres of the hosts on record other than this host's own, in order.
func (p *Peers) dataCentres(now time.Time) []lavid.DataCentreID {
	found := make(map[lavid.DataCentreID]bool)
	for _, member := range p.filter(func(row peer) bool { return now.Sub(latest(row.heardAt, row.listedAt)) < forgetTimeout }) {
		found[member.DataCentre] = true
	}
	delete(found, p.self.DataCentre)
	return slices.Sorted(maps.Keys(found))
}

const (
	// newMemberTime is how long a host counts as new, and is introduced before others.
	newMemberTime = 10 * time.Second
	// introductions is the number of hosts that a message introduces.
	introductions = 8
)

// introduce returns hosts for a message, of which those first heard recently go first. The round selects which ones.
func (p *Peers) introduce(round int, now time.Time) []lavring.Member {
	recent := p.filter(func(row peer) bool {
		return now.Sub(row.heardAt) < liveTimeout && now.Sub(row.firstHeard) < newMemberTime
	})
	if len(recent) <= 1 {
		recent = p.Live(now)
	}
	if len(recent) <= introductions {
		return recent
	}
	first := round * introductions % len(recent)
	return append(recent[first:], recent[:first]...)[:introductions]
}

// HasAddress reports whether a host on record has the IP address.
func (p *Peers) HasAddress(ip netip.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range p.peers {
		if address, err := netip.ParseAddrPort(row.member.Address); err == nil && address.Addr() == ip {
			return true
		}
	}
	return false
}

// Hosts returns all hosts that may have requests in progress, in order of their ids. A silent host is included until
// silentTimeout has passed.
func (p *Peers) Hosts(now time.Time) []lavring.Member {
	return p.filter(func(row peer) bool { return now.Sub(latest(row.heardAt, row.listedAt)) < silentTimeout })
}

// Live returns this host and the hosts that were heard within liveTimeout and are not leaving, in order of their
// ids.
func (p *Peers) Live(now time.Time) []lavring.Member {
	return p.filter(func(row peer) bool { return !row.leaving && now.Sub(row.heardAt) < liveTimeout })
}

// HasReplacement reports whether a load balancer that checks readiness can send this host's callers elsewhere: the
// ready hosts beside this one are at least half of the hosts of its data centre, or there are none of them and a host
// of another data centre is ready.
func (p *Peers) HasReplacement(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	localHosts, localReady, remoteReady := 1, 0, 0
	for _, row := range p.peers {
		ready := !row.leaving && now.Sub(row.heardAt) < liveTimeout
		switch {
		case row.member.DataCentre != p.self.DataCentre:
			if ready {
				remoteReady++
			}
		case now.Sub(latest(row.heardAt, row.listedAt)) < silentTimeout:
			localHosts++
			if ready {
				localReady++
			}
		}
	}
	if localReady == 0 {
		return remoteReady > 0
	}
	return 2*localReady >= localHosts
}

// Rank returns this host's position in the rendezvous order of the live hosts for a key, zero for the first.
func (p *Peers) Rank(key string, now time.Time) int {
	for rank, member := range lavring.Ranked(p.Live(now), key) {
		if member.ID == p.self.ID {
			return rank
		}
	}
	return 0
}

func (p *Peers) filter(include func(peer) bool) []lavring.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := []lavring.Member{p.self}
	for _, row := range p.peers {
		if include(row) {
			members = append(members, row.member)
		}
	}
	slices.SortFunc(members, func(a, b lavring.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
