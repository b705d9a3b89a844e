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

// maxPrefixes bounds the prompt prefixes for which the caching servers are tracked.
const maxPrefixes = 20_000

// Server is this host's record of one backend server.
type Server struct {
	// Load is the last load report, or nil before the first one.
	Load *lavwire.Load
	// Reported is when Load was measured, by this host's clock.
	Reported time.Time
	Health   lavbalance.Health
	// InFlight counts this host's attempts at the server, StartedSinceReport those that began after the last load report.
	InFlight           int
	StartedSinceReport int
	// OutOfService reports whether the configuration takes the server, or its data centre, out of service.
	OutOfService bool
	// ReturnedAt is when the server returned to service; zero if it never left.
	ReturnedAt time.Time
}

// Fleet is the table of backend servers. It is safe for concurrent use.
type Fleet struct {
	host       lavid.HostID
	dataCentre lavid.DataCentreID
	servers    *lavtable.Table[lavid.BackendServerID, Server]
	prefixes   *lavprefix.Table
}

// New returns an empty fleet for a host in a data centre.
func New(host lavid.HostID, dataCentre lavid.DataCentreID) *Fleet {
	return &Fleet{
		host:       host,
		dataCentre: dataCentre,
		servers:    lavtable.New[lavid.BackendServerID, Server](),
		prefixes:   lavprefix.New(maxPrefixes),
	}
}

// Record stores a reported load. A cold server also loses its cached prefixes.
func (f *Fleet) Record(load *lavwire.Load, now time.Time) {
	id := lavid.BackendServerID(load.GetBackendServerId())
	if id == "" {
		return
	}
	if load.GetCold() {
		f.prefixes.ForgetServer(id)
	}
	f.servers.Update(id, func(row Server, _ bool) Server {
		row.Load = load
		row.Reported = now.Add(-time.Duration(load.GetAgeMillis()) * time.Millisecond)
		row.StartedSinceReport = 0
		return row
	})
}

// RecordFailure records that a server did not answer.
func (f *Fleet) RecordFailure(id lavid.BackendServerID, now time.Time) {
	f.servers.Update(id, func(row Server, _ bool) Server {
		row.Health = row.Health.AfterFailure(now)
		return row
	})
}

// RecordAnswer records a complete answer of a server.
func (f *Fleet) RecordAnswer(id lavid.BackendServerID, now time.Time) {
	f.servers.Update(id, func(row Server, _ bool) Server {
		row.Health = row.Health.AfterSuccess(now)
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

// ApplyConfig records which servers left service or came back into it. It removes the servers that the configuration no
// longer lists, once they have no attempts in flight.
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
