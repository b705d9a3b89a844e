package lavprefix

import (
	"math"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Hash is the hash of the first bytes of a prompt.
type Hash uint64

// Key is a prefix as one version sees it.
type Key struct {
	Version lavid.VersionID
	Prefix  Hash
}

const (
	// halfLife is the age at which half of a belief is left.
	halfLife = 90 * time.Second
	// eventProbability follows a cache event, routeBelief a request sent to the server.
	eventProbability = 0.95
	routeProbability = 0.7
	// gapFactor is what a gap in a server's events leaves of every earlier belief.
	gapFactor = 0.5
	// minProbability is forgotten.
	minProbability = 0.05
)

type estimate struct {
	probability float64
	setAt       time.Time
	gaps        int
}

type eventCursor struct {
	nextNumber uint64
	gaps       int
}

// Table holds the beliefs of one entry host; it is safe for concurrent use.
type Table struct {
	mu          sync.Mutex
	maxPrefixes int
	prefixes    map[Key]map[lavid.BackendServerID]estimate
	cursors     map[lavid.BackendServerID]eventCursor
}

// New returns an empty table of at most limit prefixes.
func New(limit int) *Table {
	return &Table{
		maxPrefixes: limit,
		prefixes:    make(map[Key]map[lavid.BackendServerID]estimate),
		cursors:     make(map[lavid.BackendServerID]eventCursor),
	}
}

// EventKind is what a cache event says.
type EventKind string

// The kinds of cache events.
const (
	Stored  EventKind = "Stored"
	Removed EventKind = "Removed"
)

// Event is one cache event of a backend server.
type Event struct {
	Number uint64
	Kind   EventKind
	Key    Key
}

// Apply takes an event; one that was already taken changes nothing.
func (t *Table) Apply(id lavid.BackendServerID, event Event, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, known := t.cursors[id]
	if known && event.Number < row.nextNumber {
		return
	}
	if known && event.Number > row.nextNumber {
		row.gaps++
	}
	row.nextNumber = event.Number + 1
	t.cursors[id] = row
	if event.Kind == Removed {
		delete(t.prefixes[event.Key], id)
		return
	}
	t.setProbability(id, event.Key, eventProbability, now)
}

// RecordRoute notes that a request with the prefix was sent to a server.
func (t *Table) RecordRoute(id lavid.BackendServerID, key Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.probability(id, key, now) < routeProbability {
		t.setProbability(id, key, routeProbability, now)
	}
}

// ForgetServer drops what is believed of a server, as after it turned cold or left.
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

// Probability returns how likely a server caches the prefix, from 0 to 1.
func (t *Table) Probability(id lavid.BackendServerID, key Key, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.probability(id, key, now)
}

// Len returns the number of prefixes known.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.prefixes)
}

// Tick forgets faint beliefs.
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
	row, ok := t.prefixes[key][id]
	if !ok {
		return 0
	}
	age := now.Sub(row.setAt).Seconds() / halfLife.Seconds()
	gaps := t.cursors[id].gaps - row.gaps
	return row.probability * math.Pow(0.5, math.Max(age, 0)) * math.Pow(gapFactor, float64(gaps))
}

// evictOne makes room by forgetting an arbitrary prefix.
func (t *Table) evictOne() {
	for key := range t.prefixes {
		delete(t.prefixes, key)
		return
	}
}
