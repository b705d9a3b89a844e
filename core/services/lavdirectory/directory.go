package lavdirectory

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavnotice"
)

// Settings bound how long a backend server that is missing from a listing is still used. A server's entry in the store
// can expire during a store outage although the server still runs.
type Settings struct {
	// ReturnGrace is the time after the end of a store outage in which expired entries may be listed again.
	ReturnGrace time.Duration
	// OutageGap is the time without a listing after which entries may have expired, even if no read failed.
	OutageGap time.Duration
	// SilentHold is how long after the store came back from a copy servers take no work that had been removed without notice and that the
	// copy lists. By then, the entries of those that have ended expire. A server at whose address another one answered takes no work for
	// as long either.
	SilentHold time.Duration
}

// Row is a backend server with its state in the directory.
type Row struct {
	lavserver.Server
	// Listed reports whether the newest listing contains the server; LastListed is when a listing last contained it.
	Listed     bool
	LastListed time.Time
	// FirstSeen is when this instance of the server was first listed.
	FirstSeen time.Time
	// ColdUntil is the end of the server's cold start; zero for warm servers.
	ColdUntil time.Time
	// Displaced reports that another server answered at the server's address.
	Displaced bool
	// Relieve reports that the server has asked other hosts to send nothing for a while; this host may do as well.
	Relieve bool
	// Leaving reports that the server has stated in an answer that it leaves, and PausedUntil is the end of the pause that it
	// has asked this host for. All sets them; servers with either are not Usable.
	Leaving     bool
	PausedUntil time.Time
	// Limit is what the server takes from all hosts together.
	Limit lavnotice.Limit
	// instance is the key of the instance, which is computed once for each listing.
	instance lavserver.InstanceKey
	// displacedAt is when another server answered at the address; zero if a listing shows a later server there.
	displacedAt time.Time
	// unordered states that FirstSeen says nothing about servers that were seen before.
	unordered bool
}

// Instance returns the key of the instance.
func (r Row) Instance() lavserver.InstanceKey {
	if r.instance == 0 {
		return r.Server.Instance()
	}
	return r.instance
}

// Cold reports whether the server is in its cold start at now.
func (r Row) Cold(now time.Time) bool {
	return now.Before(r.ColdUntil)
}

// Directory holds the backend servers; it is safe for concurrent use.
type Directory struct {
	settings Settings
	// notices holds what servers state in their answers. It outlasts the rows, as a listing may be older than an answer.
	notices *lavnotice.Table

	mu          sync.Mutex
	rows        map[lavid.BackendServerID]Row
	evacuated   map[lavid.DataCentreID]bool
	lastListing time.Time
	// listingFailed reports that a read of a listing has failed since lastListing.
	listingFailed bool
	// storeReturned is when the first listing after an outage was applied.
	storeReturned time.Time
	// ordered states that a complete listing has been applied since the start or since the store came back from a copy, so that servers which
	// a later one adds have started after the known ones.
	ordered bool
	// gone holds the instances that were removed, for goneTime.
	gone map[lavserver.InstanceKey]removal
	// held holds until when instances that were removed before the store came back from a copy take no work.
	held map[lavserver.InstanceKey]time.Time
	// usable keeps the usable servers of each service for usableLifetime, and changes counts the changes of the fields above.
	usable  map[lavid.ServiceID]usableRows
	changes uint64
}

// goneTime is how long a removed instance is remembered. It is longer than a copy from which the store comes back is old.
const goneTime = time.Minute

// removal is the removal of an instance from the directory.
type removal struct {
	at time.Time
	// announced states that the instance drained before. Others may have been silent for a while only.
	announced bool
}

// New returns a directory without backend servers.
func New(settings Settings) *Directory {
	return &Directory{
		settings:  settings,
		notices:   lavnotice.New(),
		rows:      make(map[lavid.BackendServerID]Row),
		evacuated: make(map[lavid.DataCentreID]bool),
		gone:      make(map[lavserver.InstanceKey]removal),
		held:      make(map[lavserver.InstanceKey]time.Time),
		usable:    make(map[lavid.ServiceID]usableRows),
	}
}

// ListingFailed records that a listing could not be read.
func (d *Directory) ListingFailed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listingFailed = true
}

