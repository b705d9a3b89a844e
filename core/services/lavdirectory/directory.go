package lavdirectory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
)

// Settings bound how long a missing backend server is still used.
type Settings struct {
	// ReturnGrace is the time after the store's return in which lapsed entries come back.
	ReturnGrace time.Duration
	// OutageGap without a listing means that entries may have lapsed.
	OutageGap time.Duration
}

// Row is a backend server with what this host knows of it.
type Row struct {
	lavserver.Server
	// Listed says that the newest listing has it, and LastListed when one last had it.
	Listed     bool
	LastListed time.Time
	// FirstSeen is when this start of the server was first listed.
	FirstSeen time.Time
	// ColdUntil is zero for servers that are warm.
	ColdUntil time.Time
	// Displaced says that another server answered at the address.
	Displaced bool
}

// Cold tells whether the server is still in its cold start.
func (r Row) Cold(now time.Time) bool {
	return now.Before(r.ColdUntil)
}

// Directory holds the backend servers; it is safe for concurrent use.
type Directory struct {
	settings Settings

	mu        sync.Mutex
	rows      map[lavid.BackendServerID]Row
	evacuated map[lavid.DataCentreID]bool
	lastRead  time.Time
	failed    bool
	// returned is when the first listing after an outage was had.
	returned time.Time
}

// New returns a directory without backend servers.
func New(settings Settings) *Directory {
	return &Directory{
		settings:  settings,
		rows:      make(map[lavid.BackendServerID]Row),
		evacuated: make(map[lavid.DataCentreID]bool),
	}
}

// ReadFailed records that a listing could not be had.
func (d *Directory) ReadFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = true
}

// Change is what a listing changed of one backend server.
type Change struct {
	Server lavserver.Server
	What   string
}

// The changes that a listing can bring.
const (
	ChangeAppeared = "appeared"
	ChangeDraining = "draining"
	ChangeGone     = "gone"
	ChangeMissing  = "missing"
	ChangeReturned = "returned"
)

// Read takes over a whole listing and returns what it changed.
//
// A server missing from it is gone, except shortly after listings could not be
// had, unless one since then had it: its entry may have lapsed although it lives.
func (d *Directory) Read(servers []lavserver.Server, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.interrupted(now) {
		d.returned = now
	}
	d.failed, d.lastRead = false, now
	var changes []Change
	listed := make(map[lavid.BackendServerID]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		if change, changed := d.take(server, now); changed {
			changes = append(changes, change)
		}
	}
	for id, row := range d.rows {
		if listed[id] {
			continue
		}
		if d.lapsed(row, now) {
			if row.Listed {
				changes = append(changes, Change{row.Server, ChangeMissing})
			}
			row.Listed = false
			d.rows[id] = row
			continue
		}
		delete(d.rows, id)
		changes = append(changes, Change{row.Server, ChangeGone})
	}
	return changes
}

// lapsed tells whether the entry of a server that is not listed may come back.
func (d *Directory) lapsed(row Row, now time.Time) bool {
	return row.LastListed.Before(d.returned) && now.Before(d.returned.Add(d.settings.ReturnGrace))
}

// interrupted tells whether entries may have lapsed since the last listing.
func (d *Directory) interrupted(now time.Time) bool {
	if d.lastRead.IsZero() {
		return false
	}
	return d.failed || now.Sub(d.lastRead) > d.settings.OutageGap
}

// take stores a listed server and tells whether that is a change.
func (d *Directory) take(server lavserver.Server, now time.Time) (Change, bool) {
	old, known := d.rows[server.ID]
	row := Row{Server: server, Listed: true, LastListed: now, FirstSeen: now}
	if known && old.SameInstance(server) {
		row.FirstSeen, row.Displaced = old.FirstSeen, old.Displaced
	}
	if server.ColdFor > 0 {
		row.ColdUntil = now.Add(server.ColdFor)
	}
	d.rows[server.ID] = row
	switch {
	case !known || !old.SameInstance(server):
		return Change{server, ChangeAppeared}, true
	case server.Draining && !old.Draining:
		return Change{server, ChangeDraining}, true
	case !old.Listed:
		return Change{server, ChangeReturned}, true
	default:
		return Change{}, false
	}
}

// Evacuate replaces the set of data centres that take no new work and tells whether that is a change.
func (d *Directory) Evacuate(centres []lavid.DataCentreID) bool {
	evacuated := make(map[lavid.DataCentreID]bool, len(centres))
	for _, centre := range centres {
		evacuated[centre] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !maps.Equal(d.evacuated, evacuated)
	d.evacuated = evacuated
	return changed
}

// Usable returns the backend servers of a service that may take new work, in order of their ids.
func (d *Directory) Usable(service lavid.ServiceID, now time.Time) []Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	var usable []Row
	for _, row := range d.rows {
		if row.Service == service && d.open(row, now) {
			usable = append(usable, row)
		}
	}
	slices.SortFunc(usable, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

// open tells whether a server may take new work; the caller holds the lock.
func (d *Directory) open(row Row, now time.Time) bool {
	return (row.Listed || d.lapsed(row, now)) && !row.Draining && !row.Displaced && !d.evacuated[row.DataCentre]
}

// Displace records that another server answered at a server's address; this start of it takes no work any more.
func (d *Directory) Displace(server lavserver.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, known := d.rows[server.ID]
	if known && row.SameInstance(server) {
		row.Displaced = true
		d.rows[server.ID] = row
	}
}

// All returns every backend server that is known, in order of their ids.
func (d *Directory) All() []Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Row, 0, len(d.rows))
	for _, row := range d.rows {
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// LastRead returns when the newest listing was taken over, or zero.
func (d *Directory) LastRead() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastRead
}
