package lavwatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavreport"
)

// fakeHostStore holds the list of entry hosts and counts the writes.
type fakeHostStore struct {
	hosts  map[lavid.HostID]lavring.Member
	writes int
}

func (s *fakeHostStore) Hosts(context.Context) ([]lavring.Member, error) {
	var members []lavring.Member
	for _, member := range s.hosts {
		members = append(members, member)
	}
	return members, nil
}

func (s *fakeHostStore) PutHosts(_ context.Context, members []lavring.Member) error {
	s.writes++
	for _, member := range members {
		s.hosts[member.ID] = member
	}
	return nil
}

func (s *fakeHostStore) DropHost(_ context.Context, id lavid.HostID) error {
	delete(s.hosts, id)
	return nil
}

// TestLostHostIsRegisteredAgainByOneHost guards against entry hosts that are missing in the list for good since the store came back from a
// copy, and against all hosts that write it.
func TestLostHostIsRegisteredAgainByOneHost(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	era := lavrevision.Era(1)
	store := &fakeHostStore{hosts: make(map[lavid.HostID]lavring.Member)}
	members := []lavring.Member{{ID: "a", Address: "a"}, {ID: "b", Address: "b"}, {ID: "c", Address: "c"}, {ID: "d", Address: "d"}}
	var registrars []*Registrar
	for _, self := range members {
		peers := lavreport.NewPeers(self)
		registrars = append(registrars, &Registrar{
			Peers: peers, Store: store, Reads: func() bool { return false }, Era: func() lavrevision.Era { return era }, restoredEra: era,
			CallTimeout: time.Second, Log: discardLogger(), Clock: func() time.Time { return now },
		})
	}
	step := func() {
		now = now.Add(eraCheckInterval)
		for i, registrar := range registrars {
			hearAll(registrar.Peers, members, i, now)
			registrar.restoreIfDue(t.Context(), now)
		}
	}
	step()
	is.Equal(store.writes, 0) // nothing was lost
	era = 2
	for range 10 {
		step()
	}
	is.Equal(len(store.hosts), len(members))
	is.Equal(store.writes, 1)
}

// hearAll makes the host at a place hear all others.
func hearAll(peers *lavreport.Peers, members []lavring.Member, place int, now time.Time) {
	node := lavreport.NewNode(peers, lavload.New(), lavforecast.New(), lavcutover.New(lavcutover.Settings{}), nil, nil, now)
	for i, member := range members {
		if i != place {
			node.Receive(&lavreport.Message{Kind: lavreport.KindHello, From: member}, now)
		}
	}
}
