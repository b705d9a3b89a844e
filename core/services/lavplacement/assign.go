package lavplacement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Role is the part of requests that a model engine computes.
type Role string

// RoleMixed computes prompts and generates answers.
const RoleMixed Role = "Mixed"

// Assignment lists the versions that one backend server should hold, in order of preference.
type Assignment struct {
	Server   lavid.BackendServerID
	Versions []lavid.VersionID
	Role     Role
}

const (
	// MinServers is the lowest number of servers that a version is assigned to while memory suffices, in different data
	// centres where possible.
	MinServers = 2
	// minRollOutWeight is the smallest weight of a version under roll-out and of the version that it replaces.
	minRollOutWeight = 0.05
	// defaultMemory is the number of versions that fit in a server's memory if the configuration states none.
	defaultMemory = 1
)

// Assign returns the assignments of the live model engines, in order of their ids.
func Assign(document *lavconfig.Document, live []lavid.BackendServerID) []Assignment {
	engines := freeEngines(document, live)
	versions := weightedVersions(document)
	assigned := make(map[lavid.BackendServerID][]lavid.VersionID, len(engines))
	for _, version := range versions {
		assignMinimum(version, engines, assigned)
	}
	for _, engine := range engines {
		fillMemory(engine, versions, assigned)
	}
	assignments := configuredAssignments(document, live)
	for _, engine := range engines {
		assignments = append(assignments, Assignment{Server: engine.id, Versions: assigned[engine.id], Role: RoleMixed})
	}
	slices.SortFunc(assignments, func(a, b Assignment) int { return cmp.Compare(a.Server, b.Server) })
	return assignments
}

// ForServer returns the assignment of one backend server, which is empty if the server is not a live model engine.
func ForServer(assignments []Assignment, id lavid.BackendServerID) Assignment {
	index, ok := slices.BinarySearchFunc(assignments, id, func(a Assignment, id lavid.BackendServerID) int {
		return cmp.Compare(a.Server, id)
	})
	if !ok {
		return Assignment{Server: id, Role: RoleMixed}
	}
	return assignments[index]
}

// engine is a model engine and the number of versions that fit in its memory.
type engine struct {
	id         lavid.BackendServerID
	dataCentre lavid.DataCentreID
	memory     int
}

// freeEngines returns the live model engines in service whose versions the configuration does not list.
func freeEngines(document *lavconfig.Document, live []lavid.BackendServerID) []engine {
	var engines []engine
	for _, id := range live {
		row, ok := document.BackendServers[id]
		if !ok || row.Service != "" || len(row.Versions) > 0 || !inService(document, row) {
			continue
		}
		memory := row.MemoryVersions
		if memory <= 0 {
			memory = defaultMemory
		}
		engines = append(engines, engine{id: id, dataCentre: row.DataCentre, memory: memory})
	}
	slices.SortFunc(engines, func(a, b engine) int { return cmp.Compare(a.id, b.id) })
	return engines
}

// inService reports whether a server and its data centre are in service.
func inService(document *lavconfig.Document, row lavconfig.BackendServer) bool {
	return row.State == lavconfig.InService && document.DataCentres[row.DataCentre].State == lavconfig.InService
}

// configuredAssignments returns the assignments listed in the configuration, without withdrawn versions.
func configuredAssignments(document *lavconfig.Document, live []lavid.BackendServerID) []Assignment {
	var assignments []Assignment
	for _, id := range live {
		row, ok := document.BackendServers[id]
		if !ok || row.Service != "" || len(row.Versions) == 0 {
			continue
		}
		var kept []lavid.VersionID
		for _, version := range row.Versions {
			if inUse(document, version) {
				kept = append(kept, version)
			}
		}
		assignments = append(assignments, Assignment{Server: id, Versions: kept, Role: RoleMixed})
	}
	return assignments
}

// inUse reports whether a version exists and is not withdrawn.
func inUse(document *lavconfig.Document, id lavid.VersionID) bool {
	version, ok := document.Versions[id]
	return ok && version.State != lavconfig.VersionWithdrawn
}

// weightedVersion is a version and its weight in the placement, 1 by default.
type weightedVersion struct {
	version lavid.VersionID
	weight  float64
}

// weightedVersions returns the versions in use with their weights. The weight of a version under roll-out is taken
// from the version that it replaces.
func weightedVersions(document *lavconfig.Document) []weightedVersion {
	weights := make(map[lavid.VersionID]float64, len(document.Versions))
	for id := range document.Versions {
		if inUse(document, id) {
			weights[id]++
		}
	}
	for id, version := range document.Versions {
		if version.State != lavconfig.VersionRollingOut {
			continue
		}
		share := math.Max(minRollOutWeight, float64(version.MaxShare))
		weights[id] = share
		if _, ok := weights[version.Replaces]; ok {
			weights[version.Replaces] = math.Max(minRollOutWeight, 1-share)
		}
	}
	versions := make([]weightedVersion, 0, len(weights))
	for id, weight := range weights {
		versions = append(versions, weightedVersion{version: id, weight: weight})
	}
	slices.SortFunc(versions, func(a, b weightedVersion) int { return cmp.Compare(a.version, b.version) })
	return versions
}

// assignMinimum assigns a version to MinServers servers, those with the highest scores first, in different data
// centres as far as possible.
func assignMinimum(version weightedVersion, engines []engine, assigned map[lavid.BackendServerID][]lavid.VersionID) {
	ranked := slices.Clone(engines)
	slices.SortFunc(ranked, func(a, b engine) int {
		return cmp.Compare(score(version, b.id), score(version, a.id))
	})
	usedCentres := make(map[lavid.DataCentreID]bool)
	placed := 0
	for _, sameCentre := range []bool{false, true} {
		for _, candidate := range ranked {
			full := len(assigned[candidate.id]) >= candidate.memory
			if placed >= MinServers || full || usedCentres[candidate.dataCentre] != sameCentre {
				continue
			}
			if slices.Contains(assigned[candidate.id], version.version) {
				continue
			}
			assigned[candidate.id] = append(assigned[candidate.id], version.version)
			usedCentres[candidate.dataCentre] = true
			placed++
		}
	}
}

// fillMemory assigns the versions with the highest scores on a server to its remaining memory.
func fillMemory(server engine, versions []weightedVersion, assigned map[lavid.BackendServerID][]lavid.VersionID) {
	ranked := slices.Clone(versions)
	slices.SortFunc(ranked, func(a, b weightedVersion) int {
		return cmp.Compare(score(b, server.id), score(a, server.id))
	})
	for _, version := range ranked {
		if len(assigned[server.id]) >= server.memory {
			return
		}
		if !slices.Contains(assigned[server.id], version.version) {
			assigned[server.id] = append(assigned[server.id], version.version)
		}
	}
}

// score is a weighted rendezvous hash: each version has the highest score on a share of the servers in proportion
// to its weight.
func score(version weightedVersion, server lavid.BackendServerID) float64 {
	hash := xxhash.Sum64String(string(version.version) + "\x00" + string(server))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -version.weight / math.Log(uniform)
}
