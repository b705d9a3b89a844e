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
	// silentAge is how long a host that is not heard may still send work of its own.
	silentAge = 30 * time.Second
	// liveAge is how long after its last datagram a host is taken to act.
	liveAge = 2 * time.Second
)

type peer struct {
	member lavring.Member
	heard  time.Time
	// listed is when the host was read from the store.
	listed  time.Time
	leaving bool
}

// Peers holds the entry hosts, this one among them; it is safe for concurrent use.
type Peers struct {
	self lavring.Member
	mu   sync.Mutex
	rows map[lavid.HostID]peer
}

// NewPeers returns peers that know only this host.
func NewPeers(self lavring.Member) *Peers {
	return &Peers{self: self, rows: make(map[lavid.HostID]peer)}
}

// Self returns this host.
func (p *Peers) Self() lavring.Member { return p.self }

// AddListed takes over the hosts that the store lists.
func (p *Peers) AddListed(members []lavring.Member, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, member := range members {
		if member.ID == p.self.ID {
			continue
		}
		row, known := p.rows[member.ID]
		if !known || row.member.Address != member.Address {
			row = peer{member: member, listed: now}
		}
		p.rows[member.ID] = row
	}
}

// heardFrom records a datagram of a host and tells whether the host was unknown.
func (p *Peers) heardFrom(member lavring.Member, leaving bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.rows[member.ID]
	p.rows[member.ID] = peer{member: member, heard: now, listed: now, leaving: leaving}
	return !known
}

// Hosts returns all hosts that may send work now, in order of their ids; a host that fell silent counts for a while.
func (p *Peers) Hosts(now time.Time) []lavring.Member {
	return p.list(func(row peer) bool { return now.Sub(later(row.heard, row.listed)) < silentAge })
}

// Live returns the hosts that were heard lately and this one, in order of their ids.
func (p *Peers) Live(now time.Time) []lavring.Member {
	return p.list(func(row peer) bool { return !row.leaving && now.Sub(row.heard) < liveAge })
}

// HasReplacement tells whether a balancer that knows which hosts are ready can send this host's callers to others: to at least
// half of the hosts of its data centre, or to another data centre when none of these is ready.
func (p *Peers) HasReplacement(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	near, nearReady, farReady := 1, 0, 0
	for _, row := range p.rows {
		ready := !row.leaving && now.Sub(row.heard) < liveAge
		switch {
		case row.member.DataCentre != p.self.DataCentre:
			if ready {
				farReady++
			}
		case now.Sub(later(row.heard, row.listed)) < silentAge:
			near++
			if ready {
				nearReady++
			}
		}
	}
	if nearReady == 0 {
		return farReady > 0
	}
	return 2*nearReady >= near
}

// Rank is this host's turn among the live hosts for a key, zero for the first.
func (p *Peers) Rank(key string, now time.Time) int {
	for place, member := range lavring.Ranked(p.Live(now), key) {
		if member.ID == p.self.ID {
			return place
		}
	}
	return 0
}

func (p *Peers) list(wanted func(peer) bool) []lavring.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	members := []lavring.Member{p.self}
	for _, row := range p.rows {
		if wanted(row) {
			members = append(members, row.member)
		}
	}
	slices.SortFunc(members, func(a, b lavring.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
