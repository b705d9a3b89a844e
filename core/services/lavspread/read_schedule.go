package lavspread

import (
	"context"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// The schedule on which hosts read the store.
const (
	// readCheckInterval separates the checks whether a read is due.
	readCheckInterval = 250 * time.Millisecond
	// readersPerSecond is the expected number of hosts that read the store in each second, whatever the number of
	// hosts.
	readersPerSecond = 5
	// staleReadersPerSecond replaces readersPerSecond while the newest store confirmation is older than staleAge.
	staleReadersPerSecond = 15
	// staleAge is the age of the newest store confirmation above which staleReadersPerSecond applies.
	staleAge = 3 * time.Second
	// isolatedAfter is the time without an answer of any peer after which a host reads on its own schedule.
	isolatedAfter = 2 * time.Second
	// readTimeout bounds one read.
	readTimeout = 1500 * time.Millisecond
	// minReadBackoff separates the reads of an isolated host; it doubles with each failure.
	minReadBackoff = 500 * time.Millisecond
	// maxReadBackoff bounds the doubling.
	maxReadBackoff = 10 * time.Second
)

// readSchedule decides when this host reads the store.
type readSchedule struct {
	self lavid.HostID

	mu sync.Mutex
	// lastSecond is the Unix second of the last scheduled read.
	lastSecond       int64
	nextIsolatedRead time.Time
	// backoff is the time between the end of a read and the next read of an isolated host.
	backoff        time.Duration
	lastPeerAnswer time.Time
}

// recordPeerAnswer records that a peer answered at now.
func (r *readSchedule) recordPeerAnswer(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastPeerAnswer = now
}

// due reports whether this host reads the store now, where count is the number of hosts and age the time since the
// newest store confirmation.
func (r *readSchedule) due(count int, age time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastPeerAnswer) > isolatedAfter && !now.Before(r.nextIsolatedRead) {
		return true
	}
	rate := readersPerSecond
	if age > staleAge {
		rate = staleReadersPerSecond
	}
	second := now.Unix()
	if second == r.lastSecond || !readsInSecond(r.self, second, count, rate) {
		return false
	}
	r.lastSecond = second
	return true
}

// recordRead records the end of a read and sets the earliest time of the next read of an isolated host.
func (r *readSchedule) recordRead(failed bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed {
		r.backoff = min(max(2*r.backoff, minReadBackoff), maxReadBackoff)
	} else {
		r.backoff = minReadBackoff
	}
	r.nextIsolatedRead = now.Add(r.backoff)
}

// readsInSecond reports whether a host reads the store in a second; of count hosts, about rate do. Each host decides by
// a hash of its own id, so that hosts need not agree on the list of hosts.
func readsInSecond(self lavid.HostID, second int64, count, rate int) bool {
	score := xxhash.Sum64String(string(self) + "\x00" + strconv.FormatInt(second, 10))
	return float64(score)*float64(count) < float64(rate)*float64(math.MaxUint64)
}

// readIfDue reads the store if the schedule of this host requires it at now.
func (s *Spreader) readIfDue(ctx context.Context, now time.Time) {
	if s.readSchedule.due(s.options.Peers.Count(), s.options.Current.Age(now), now) {
		s.readStore(ctx, now)
	}
}

// readStore adopts the newest configuration in the store; started is the time from which the store's confirmation
// counts.
func (s *Spreader) readStore(ctx context.Context, started time.Time) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.metrics.Count("StoreReads", 1)
	err := s.replica.ReadNewer(ctx, s.options.Rows, started)
	s.readSchedule.recordRead(err != nil, time.Now())
	if err != nil {
		s.metrics.Count("StoreReadsFailed", 1)
		s.options.Log.WithError(err).Warning("cannot read the configuration from the store; retrying later")
	}
}
