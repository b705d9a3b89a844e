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
	// readTick separates the decisions whether to read.
	readTick = 250 * time.Millisecond
	// readersPerSecond is how many hosts read the store in each second, whatever the number of hosts.
	readersPerSecond = 5
	// lateReadersPerSecond is how many do when the evidence of all is old.
	lateReadersPerSecond = 15
	// lateAge is the age of the evidence from which the higher rate counts.
	lateAge = 3 * time.Second
	// lonelyAfter is how long without an answer of any peer makes a host read by itself.
	lonelyAfter = 2 * time.Second
	// readTimeout bounds one read.
	readTimeout = 1500 * time.Millisecond
	// firstReadPause separates reads of a host without peers; it doubles with each failure.
	firstReadPause = 500 * time.Millisecond
	// longestReadPause bounds the doubling.
	longestReadPause = 10 * time.Second
)

// reader decides when this host reads the store.
type reader struct {
	self lavid.HostID

	mu       sync.Mutex
	slot     int64
	next     time.Time
	pause    time.Duration
	answered time.Time
}

// heard records that a peer answered.
func (r *reader) heard(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered = now
}

// due tells whether to read now, among count hosts and with evidence of the given age.
func (r *reader) due(count int, age time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.answered) > lonelyAfter && !now.Before(r.next) {
		return true
	}
	rate := readersPerSecond
	if age > lateAge {
		rate = lateReadersPerSecond
	}
	slot := now.Unix()
	if slot == r.slot || !chosen(r.self, slot, count, rate) {
		return false
	}
	r.slot = slot
	return true
}

// done records the end of a read.
func (r *reader) done(failed bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed {
		r.pause = min(max(2*r.pause, firstReadPause), longestReadPause)
	} else {
		r.pause = firstReadPause
	}
	r.next = now.Add(r.pause)
}

// chosen tells whether a host is one of the readers of a second; it needs no agreement on who else is.
func chosen(self lavid.HostID, slot int64, count, rate int) bool {
	score := xxhash.Sum64String(string(self) + "\x00" + strconv.FormatInt(slot, 10))
	return float64(score)*float64(count) < float64(rate)*float64(math.MaxUint64)
}

func (s *Spreader) read(ctx context.Context, now time.Time) {
	if s.reader.due(s.options.Peers.Count(), s.options.Current.Age(now), now) {
		s.readStore(ctx, now)
	}
}

// readStore takes over what the store holds; the evidence counts from started.
func (s *Spreader) readStore(ctx context.Context, started time.Time) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s.metrics.Count("StoreReads", 1)
	err := s.replica.ReadNewer(ctx, s.options.Rows, started)
	s.reader.done(err != nil, time.Now())
	if err != nil {
		s.metrics.Count("StoreReadsFailed", 1)
		s.options.Log.WithError(err).Warning("store gave no configuration; reading it again later")
	}
}
