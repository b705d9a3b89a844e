package lavbroadcast

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
)

const (
	// silentTimeout is how long after its last datagram a host may still have requests in progress.
	silentTimeout = 30 * time.Second
	// liveTimeout is how long after its last datagram a host counts as live.
	liveTimeout = 2 * time.Second
)

type peer struct {
	member       lavring.Member
	lastDatagram time.Time
	// listedAt is when the store first listed the host at this address, or when its last datagram arrived.
	listedAt time.Time
	leaving  bool
}

// Peers holds the entry hosts, this one included. It is safe for concurrent use.
type Peers struct {
	self  lavring.Member
	mu    sync.Mutex
	peers map[lavid.HostID]peer
}

// NewPeers returns peers with this host alone.
func NewPeers(self lavring.Member) *Peers {
	return &Peers{self: self, peers: make(map[lavid.HostID]peer)}
}

// Self returns this host.
func (p *Peers) Self() lavring.Member { return p.self }

// AddListed adds the hosts that the store lists. A host whose address has changed replaces its earlier entry.
func (p *Peers) AddListed(members []lavring.Member, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range members {
		if member.ID == p.self.ID {
			continue
		}
		row, exists := p.peers[member.ID]
		if !exists || row.member.Address != member.Address {
			row = peer{member: member, listedAt: now}
		}
		p.peers[member.ID] = row
	}
}

// recordDatagram records a datagram of a host and reports whether the host is new.
func (p *Peers) recordDatagram(member lavring.Member, leaving bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, exists := p.peers[member.ID]
	p.peers[member.ID] = peer{member: member, lastDatagram: now, listedAt: now, leaving: leaving}
	return !exists
}

// Hosts returns all hosts that may have requests in progress, in order of their ids. A silent host is included until
// silentTimeout has passed.
func (p *Peers) Hosts(now time.Time) []lavring.Member {
	return p.filter(func(row peer) bool { return now.Sub(latest(row.lastDatagram, row.listedAt)) < silentTimeout })
}

// Live returns this host and the hosts that sent a datagram within liveTimeout and are not leaving, in order of their
// ids.
func (p *Peers) Live(now time.Time) []lavring.Member {
	return p.filter(func(row peer) bool { return !row.leaving && now.Sub(row.lastDatagram) < liveTimeout })
}

// HasReplacement reports whether a load balancer that checks readiness can send this host's callers elsewhere: the
// ready hosts beside this one are at least half of the hosts of its data centre, or there are none of them and a host
// of another data centre is ready.
func (p *Peers) HasReplacement(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	localHosts, localReady, remoteReady := 1, 0, 0
	for _, row := range p.peers {
		ready := !row.leaving && now.Sub(row.lastDatagram) < liveTimeout
		switch {
		case row.member.DataCentre != p.self.DataCentre:
			if ready {
				remoteReady++
			}
		case now.Sub(latest(row.lastDatagram, row.listedAt)) < silentTimeout:
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
