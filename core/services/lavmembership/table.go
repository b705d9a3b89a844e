package lavmembership

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/modules/lavtable"
)

// Table holds the hosts of the system except this one; it is safe for concurrent use.
type Table struct {
	self    Member
	leaving atomic.Bool
	rows    *lavtable.Table[lavid.HostID, Row]
	view    *peerView
}

// New returns the table of the host self, without other hosts.
func New(self Member) *Table {
	return &Table{self: self, rows: lavtable.New[lavid.HostID, Row](), view: newPeerView()}
}

// Self returns this host.
func (t *Table) Self() Member {
	self := t.self
	self.Leaving = self.Leaving || t.leaving.Load()
	return self
}

// Leave marks this host as one that takes no new work.
func (t *Table) Leave() {
	t.leaving.Store(true)
}

// Merge applies a host list. A host that the list omits stays in the table for a while after its last contact.
func (t *Table) Merge(hosts []lavplatform.Host, now time.Time) {
	listed := make(map[lavid.HostID]bool, len(hosts))
	for _, host := range hosts {
		if host.ID == t.self.ID || host.ID == "" {
			continue
		}
		listed[host.ID] = true
		t.rows.Update(host.ID, func(row Row, _ bool) Row { return row.withListing(host) })
	}
	for _, id := range t.rows.IDs() {
		if !listed[id] {
			t.markUnlisted(id)
		}
	}
	t.rows.DeleteIf(func(_ lavid.HostID, row Row) bool { return row.expired(now) })
}

func (t *Table) markUnlisted(id lavid.HostID) {
	t.rows.Update(id, func(row Row, _ bool) Row {
		row.Listed = false
		return row
	})
}

// withListing applies a row of the host list. A host that announced that it is leaving stays so until its address
// changes, because the list lags.
func (r Row) withListing(host lavplatform.Host) Row {
	replaced := r.Address != host.Address
	leaving := host.Leaving || (r.Leaving && !replaced)
	if replaced {
		r = Row{}
	}
	r.Member = Member{ID: host.ID, Role: host.Role, Address: host.Address, DataCentre: host.DataCentre, Leaving: leaving}
	r.Listed = true
	return r
}

// RecordContact records that a host answered this one or called it.
func (t *Table) RecordContact(member Member, now time.Time) {
	if member.ID == "" || member.ID == t.self.ID {
		return
	}
	t.rows.Update(member.ID, func(row Row, _ bool) Row {
		row.Member = member
		row.Heard = now
		row.Failures = 0
		return row
	})
}

// RecordFailure records that a host did not answer a call.
func (t *Table) RecordFailure(id lavid.HostID, now time.Time) {
	if _, ok := t.rows.Get(id); !ok {
		return
	}
	t.rows.Update(id, func(row Row, _ bool) Row {
		row.Failures++
		row.LastFailure = now
		return row
	})
}

// Live returns the members that are neither leaving, suspect nor expired, ordered by id.
func (t *Table) Live(now time.Time) []Member {
	var live []Member
	for _, id := range t.rows.IDs() {
		row, ok := t.rows.Get(id)
		if ok && row.live(now) {
			live = append(live, row.Member)
		}
	}
	return live
}

// Count returns the number of hosts in the table plus this one.
func (t *Table) Count() int {
	return t.rows.Len() + 1
}

// HasEntryHost reports whether the table contains a live entry host. The table does not contain this host.
func (t *Table) HasEntryHost(now time.Time) bool {
	return slices.ContainsFunc(t.rows.IDs(), func(id lavid.HostID) bool {
		row, ok := t.rows.Get(id)
		return ok && row.Role == lavplatform.RoleEntry && row.live(now)
	})
}

// Owners returns the live entry hosts that can own keys in rendezvous hashing; it includes this host when it is an entry
// host that is not leaving.
func (t *Table) Owners(now time.Time) []lavring.Member {
	var owners []lavring.Member
	if self := t.Self(); self.Role == lavplatform.RoleEntry && !self.Leaving {
		owners = append(owners, ringMember(self))
	}
	for _, member := range t.Live(now) {
		if member.Role == lavplatform.RoleEntry {
			owners = append(owners, ringMember(member))
		}
	}
	return owners
}

func ringMember(member Member) lavring.Member {
	return lavring.Member{ID: member.ID, DataCentre: member.DataCentre, Address: member.Address}
}

// Pick returns up to count live members from a small set that changes slowly, so that connections are reused.
func (t *Table) Pick(count int, random *rand.Rand, now time.Time) []Member {
	members := t.view.members(t, random, now)
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members[:min(count, len(members))]
}

// PickRemote returns up to count live members of each other data centre, entry hosts first.
func (t *Table) PickRemote(count int, random *rand.Rand, now time.Time) []Member {
	live := t.Live(now)
	random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	picks := make(map[lavid.DataCentreID]int)
	var picked []Member
	for _, role := range []lavplatform.HostRole{lavplatform.RoleEntry, lavplatform.RoleSide} {
		for _, member := range live {
			if member.Role != role || member.DataCentre == t.self.DataCentre || picks[member.DataCentre] >= count {
				continue
			}
			picks[member.DataCentre]++
			picked = append(picked, member)
		}
	}
	return picked
}

// Dump returns a copy of every row.
func (t *Table) Dump() []Row {
	rows := make([]Row, 0, t.rows.Len())
	for _, id := range t.rows.IDs() {
		if row, ok := t.rows.Get(id); ok {
			rows = append(rows, row)
		}
	}
	return rows
}