// Change is the effect of a listing on one backend server.
type Change struct {
	Server lavserver.Server
	Kind   string
}

// The kinds of changes that a listing can make.
const (
	// ChangeAppeared means that the server, or a new instance of it, is listed for the first time.
	ChangeAppeared = "appeared"
	// ChangeDraining means that the server started to drain.
	ChangeDraining = "draining"
	// ChangeGone means that the server was removed.
	ChangeGone = "gone"
	// ChangeMissing means that the listing omits the server, which is still used until the grace ends.
	ChangeMissing = "missing"
	// ChangeReturned means that a missing server is listed again.
	ChangeReturned = "returned"
)

// ApplyListing applies a complete listing and returns what it changed.
//
// A server that the listing omits is removed, unless its entry may have expired during a store outage while the server
// itself kept running: within ReturnGrace after the outage it stays, if no listing since the outage contained it.
func (d *Directory) ApplyListing(servers []lavserver.Server, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.apply(servers, now)
	d.ordered = true
	d.release(servers, now)
	return changes
}

// ApplyPart applies the part of the first listing that a host has read so far, and returns what it changed.
func (d *Directory) ApplyPart(servers []lavserver.Server, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.apply(servers, now)
}

// apply applies a listing; the caller holds the lock.
func (d *Directory) apply(servers []lavserver.Server, now time.Time) []Change {
	if d.interrupted(now) {
		d.storeReturned = now
	}
	d.listingFailed, d.lastListing = false, now
	d.changes++
	clear(d.usable)
	maps.DeleteFunc(d.gone, func(_ lavserver.InstanceKey, removed removal) bool { return now.Sub(removed.at) > goneTime })
	var changes []Change
	listed := make(map[lavid.BackendServerID]bool, len(servers))
	for _, server := range servers {
		listed[server.ID] = true
		if change, changed := d.update(server, now); changed {
			changes = append(changes, change)
		}
	}
	d.displaceEarlier()
	for id, row := range d.rows {
		if listed[id] {
			continue
		}
		if d.mayHaveExpired(row, now) {
			if row.Listed {
				changes = append(changes, Change{row.Server, ChangeMissing})
			}
			row.Listed = false
			d.rows[id] = row
			continue
		}
		delete(d.rows, id)
		d.gone[row.instance] = removal{at: now, announced: row.Draining}
		changes = append(changes, Change{row.Server, ChangeGone})
	}
	return changes
}

// release ends the holding of the instances that a complete listing omits, or that are held for long enough: listed again, they have
// written their entry since the store's return. The caller holds the lock.
func (d *Directory) release(servers []lavserver.Server, now time.Time) {
	if len(d.held) == 0 {
		return
	}
	listed := make(map[lavserver.InstanceKey]bool, len(servers))
	for _, server := range servers {
		listed[server.Instance()] = true
	}
	maps.DeleteFunc(d.held, func(instance lavserver.InstanceKey, until time.Time) bool {
		return !listed[instance] || !now.Before(until)
	})
}

// StoreReturned records that the store came back from a copy, before the first listing from it is applied. Servers that drained take no
// more work, whatever the copy shows. Those that were removed without notice may run on: they take none until a listing has omitted them
// and they are listed again, or for SilentHold. Those that the copy lacks are used until ReturnGrace has passed.
func (d *Directory) StoreReturned(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listingFailed, d.ordered = true, false
	for _, row := range d.rows {
		if row.Draining {
			d.notices.RecordLeaving(row.instance, now)
		}
	}
	for instance, removed := range d.gone {
		if removed.announced {
			d.notices.RecordLeaving(instance, now)
			continue
		}
		d.held[instance] = now.Add(d.settings.SilentHold)
		// Hosts that start now know the copy only.
		d.notices.Apply([]lavnotice.Report{{Instance: instance, Pause: d.settings.SilentHold}}, now)
	}
}

