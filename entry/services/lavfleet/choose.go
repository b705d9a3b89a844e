package lavfleet

import (
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/entry/models/lavrequest"
)

// Choose returns the backend server of the next attempt, or false when none is left.
func (f *Fleet) Choose(document *lavconfig.Document, need Need, _ *lavrequest.Request, now time.Time) (lavid.BackendServerID, bool) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	chosen, ok := lavbalance.Choose(f.Candidates(document, need, now), random, now)
	return chosen.ID, ok
}

// Begin counts an attempt at a server until the returned function is called.
func (f *Fleet) Begin(id lavid.BackendServerID) func() {
	f.addInFlight(id, 1)
	return func() { f.addInFlight(id, -1) }
}

func (f *Fleet) addInFlight(id lavid.BackendServerID, delta int) {
	f.servers.Update(id, func(row Server, _ bool) Server {
		row.InFlight += delta
		return row
	})
}
