package lavfleet

import (
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavtable"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/wire/lavwire"
)

// Server is what was last heard of one backend server.
type Server struct {
	Load     *lavwire.Load
	Reported time.Time
	// FailedUntil keeps a server that did not answer out of the choice.
	FailedUntil time.Time
	// InFlight counts this host's own attempts at the server.
	InFlight int
}

// Fleet is the table of backend servers.
type Fleet struct {
	servers *lavtable.Table[lavid.BackendServerID, Server]
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{servers: lavtable.New[lavid.BackendServerID, Server]()}
}

// Need is what an attempt asks of a backend server.
type Need struct {
	Version  lavid.VersionID
	Service  lavid.ServiceID
	Excluded []lavid.BackendServerID
}

// failurePause keeps a server that did not answer out of the choice for a while.
const failurePause = time.Second

// Record stores a reported load.
func (f *Fleet) Record(load *lavwire.Load, now time.Time) {
	if load.GetBackendServerId() == "" {
		return
	}
	f.servers.Update(lavid.BackendServerID(load.GetBackendServerId()), func(row Server, _ bool) Server {
		row.Load = load
		row.Reported = now
		return row
	})
}

// RecordFailure notes that a server did not answer.
func (f *Fleet) RecordFailure(id lavid.BackendServerID, now time.Time) {
	f.servers.Update(id, func(row Server, _ bool) Server {
		row.FailedUntil = now.Add(failurePause)
		return row
	})
}

// Candidates returns the servers in service that may meet the need.
func (f *Fleet) Candidates(document *lavconfig.Document, need Need, now time.Time) []lavbalance.Candidate {
	var candidates []lavbalance.Candidate
	for id, row := range document.BackendServers {
		if !inService(document, row) || row.Service != need.Service || slices.Contains(need.Excluded, id) {
			continue
		}
		server, _ := f.servers.Get(id)
		if now.Before(server.FailedUntil) || !holds(server, row, need.Version) {
			continue
		}
		candidates = append(candidates, lavbalance.Candidate{
			ID:         id,
			DataCentre: row.DataCentre,
			Running:    int(server.Load.GetRunning()),
			Limit:      max(int(server.Load.GetLimit()), 1),
			Reported:   server.Reported,
		})
	}
	slices.SortFunc(candidates, func(a, b lavbalance.Candidate) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return candidates
}

func inService(document *lavconfig.Document, row lavconfig.BackendServer) bool {
	return row.State == lavconfig.InService && document.DataCentres[row.DataCentre].State == lavconfig.InService
}

func holds(server Server, row lavconfig.BackendServer, version lavid.VersionID) bool {
	if version == "" {
		return true
	}
	if server.Load != nil {
		return !server.Load.GetLeaving() && slices.Contains(server.Load.GetLoadedVersions(), string(version))
	}
	return slices.Contains(row.Versions, version)
}