// displaceEarlier marks the servers whose addresses have later ones as displaced; the caller holds the lock. A server that
// ended without notice stays listed until its entry expires, and another one may have started at its address meanwhile.
func (d *Directory) displaceEarlier() {
	latest := make(map[string]Row, len(d.rows))
	for _, row := range d.rows {
		if other, found := latest[row.Address]; !found || row.startedAfter(other) {
			latest[row.Address] = row
		}
	}
	for id, row := range d.rows {
		if other := latest[row.Address]; other.ID != id && other.startedAfter(row) {
			row.Displaced = true
			d.rows[id] = row
		}
	}
}

// startedAfter reports whether the server is known to have started after another one.
func (r Row) startedAfter(other Row) bool {
	if !r.Born.IsZero() && !other.Born.IsZero() {
		return r.Born.After(other.Born)
	}
	return !r.unordered && r.FirstSeen.After(other.FirstSeen)
}

// mayHaveExpired reports whether the entry of an unlisted server may have expired during an outage and be listed again.
func (d *Directory) mayHaveExpired(row Row, now time.Time) bool {
	return row.LastListed.Before(d.storeReturned) && now.Before(d.storeReturned.Add(d.settings.ReturnGrace))
}

// interrupted reports whether entries may have expired since the last listing.
func (d *Directory) interrupted(now time.Time) bool {
	if d.lastListing.IsZero() {
		return false
	}
	return d.listingFailed || now.Sub(d.lastListing) > d.settings.OutageGap
}

// update adds or replaces the row of a listed server and returns the change that this makes, if any.
func (d *Directory) update(server lavserver.Server, now time.Time) (Change, bool) {
	old, exists := d.rows[server.ID]
	row := Row{Server: server, Listed: true, LastListed: now, FirstSeen: now, instance: server.Instance(), unordered: !d.ordered}
	if exists && old.SameInstance(server) {
		row.FirstSeen, row.unordered = old.FirstSeen, old.unordered
		if old.Displaced && !d.mayHaveRenewed(old, now) {
			row.Displaced, row.displacedAt = true, old.displacedAt
		}
	}
	if server.ColdFor > 0 {
		row.ColdUntil = now.Add(server.ColdFor)
	}
	d.rows[server.ID] = row
	delete(d.gone, row.instance)
	switch {
	case !exists || !old.SameInstance(server):
		return Change{server, ChangeAppeared}, true
	case server.Draining && !old.Draining:
		return Change{server, ChangeDraining}, true
	case !old.Listed:
		return Change{server, ChangeReturned}, true
	default:
		return Change{}, false
	}
}

// mayHaveRenewed reports whether a displaced server is still listed although its entry would have expired if it had ended: it
// runs, so that the answer which displaced it says nothing about its address any more.
func (d *Directory) mayHaveRenewed(row Row, now time.Time) bool {
	if row.displacedAt.IsZero() {
		return false
	}
	since := row.displacedAt
	if d.storeReturned.After(since) {
		// Entries do not expire while the store is away.
		since = d.storeReturned
	}
	return now.Sub(since) > d.settings.SilentHold
}

// SetEvacuated replaces the set of data centres that take no new work and reports whether the set changed.
func (d *Directory) SetEvacuated(dataCentres []lavid.DataCentreID) bool {
	evacuated := make(map[lavid.DataCentreID]bool, len(dataCentres))
	for _, dataCentre := range dataCentres {
		evacuated[dataCentre] = true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := !maps.Equal(d.evacuated, evacuated)
	d.evacuated = evacuated
	d.changes++
	return changed
}

// usableRows are the usable servers of a service as of a time and of a state of the directory and the notices.
type usableRows struct {
	rows    []*Row
	at      time.Time
	until   time.Time
	changes uint64
	noticed uint64
}

// usableLifetime is how long the usable servers of a service are kept at most while neither a listing nor a notice changes them, and no
// pause or grace ends.
const usableLifetime = time.Second

// Usable returns the backend servers of a service that may take new work, ordered by id. The rows are not to be changed.
func (d *Directory) Usable(service lavid.ServiceID, now time.Time) []*Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	noticed := d.notices.Changes()
	kept, found := d.usable[service]
	if found && kept.changes == d.changes && kept.noticed == noticed && !now.Before(kept.at) && now.Before(kept.until) {
		return kept.rows
	}
	usable := make([]*Row, 0, len(kept.rows))
	until := now.Add(usableLifetime)
	ends := func(at time.Time) bool {
		if at.After(now) && at.Before(until) {
			until = at
		}
		return at.After(now)
	}
	ends(d.storeReturned.Add(d.settings.ReturnGrace))
	for _, row := range d.rows {
		if row.Service != service || ends(d.held[row.instance]) || !d.isUsable(row, now) || ends(d.notices.PausedUntil(row.instance)) {
			continue
		}
		row.Relieve = ends(d.notices.AdvisedUntil(row.instance))
		row.Limit = d.notices.Limit(row.instance)
		usable = append(usable, &row)
	}
	slices.SortFunc(usable, func(a, b *Row) int { return cmp.Compare(a.ID, b.ID) })
	d.usable[service] = usableRows{rows: usable, at: now, until: until, changes: d.changes, noticed: noticed}
	return usable
}

