package lavfleet

import (
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavtable"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/core/services/lavprefix"
	"lavenderswitch/wire/lavwire"
)

// maxPrefixes bounds the prompt prefixes whose servers are remembered.
const maxPrefixes = 20_000

// Server is what this host knows of one backend server.
type Server struct {
	Load     *lavwire.Load
	Reported time.Time
	Health   lavbalance.Health
	// InFlight counts this host's attempts at the server, OwnSince those begun since the last report.
	InFlight           int
	StartedSinceReport int
	// OutOfService says that the configuration takes the server, or its data centre, out of service.
	OutOfService bool
	// ReturnedAt is when it came back into service.
	ReturnedAt time.Time
}

// Fleet is the table of backend servers.
type Fleet struct {
	host       lavid.HostID
	dataCentre lavid.DataCentreID
	servers    *lavtable.Table[lavid.BackendServerID, Server]
	prefixes   *lavprefix.Table
}

// New returns an empty fleet as seen from a host in a data centre.
func New(host lavid.HostID, dataCentre lavid.DataCentreID) *Fleet {
	return &Fleet{
		host:       host,
		dataCentre: dataCentre,
		servers:    lavtable.New[lavid.BackendServerID, Server](),
		prefixes:   lavprefix.New(maxPrefixes),
	}
}

// Record stores a reported load.
func (f *Fleet) Record(load *lavwire.Load, now time.Time) {
	id := lavid.BackendServerID(load.GetBackendServerId())
	if id == "" {
		return
	}
	if load.GetCold() {
		f.prefixes.Forget(id)
	}
	f.servers.Update(id, func(row Server, _ bool) Server {
		row.Load = load
		row.Reported = now.Add(-time.Duration(load.GetAgeMillis()) * time.Millisecond)
		row.StartedSinceReport = 0
		return row
	})
}

// RecordFailure notes that a server did not answer.
func (f *Fleet) RecordFailure(id lavid.BackendServerID, now time.Time) {
	f.servers.Update(id, func(row Server, _ bool) Server {
		row.Health = row.Health.Fail(now)
		return row
	})
}

// RecordAnswer notes that a server answered whole.
func (f *Fleet) RecordAnswer(id lavid.BackendServerID, now time.Time) {
	f.servers.Update(id, func(row Server, _ bool) Server {
		row.Health = row.Health.Succeed(now)
		return row
	})
}

// Begin counts an attempt at a server until the returned function is called.
func (f *Fleet) Begin(id lavid.BackendServerID) func() {
	f.servers.Update(id, func(row Server, _ bool) Server {
		row.InFlight++
		row.StartedSinceReport++
		return row
	})
	return func() {
		f.servers.Update(id, func(row Server, _ bool) Server {
			row.InFlight--
			row.StartedSinceReport = max(0, row.StartedSinceReport-1)
			return row
		})
	}
}

// ApplyConfig notes which servers went out of service and came back, and forgets those that the configuration dropped.
func (f *Fleet) ApplyConfig(document *lavconfig.Document, now time.Time) {
	for id, configured := range document.BackendServers {
		out := !inService(document, configured)
		f.servers.Update(id, func(row Server, exists bool) Server {
			if exists && row.OutOfService && !out {
				row.ReturnedAt = now
			}
			row.OutOfService = out
			return row
		})
	}
	f.servers.DeleteIf(func(id lavid.BackendServerID, row Server) bool {
		_, ok := document.BackendServers[id]
		return !ok && row.InFlight == 0
	})
	f.prefixes.Tick(now)
}

func inService(document *lavconfig.Document, row lavconfig.BackendServer) bool {
	return row.State == lavconfig.InService && document.DataCentres[row.DataCentre].State == lavconfig.InService
}
