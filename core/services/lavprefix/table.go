package lavprefix

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Hash is the hash of the first bytes of a prompt.
type Hash uint64

// Key identifies a prefix in the cache of one version.
type Key struct {
	Version lavid.VersionID
	Prefix  Hash
}

const (
	// halfLife is the age at which a probability has fallen to half.
	halfLife = 90 * time.Second
	// eventProbability is set by a cache event, routeProbability by a request sent to the server.
	eventProbability = 0.95
	routeProbability = 0.7
	// gapFactor multiplies the earlier probabilities of a server for each gap in its events.
	gapFactor = 0.5
	// minProbability is the probability below which an estimate is deleted.
	minProbability = 0.05
)

// estimate is the probability, at the time setAt, that a server caches a prefix; gaps is the server's count of event gaps at
// that time.
type estimate struct {
	probability float64
	setAt       time.Time
	gaps        int
}

// eventCursor holds the next expected event number of a server and the count of gaps in its events.
type eventCursor struct {
	nextNumber uint64
	gaps       int
}

// Table holds the estimates of one entry host. It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	maxPrefixes int
	prefixes    map[Key]map[lavid.BackendServerID]estimate
	cursors     map[lavid.BackendServerID]eventCursor
}

// New returns an empty table that holds at most limit prefixes.
func New(limit int) *Table {
	return &Table{
		maxPrefixes: limit,
		prefixes:    make(map[Key]map[lavid.BackendServerID]estimate),
		cursors:     make(map[lavid.BackendServerID]eventCursor),
	}
}

// EventKind is the kind of a cache event.
type EventKind string

// The kinds of cache events.
const (
	// Stored means that the server has added the prefix to its cache.
	Stored EventKind = "Stored"
	// Removed means that the server has removed the prefix from its cache.
	Removed EventKind = "Removed"
)

// Event is one cache event of a backend server. A server numbers its events consecutively.
type Event struct {
	Number uint64
	Kind   EventKind
	Key    Key
}

// Apply applies a cache event to the table. An event with a lower number than the next expected one has no effect.
func (t *Table) Apply(id lavid.BackendServerID, event Event, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cursor, hasCursor := t.cursors[id]
	if hasCursor && event.Number < cursor.nextNumber {
		return
	}
	if hasCursor && event.Number > cursor.nextNumber {
		cursor.gaps++
	}
	cursor.nextNumber = event.Number + 1
	t.cursors[id] = cursor
	if event.Kind == Removed {
		delete(t.prefixes[event.Key], id)
		return
	}
	t.setProbability(id, event.Key, eventProbability, now)
}

// RecordRoute records that a request with the prefix was sent to a server.
func (t *Table) RecordRoute(id lavid.BackendServerID, key Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.probability(id, key, now) < routeProbability {
		t.setProbability(id, key, routeProbability, now)
	}
}

// ForgetServer deletes all estimates of a server, for example after it has turned cold or left.
func (t *Table) ForgetServer(id lavid.BackendServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cursors, id)
	for key, row := range t.prefixes {
		delete(row, id)
		if len(row) == 0 {
			delete(t.prefixes, key)
		}
	}
}

// Probability returns the probability, from 0 to 1, that a server caches the prefix.
func (t *Table) Probability(id lavid.BackendServerID, key Key, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.probability(id, key, now)
}

// Len returns the number of prefixes in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.prefixes)
}

// Tick deletes estimates whose probability has fallen below minProbability.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, row := range t.prefixes {
		for id := range row {
			if t.probability(id, key, now) < minProbability {
				delete(row, id)
			}
		}
		if len(row) == 0 {
			delete(t.prefixes, key)
		}
	}
}

func (t *Table) setProbability(id lavid.BackendServerID, key Key, probability float64, now time.Time) {
	row, ok := t.prefixes[key]
	if !ok {
		if len(t.prefixes) >= t.maxPrefixes {
			t.evictOne()
		}
		row = make(map[lavid.BackendServerID]estimate)
		t.prefixes[key] = row
	}
	row[id] = estimate{probability: probability, setAt: now, gaps: t.cursors[id].gaps}
}

func (t *Table) probability(id lavid.BackendServerID, key Key, now time.Time) float64 {
	found, ok := t.prefixes[key][id]
	if !ok {
		return 0
	}
	age := now.Sub(found.setAt).Seconds() / halfLife.Seconds()
	gaps := t.cursors[id].gaps - found.gaps
	return found.probability * math.Pow(0.5, math.Max(age, 0)) * math.Pow(gapFactor, float64(gaps))
}

// evictOne deletes an arbitrary prefix to make space for another.
func (t *Table) evictOne() {
	for key := range t.prefixes {
		delete(t.prefixes, key)
		return
	}
}
