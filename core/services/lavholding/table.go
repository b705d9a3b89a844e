package lavholding

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavserver"
)

const (
	// lifetime is how long an engine is assumed to hold what it has read after the last use.
	lifetime = 60 * time.Second
	// maxKeys bounds the beginnings of prompts that are kept; the least recently used is removed first.
	maxKeys = 8192
	// maxHolders bounds the engines of one beginning; the one that used it first is removed first.
	maxHolders = 128
	// maxEntries bounds the engines of all beginnings together.
	maxEntries = 32768
	// tellTime is how long after a read hosts tell each other of it: in two messages, of which one may be lost.
	tellTime = 700 * time.Millisecond
	// retellTime is how long after it was told a read by the same engine is told again.
	retellTime = lifetime / 2
	// maxReports is the number of reads in one message; the latest ones come first.
	maxReports = 96
	// maxRecent bounds the reads that wait to be told, as a host without others tells nobody.
	maxRecent = 4 * maxReports
)

// Report tells other hosts that an engine has read a beginning of a prompt.
type Report struct {
	Key      Key
	Instance lavserver.InstanceKey
	// Age is the time since the engine was last known to have read it.
	Age time.Duration
}

// news is a report with the time at which this host learnt of it.
type news struct {
	key      Key
	instance lavserver.InstanceKey
	readAt   time.Time
	learntAt time.Time
	// own states that this host made the send.
	own bool
}

// holder is what is known of one engine and one beginning of a prompt.
type holder struct {
	readAt time.Time
	// toldAt is when the read was last passed on; zero if never.
	toldAt time.Time
}

// Table holds what the hosts know of what engines have read. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	held *lru.Cache[Key, map[lavserver.InstanceKey]holder]
	// entries is the number of engines of all beginnings together.
	entries int
	// recent holds what is to be told, in the order in which it was learnt.
	recent []news
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	held, err := lru.NewWithEvict(maxKeys, func(_ Key, holders map[lavserver.InstanceKey]holder) { t.entries -= len(holders) })
	if err != nil {
		// NewWithEvict fails only if the size is not positive.
		panic(err)
	}
	t.held = held
	return t
}

// Record records that this host has sent a prompt with the given beginnings to an engine, which reads them.
func (t *Table) Record(keys []Key, instance lavserver.InstanceKey, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		t.record(key, instance, now)
	}
}

// Share makes this host tell others that an engine has read the given beginnings, which it has begun to answer.
func (t *Table) Share(keys []Key, instance lavserver.InstanceKey, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, key := range keys {
		t.tell(news{key: key, instance: instance, readAt: now, learntAt: now, own: true})
	}
}

// Apply records what another host reports.
func (t *Table) Apply(reports []Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		t.tell(news{key: report.Key, instance: report.Instance, readAt: now.Add(-report.Age), learntAt: now})
	}
}

// record records a read and returns what is known of the engine then. The caller holds the lock.
func (t *Table) record(key Key, instance lavserver.InstanceKey, readAt time.Time) holder {
	holders, found := t.held.Get(key)
	if !found {
		holders = make(map[lavserver.InstanceKey]holder)
		t.held.Add(key, holders)
	}
	known, found := holders[instance]
	if !found {
		t.entries++
		if len(holders) >= maxHolders {
			delete(holders, earliest(holders))
			t.entries--
		}
	}
	if readAt.After(known.readAt) {
		known.readAt = readAt
	}
	holders[instance] = known
	for t.entries > maxEntries {
		t.held.RemoveOldest()
	}
	return known
}

func earliest(holders map[lavserver.InstanceKey]holder) lavserver.InstanceKey {
	first := lavserver.InstanceKey(0)
	var at time.Time
	for instance, known := range holders {
		if at.IsZero() || known.readAt.Before(at) {
			first, at = instance, known.readAt
		}
	}
	return first
}

// tell records a read and passes it on, unless the same was passed on within retellTime. The caller holds the lock.
func (t *Table) tell(read news) {
	if read.learntAt.Sub(read.readAt) > lifetime {
		return
	}
	known := t.record(read.key, read.instance, read.readAt)
	if !known.toldAt.IsZero() && read.learntAt.Sub(known.toldAt) < retellTime {
		return
	}
	known.toldAt = read.learntAt
	holders, _ := t.held.Peek(read.key)
	holders[read.instance] = known
	if len(t.recent) == maxRecent {
		t.recent = t.recent[1:]
	}
	t.recent = append(t.recent, read)
}

// Reports returns what to tell other hosts: what this host has learnt from its own sends, and with passOn also from others.
func (t *Table) Reports(passOn bool, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recent = slices.DeleteFunc(t.recent, func(read news) bool { return now.Sub(read.learntAt) > tellTime })
	var reports []Report
	for _, read := range slices.Backward(t.recent) {
		if len(reports) == maxReports {
			break
		}
		if read.own || passOn {
			reports = append(reports, Report{Key: read.key, Instance: read.instance, Age: max(now.Sub(read.readAt), 0)})
		}
	}
	return reports
}

// Held returns how many of the beginnings of a prompt, which are given from the shortest on, each engine is assumed to hold. Engines that
// hold none are left out.
func (t *Table) Held(keys []Key, now time.Time) map[lavserver.InstanceKey]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make(map[lavserver.InstanceKey]int)
	for i, key := range keys {
		holders, _ := t.held.Peek(key)
		for instance, known := range holders {
			// An engine that has read a beginning has read all shorter ones before.
			if now.Sub(known.readAt) <= lifetime {
				held[instance] = i + 1
			}
		}
	}
	return held
}
