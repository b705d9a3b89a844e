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

// Settings bound how long a backend server that is missing from a listing is still used.
type Settings struct {
	// ReturnGrace is the time after the end of a store outage in which lapsed entries may be listed again.
	ReturnGrace time.Duration
	// OutageGap is the time without a listing after which entries may have lapsed, even if no read failed.
	OutageGap time.Duration
}

// Row is a backend server with its state in the directory.
type Row struct {
	lavserver.Server
	// Listed reports whether the newest listing contains the server; LastListed is when a listing last did.
	Listed     bool
	LastListed time.Time
	// FirstSeen is when this start of the server was first listed.
	FirstSeen time.Time
	// ColdUntil is the end of the server's cold start; zero for warm servers.
	ColdUntil time.Time
	// Displaced reports that another server answered at the server's address.
	Displaced bool
}

// Cold reports whether the server is in its cold start at now.
func (r Row) Cold(now time.Time) bool {
	return now.Before(r.ColdUntil)
}

// Directory holds the backend servers; it is safe for concurrent use.
type Directory struct {
	settings Settings

	mu          sync.Mutex
	rows        map[lavid.BackendServerID]Row
	evacuated   map[lavid.DataCentreID]bool
	lastListing time.Time
	failed      bool
	// storeReturned is when the first listing after an outage was applied.
	storeReturned time.Time
}

// New returns a directory without backend servers.
func New(settings Settings) *Directory {
	return &Directory{
		settings:  settings,
		rows:      make(map[lavid.BackendServerID]Row),
		evacuated: make(map[lavid.DataCentreID]bool),
	}
}

// ListingFailed records that a listing could not be read.
func (d *Directory) ListingFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = true
}

// Change is the change that a listing made to one backend server.
type Change struct {
	Server lavserver.Server
	Kind   string
}

// The kinds of changes that a listing can make.
const (
	ChangeAppeared = "appeared"
	ChangeDraining = "draining"
	ChangeGone     = "gone"
	ChangeMissing  = "missing"
	ChangeReturned = "returned"
)

// ApplyListing applies a complete listing and returns what it changed.
//
// A server that the listing omits is removed, unless its entry may have lapsed during a store outage while the server
// itself kept running: within ReturnGrace after the outage it stays, if no listing since the outage contained it.
func (d *Directory) ApplyListing(servers []lavserver.Server, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.interrupted(now) {
		d.storeReturned = now
	}
	d.failed, d.lastListing = false, now
	var changes []Change
	listed := make(map[lavid.BackendServerID]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		if change, changed := d.store(server, now); changed {
			changes = append(changes, change)
		}
	}
	for id, row := range d.rows {
		if listed[id] {
			continue
		}
		if d.mayHaveLapsed(row, now) {
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

// mayHaveLapsed reports whether the entry of an unlisted server may have lapsed during an outage and be listed again.
func (d *Directory) mayHaveLapsed(row Row, now time.Time) bool {
	return row.LastListed.Before(d.storeReturned) && now.Before(d.storeReturned.Add(d.settings.ReturnGrace))
}

// interrupted reports whether entries may have lapsed since the last listing.
func (d *Directory) interrupted(now time.Time) bool {
	if d.lastListing.IsZero() {
		return false
	}
	return d.failed || now.Sub(d.lastListing) > d.settings.OutageGap
}

// store stores a listed server and reports whether that changes the directory.
func (d *Directory) store(server lavserver.Server, now time.Time) (Change, bool) {
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

// SetEvacuated replaces the set of data centres that take no new work and reports whether the set changed.
func (d *Directory) SetEvacuated(centres []lavid.DataCentreID) bool {
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

// Usable returns the backend servers of a service that may take new work, ordered by id.
func (d *Directory) Usable(service lavid.ServiceID, now time.Time) []Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	var usable []Row
	for _, row := range d.rows {
		if row.Service == service && d.isUsable(row, now) {
			usable = append(usable, row)
		}
	}
	slices.SortFunc(usable, func(a, b Row) int { return cmp.Compare(a.ID, b.ID) })
	return usable
}

// isUsable reports whether a server may take new work; the caller holds the lock.
func (d *Directory) isUsable(row Row, now time.Time) bool {
	return (row.Listed || d.mayHaveLapsed(row, now)) && !row.Draining && !row.Displaced && !d.evacuated[row.DataCentre]
}

// Displace records that another server answered at a server's address; this start of the server takes no more work.
func (d *Directory) Displace(server lavserver.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, known := d.rows[server.ID]
	if known && row.SameInstance(server) {
		row.Displaced = true
		d.rows[server.ID] = row
	}
}

// All returns every backend server of the directory, ordered by id.
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

// LastListing returns when the newest listing was applied, or zero before the first.
func (d *Directory) LastListing() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastListing
}
