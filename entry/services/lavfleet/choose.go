package lavfleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/core/services/lavlimit"
	"lavenderswitch/core/services/lavprefix"
)

// Requirements describes the backend servers that an attempt can use.
type Requirements struct {
	// Version is empty for a plain service, Service is empty for a model.
	Version  lavid.VersionID
	Service  lavid.ServiceID
	Excluded []lavid.BackendServerID
	// MayUseReserve reports whether the attempt may use the part of the limits that is reserved for client accounts
	// within their share.
	MayUseReserve bool
	// Prefix is the hash of the prompt's first bytes; zero when there is none.
	Prefix lavprefix.Hash
}

func (r Requirements) prefixKey() lavprefix.Key {
	return lavprefix.Key{Version: r.Version, Prefix: r.Prefix}
}

// Choose returns the backend server for the next attempt, or false when no server meets the requirements.
func (f *Fleet) Choose(document *lavconfig.Document, requirements Requirements, now time.Time) (lavid.BackendServerID, bool) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	subset := lavbalance.Subset(f.Candidates(document, requirements, now), f.host, lavbalance.SubsetSize)
	chosen, ok := lavbalance.Choose(subset, random, now)
	if ok && requirements.Prefix != 0 {
		f.prefixes.RecordRoute(chosen.ID, requirements.prefixKey(), now)
	}
	return chosen.ID, ok
}

// Candidates returns the servers in service that meet the requirements, in order of their ids.
func (f *Fleet) Candidates(document *lavconfig.Document, requirements Requirements, now time.Time) []lavbalance.Candidate {
	var candidates []lavbalance.Candidate
	for id, row := range document.BackendServers {
		if !inService(document, row) || row.Service != requirements.Service || slices.Contains(requirements.Excluded, id) {
			continue
		}
		server, _ := f.servers.Get(id)
		if !server.Health.Usable(now) || !canServe(server, row, requirements.Version) {
			continue
		}
		candidates = append(candidates, f.newCandidate(document, id, server, requirements, now))
	}
	slices.SortFunc(candidates, func(a, b lavbalance.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return candidates
}

func (f *Fleet) newCandidate(document *lavconfig.Document, id lavid.BackendServerID, server Server, requirements Requirements, now time.Time) lavbalance.Candidate {
	row := document.BackendServers[id]
	limit := int(server.Load.GetLimit())
	if server.Load == nil {
		limit = row.MaxRunning
	}
	candidate := lavbalance.Candidate{
		ID:             id,
		DataCentre:     row.DataCentre,
		Running:        int(server.Load.GetRunning()),
		Waiting:        int(server.Load.GetWaiting()),
		Limit:          max(lavlimit.UsableLimit(limit, requirements.MayUseReserve), 1),
		ReportedAt:     server.Reported,
		OwnRunning:     server.InFlight,
		OwnSinceReport: server.StartedSinceReport,
		FirstToken:     time.Duration(server.Load.GetFirstTokenMicros()) * time.Microsecond,
		Distance:       f.distance(document, row.DataCentre),
		Cold:           server.Load.GetCold(),
		AdmittedShare:  lavbalance.RampShare(latest(server.ReturnedAt, server.Health.Returned), now),
	}
	if requirements.Prefix != 0 {
		candidate.CachedPrefix = f.prefixes.Probability(id, requirements.prefixKey(), now)
	}
	return candidate
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Fleet) distance(document *lavconfig.Document, other lavid.DataCentreID) lavbalance.Distance {
	switch {
	case other == f.dataCentre:
		return lavbalance.SameDataCentre
	case document.DataCentres[other].Region == document.DataCentres[f.dataCentre].Region:
		return lavbalance.SameRegion
	default:
		return lavbalance.OtherRegion
	}
}

func canServe(server Server, row lavconfig.BackendServer, version lavid.VersionID) bool {
	if server.Load.GetLeaving() {
		return false
	}
	if version == "" {
		return true
	}
	if server.Load != nil {
		return slices.Contains(server.Load.GetLoadedVersions(), string(version))
	}
	return slices.Contains(row.Versions, version)
}

// Pool sums the free capacity of the servers that meet some requirements.
type Pool struct {
	Servers int
	// FreeSlots is the number of further requests that the limits allow, without the reserved part.
	FreeSlots int
	// FreeSlotsWithReserve is FreeSlots with the reserved part of the limits included.
	FreeSlotsWithReserve int
	// Limit is the sum of the limits.
	Limit int
}

// Pool returns the free capacity of the servers that meet the requirements.
func (f *Fleet) Pool(document *lavconfig.Document, requirements Requirements, now time.Time) Pool {
	var pool Pool
	requirements.MayUseReserve = true
	for _, candidate := range f.Candidates(document, requirements, now) {
		limit := max(1, int(float64(candidate.Limit)*float64(candidate.AdmittedShare)))
		used := candidate.Running + candidate.Waiting + candidate.OwnSinceReport
		pool.Servers++
		pool.Limit += limit
		pool.FreeSlots += max(0, lavlimit.UsableLimit(limit, false)-used)
		pool.FreeSlotsWithReserve += max(0, limit-used)
	}
	return pool
}
