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

// The rates at which hosts read the store.
const (
	// readCheckInterval separates the decisions whether to read.
	readCheckInterval = 250 * time.Millisecond
	// readersPerSecond is how many hosts read the store in each second, whatever the number of hosts.
	readersPerSecond = 5
	// staleReadersPerSecond is how many do when the evidence of all is old.
	staleReadersPerSecond = 15
	// staleAge is the age of the evidence from which the higher rate counts.
	staleAge = 3 * time.Second
	// isolatedAfter is how long without an answer of any peer makes a host read by itself.
	isolatedAfter = 2 * time.Second
	// readTimeout bounds one read.
	readTimeout = 1500 * time.Millisecond
	// minReadBackoff separates reads of a host without peers; it doubles with each failure.
	minReadBackoff = 500 * time.Millisecond
	// maxReadBackoff bounds the doubling.
	maxReadBackoff = 10 * time.Second
)

// readSchedule decides when this host reads the store.
type readSchedule struct {
	self lavid.HostID

	mu               sync.Mutex
	lastSecond       int64
	nextIsolatedRead time.Time
	backoff          time.Duration
	lastPeerAnswer   time.Time
}

// recordPeerAnswer records that a peer answered.
func (r *readSchedule) recordPeerAnswer(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastPeerAnswer = now
}

// due tells whether to read now, among count hosts and with evidence of the given age.
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

// recordRead records the end of a read.
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

// readsInSecond tells whether a host is one of the readers of a second; it needs no agreement on who else is.
func readsInSecond(self lavid.HostID, second int64, count, rate int) bool {
	score := xxhash.Sum64String(string(self) + "\x00" + strconv.FormatInt(second, 10))
	return float64(score)*float64(count) < float64(rate)*float64(math.MaxUint64)
}

func (s *Spreader) readIfDue(ctx context.Context, now time.Time) {
	if s.readSchedule.due(s.options.Peers.Count(), s.options.Current.Age(now), now) {
		s.readStore(ctx, now)
	}
}

// readStore takes over what the store holds; the evidence counts from started.
func (s *Spreader) readStore(ctx context.Context, started time.Time) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.metrics.Count("StoreReads", 1)
	err := s.replica.ReadNewer(ctx, s.options.Rows, started)
	s.readSchedule.recordRead(err != nil, time.Now())
	if err != nil {
		s.metrics.Count("StoreReadsFailed", 1)
		s.options.Log.WithError(err).Warning("store gave no configuration; reading it again later")
	}
}
