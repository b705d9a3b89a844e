package lavmembership

import (
	"math/rand/v2"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// The size and rotation of the set of peers to which a host keeps connections.
const (
	// maxPeers bounds the peers of a host, whatever the number of hosts.
	maxPeers = 12
	// minPeersPerDataCentre is the number of peers that are chosen in each data centre before any others.
	minPeersPerDataCentre = 1
	// peerRotationInterval is how often one peer is replaced by another.
	peerRotationInterval = 20 * time.Second
)

// peerView is a small set of peers that changes slowly.
type peerView struct {
	mu           sync.Mutex
	ids          []lavid.HostID
	lastRotation time.Time
}

func newPeerView() *peerView {
	return &peerView{}
}

// members fills the view from the table and returns its live peers.
func (v *peerView) members(table *Table, random *rand.Rand, now time.Time) []Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lastRotation.IsZero() {
		v.lastRotation = now
	}
	if len(v.ids) > 0 && now.Sub(v.lastRotation) >= peerRotationInterval {
		drop := random.IntN(len(v.ids))
		v.ids = append(v.ids[:drop], v.ids[drop+1:]...)
		v.lastRotation = now
	}
	kept := v.keepLive(table, now)
	if len(kept) < min(maxPeers, table.rows.Len()) {
		kept = v.fill(kept, table.Live(now), random)
	}
	return kept
}

// keepLive drops the peers that are leaving, suspect or not in the table, and returns the others.
func (v *peerView) keepLive(table *Table, now time.Time) []Member {
	var kept []Member
	var ids []lavid.HostID
	for _, id := range v.ids {
		row, ok := table.rows.Get(id)
		if !ok || row.Leaving || row.Suspect(now) {
			continue
		}
		kept = append(kept, row.Member)
		ids = append(ids, id)
	}
	v.ids = ids
	return kept
}

// fill adds members of data centres that have no peer yet, then any others, up to maxPeers.
func (v *peerView) fill(kept, live []Member, random *rand.Rand) []Member {
	random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	inView := make(map[lavid.HostID]bool)
	perDataCentre := make(map[lavid.DataCentreID]int)
	for _, member := range kept {
		inView[member.ID] = true
		perDataCentre[member.DataCentre]++
	}
	for _, limit := range []int{minPeersPerDataCentre, maxPeers} {
		for _, member := range live {
			if len(kept) >= maxPeers || inView[member.ID] || perDataCentre[member.DataCentre] >= limit {
				continue
			}
			inView[member.ID] = true
			perDataCentre[member.DataCentre]++
			kept = append(kept, member)
			v.ids = append(v.ids, member.ID)
		}
	}
	return kept
}
