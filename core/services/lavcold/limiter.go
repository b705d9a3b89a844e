package lavcold

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
)

// window is the time over which the rate of a cold server is counted.
const window = time.Second

// Limiter counts the requests that this host sent to cold backend servers. It is safe for concurrent use.
type Limiter struct {
	self lavid.HostID

	mu sync.Mutex
	// sent holds the times of this host's requests in the last window, oldest first.
	sent map[lavid.BackendServerID][]time.Time
}

// New returns a limiter for the host self.
func New(self lavid.HostID) *Limiter {
	return &Limiter{self: self, sent: make(map[lavid.BackendServerID][]time.Time)}
}

// Allow counts one request to a cold server, or returns false when this host's quota is used up.
//
// The server accepts rate requests per second from all hosts together. The rate is rounded down to whole requests per window,
// but at least one, which are divided among the hosts that rank first for the server by rendezvous hashing. Hosts with the
// same member list therefore compute the same quotas.
func (l *Limiter) Allow(server lavid.BackendServerID, rate float64, hosts []lavring.Member, now time.Time) bool {
	quota := l.quota(server, rate, hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent(server, now)
	if len(recent) >= quota {
		return false
	}
	l.sent[server] = append(recent, now)
	return true
}

// WouldAllow reports whether Allow would succeed, without counting a request.
func (l *Limiter) WouldAllow(server lavid.BackendServerID, rate float64, hosts []lavring.Member, now time.Time) bool {
	quota := l.quota(server, rate, hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.recent(server, now)) < quota
}

// quota returns the number of requests per window that this host may send to the server.
func (l *Limiter) quota(server lavid.BackendServerID, rate float64, hosts []lavring.Member) int {
	total := int(math.Floor(rate))
	if total < 1 {
		total = 1
	}
	ranked := lavring.Ranked(hosts, string(server))
	owners := min(len(ranked), total)
	if owners == 0 {
		return 0
	}
	for place, member := range ranked[:owners] {
		if member.ID != l.self {
			continue
		}
		if place < total%owners {
			return total/owners + 1
		}
		return total / owners
	}
	return 0
}

// recent returns the times of the requests sent within the window.
func (l *Limiter) recent(server lavid.BackendServerID, now time.Time) []time.Time {
	all := l.sent[server]
	for len(all) > 0 && now.Sub(all[0]) > window {
		all = all[1:]
	}
	if len(all) == 0 {
		delete(l.sent, server)
	}
	return all
}
