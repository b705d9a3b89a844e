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
	// eventBelief follows a cache event, routeBelief a request sent to the server.
	eventBelief = 0.95
	routeBelief = 0.7
	// gapFactor is what a gap in a server's events leaves of every earlier belief.
	gapFactor = 0.5
	// faintBelief is forgotten.
	faintBelief = 0.05
)

type belief struct {
	value float64
	set   time.Time
	gaps  int
}

type server struct {
	next uint64
	gaps int
}

// Table holds the beliefs of one entry host; it is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	limit   int
	rows    map[Key]map[lavid.BackendServerID]belief
	servers map[lavid.BackendServerID]server
}

// New returns an empty table of at most limit prefixes.
func New(limit int) *Table {
	return &Table{
		limit:   limit,
		rows:    make(map[Key]map[lavid.BackendServerID]belief),
		servers: make(map[lavid.BackendServerID]server),
	}
}

// Kind is what a cache event says.
type Kind string

// The kinds of cache events.
const (
	Stored  Kind = "Stored"
	Removed Kind = "Removed"
)

// Event is one cache event of a backend server.
type Event struct {
	Number uint64
	Kind   Kind
	Key    Key
}

// Apply takes an event; one that was already taken changes nothing.
func (t *Table) Apply(id lavid.BackendServerID, event Event, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, known := t.servers[id]
	if known && event.Number < row.next {
		return
	}
	if known && event.Number > row.next {
		row.gaps++
	}
	row.next = event.Number + 1
	t.servers[id] = row
	if event.Kind == Removed {
		delete(t.rows[event.Key], id)
		return
	}
	t.believe(id, event.Key, eventBelief, now)
}

// Route notes that a request with the prefix was sent to a server.
func (t *Table) Route(id lavid.BackendServerID, key Key, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.belief(id, key, now) < routeBelief {
		t.believe(id, key, routeBelief, now)
	}
}

// Forget drops what is believed of a server, as after it turned cold or left.
func (t *Table) Forget(id lavid.BackendServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.servers, id)
	for key, row := range t.rows {
		delete(row, id)
		if len(row) == 0 {
			delete(t.rows, key)
		}
	}
}

// Belief returns how likely a server caches the prefix, from 0 to 1.
func (t *Table) Belief(id lavid.BackendServerID, key Key, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.belief(id, key, now)
}

// Len returns the number of prefixes known.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Tick forgets faint beliefs.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, row := range t.rows {
		for id := range row {
			if t.belief(id, key, now) < faintBelief {
				delete(row, id)
			}
		}
		if len(row) == 0 {
			delete(t.rows, key)
		}
	}
}

func (t *Table) believe(id lavid.BackendServerID, key Key, value float64, now time.Time) {
	row, ok := t.rows[key]
	if !ok {
		if len(t.rows) >= t.limit {
			t.dropOne()
		}
		row = make(map[lavid.BackendServerID]belief)
		t.rows[key] = row
	}
	row[id] = belief{value: value, set: now, gaps: t.servers[id].gaps}
}

func (t *Table) belief(id lavid.BackendServerID, key Key, now time.Time) float64 {
	row, ok := t.rows[key][id]
	if !ok {
		return 0
	}
	age := now.Sub(row.set).Seconds() / halfLife.Seconds()
	gaps := t.servers[id].gaps - row.gaps
	return row.value * math.Pow(0.5, math.Max(age, 0)) * math.Pow(gapFactor, float64(gaps))
}

// dropOne makes room by forgetting an arbitrary prefix.
func (t *Table) dropOne() {
	for key := range t.rows {
		delete(t.rows, key)
		return
	}
}
