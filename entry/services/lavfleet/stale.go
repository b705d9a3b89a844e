package lavfleet

import (
	"cmp"
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

const (
	// maxQueriesPerTick bounds the load queries of one tick for a fleet of any size.
	maxQueriesPerTick = 8
	// staleAfter is the age at which a load report is requested again.
	staleAfter = 2 * time.Second
)

// Stale returns up to maxQueriesPerTick servers in service whose load is unknown or old, the oldest first.
func (f *Fleet) Stale(document *lavconfig.Document, now time.Time) []lavid.BackendServerID {
	type staleServer struct {
		id       lavid.BackendServerID
		reported time.Time
	}
	var stale []staleServer
	for id, row := range document.BackendServers {
		server, _ := f.servers.Get(id)
		if inService(document, row) && now.Sub(server.Reported) > staleAfter && server.Health.Usable(now) {
			stale = append(stale, staleServer{id, server.Reported})
		}
	}
	slices.SortFunc(stale, func(a, b staleServer) int {
		return cmp.Or(a.reported.Compare(b.reported), cmp.Compare(a.id, b.id))
	})
	ids := make([]lavid.BackendServerID, 0, maxQueriesPerTick)
	for _, server := range stale[:min(maxQueriesPerTick, len(stale))] {
		ids = append(ids, server.id)
	}
	return ids
}

// Row is a backend server in the state dump.
type Row struct {
	ID          lavid.BackendServerID
	Running     int
	Limit       int
	InFlight    int
	Cold        bool
	Leaving     bool
	Versions    []string
	Reported    time.Time
	FailedUntil time.Time
}

// Dump returns all servers in the table.
func (f *Fleet) Dump() []Row {
	rows := make([]Row, 0, f.servers.Len())
	for _, id := range f.servers.IDs() {
		server, _ := f.servers.Get(id)
		rows = append(rows, Row{
			ID:          id,
			Running:     int(server.Load.GetRunning()),
			Limit:       int(server.Load.GetLimit()),
			InFlight:    server.InFlight,
			Cold:        server.Load.GetCold(),
			Leaving:     server.Load.GetLeaving(),
			Versions:    server.Load.GetLoadedVersions(),
			Reported:    server.Reported,
			FailedUntil: server.Health.FailedUntil,
		})
	}
	return rows
}