// isUsable reports whether a server may take new work, unless it has asked for a pause; the caller holds the lock.
func (d *Directory) isUsable(row Row, now time.Time) bool {
	return (row.Listed || d.mayHaveExpired(row, now)) && !row.Draining && !row.Displaced && !d.evacuated[row.DataCentre] &&
		!d.notices.Leaving(row.instance) && !now.Before(d.held[row.instance])
}

// isPaused reports whether a server has asked this host for a pause that has not ended.
func (d *Directory) isPaused(row Row, now time.Time) bool {
	return now.Before(d.notices.PausedUntil(row.instance))
}

// MayTake reports whether an instance of a server may take a request that is about to be sent to it.
func (d *Directory) MayTake(server lavserver.Server, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, exists := d.rows[server.ID]
	return exists && row.SameInstance(server) && d.isUsable(row, now) && !d.isPaused(row, now)
}

// PauseLeft returns the time until the first server of a service ends its pause. It is zero if a server may take work now, or
// if no server has asked for a pause.
func (d *Directory) PauseLeft(service lavid.ServiceID, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	left := time.Duration(0)
	for _, row := range d.rows {
		if row.Service != service || !d.isUsable(row, now) {
			continue
		}
		pause := d.notices.PausedUntil(row.instance).Sub(now)
		if pause <= 0 {
			return 0
		}
		if left == 0 || pause < left {
			left = pause
		}
	}
	return left
}

// Notices returns what servers have stated in their answers.
func (d *Directory) Notices() *lavnotice.Table { return d.notices }

// Leave records that an instance of a server has stated that it leaves: it takes no more work, whatever a listing shows. It
// reports whether that is new.
func (d *Directory) Leave(server lavserver.Server, now time.Time) bool {
	return d.notices.RecordLeaving(server.Instance(), now)
}

// LeaveAddress records that the server which answered at the address of another one has stated that it leaves, as far as it
// is listed there.
func (d *Directory) LeaveAddress(other lavserver.Server, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, row := range d.rows {
		if row.Address == other.Address && !row.SameInstance(other) && !row.Displaced {
			d.notices.RecordLeaving(row.instance, now)
		}
	}
}

// Pause records that an instance of a server asks this host to send nothing for a while.
func (d *Directory) Pause(server lavserver.Server, pause time.Duration, now time.Time) {
	d.notices.RecordPause(server.Instance(), pause, now)
}

// Limit records the limit that an instance of a server states in an answer, or that it states none, and reports whether that is
// new.
func (d *Directory) Limit(server lavserver.Server, limit lavnotice.Limit, now time.Time) bool {
	return d.notices.RecordLimit(server.Instance(), limit, now)
}

// Displace records that another server answered at a server's address; this instance of the server takes no more work, unless
// it is still listed after SilentHold. It does nothing when the directory holds another instance.
func (d *Directory) Displace(server lavserver.Server, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, exists := d.rows[server.ID]
	if exists && row.SameInstance(server) {
		row.Displaced, row.displacedAt = true, now
		d.rows[server.ID] = row
		d.changes++
	}
}

// All returns every backend server of the directory, ordered by id.
func (d *Directory) All() []Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]Row, 0, len(d.rows))
	for _, row := range d.rows {
		row.Leaving, row.PausedUntil = d.notices.Leaving(row.instance), d.notices.PausedUntil(row.instance)
		row.Limit = d.notices.Limit(row.instance)
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
