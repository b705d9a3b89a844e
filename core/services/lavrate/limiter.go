package lavrate

import (
	"strconv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavring"
)

// Rate is a number of requests a second.
type Rate float64

const (
	// minRate is the rate at which a server that takes less, or nothing, is asked whether it takes more again.
	minRate Rate = 0.1
	// sharersPerRate and minSharers give the number of hosts that share a rate. Each may send one request at once, so that their
	// number bounds what a server gets at one time, while more of them make it likelier that one has a request.
	sharersPerRate = 2
	minSharers     = 2
	// maxInstances bounds the servers on record; the one that was used least recently is removed first.
	maxInstances = 4096
)

// bucket is the token bucket of this host for one server. It holds one token at most.
type bucket struct {
	tokens float64
	at     time.Time
}

// Limiter counts the requests of this host to servers that state a rate. It is safe for concurrent use.
type Limiter struct {
	self lavid.HostID

	mu      sync.Mutex
	buckets *lru.Cache[lavserver.InstanceKey, bucket]
}

// New returns a limiter for the host self.
func New(self lavid.HostID) *Limiter {
	buckets, err := lru.New[lavserver.InstanceKey, bucket](maxInstances)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Limiter{self: self, buckets: buckets}
}

// Allow reports whether this host may send one more request to a server now, and counts it if so. rate is what the server takes
// from all hosts together. The hosts that rank first for the server by rendezvous hashing share it, so that hosts with the same
// list of hosts compute the same shares.
func (l *Limiter) Allow(server lavserver.InstanceKey, rate Rate, hosts []lavring.Member, now time.Time) bool {
	share := l.share(server, rate, hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	filled := l.filled(server, share, now)
	if share == 0 || filled.tokens < 1 {
		return false
	}
	filled.tokens--
	l.buckets.Add(server, filled)
	return true
}

// WouldAllow reports whether Allow would succeed, without counting a request.
func (l *Limiter) WouldAllow(server lavserver.InstanceKey, rate Rate, hosts []lavring.Member, now time.Time) bool {
	share := l.share(server, rate, hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	return share > 0 && l.filled(server, share, now).tokens >= 1
}

// share returns the part of a rate that this host may use, or zero.
func (l *Limiter) share(server lavserver.InstanceKey, rate Rate, hosts []lavring.Member) Rate {
	rate = max(rate, minRate)
	sharers := min(len(hosts), minSharers+int(min(sharersPerRate*rate, Rate(len(hosts)))))
	for _, member := range lavring.Ranked(hosts, "rate "+strconv.FormatUint(uint64(server), 16))[:sharers] {
		if member.ID == l.self {
			return rate / Rate(sharers)
		}
	}
	return 0
}

// filled returns the bucket of a server with what has accrued until now. A server that is new here starts with one token.
func (l *Limiter) filled(server lavserver.InstanceKey, share Rate, now time.Time) bucket {
	held, found := l.buckets.Get(server)
	if !found {
		return bucket{tokens: 1, at: now}
	}
	accrued := float64(share) * max(now.Sub(held.at).Seconds(), 0)
	return bucket{tokens: min(held.tokens+accrued, 1), at: now}
}
