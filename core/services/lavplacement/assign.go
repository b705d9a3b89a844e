package lavplacement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Role is what a model engine does with the requests that it is sent.
type Role string

// RoleMixed computes prompts and generates answers.
const RoleMixed Role = "Mixed"

// Assignment is what one backend server should hold, in order of preference.
type Assignment struct {
	Server   lavid.BackendServerID
	Versions []lavid.VersionID
	Role     Role
}

const (
	// MinServers of each version are assigned, in different data centres where there are several.
	MinServers = 2
	// minWeight is the least part of a version under roll-out.
	minRollOutWeight = 0.05
	// defaultMemory is the number of versions that fit when the configuration states none.
	defaultMemory = 1
)

// Assign returns the assignment of every live model engine, in order of ids.
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

// ForServer returns the assignment of one backend server; it is empty when the server is not a live model engine.
func ForServer(assignments []Assignment, id lavid.BackendServerID) Assignment {
	index, ok := slices.BinarySearchFunc(assignments, id, func(a Assignment, id lavid.BackendServerID) int {
		return cmp.Compare(a.Server, id)
	})
	if !ok {
		return Assignment{Server: id, Role: RoleMixed}
	}
	return assignments[index]
}

type engine struct {
	id         lavid.BackendServerID
	dataCentre lavid.DataCentreID
	memory     int
}

// freeEngines returns the live model engines whose versions the configuration leaves open.
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

func inService(document *lavconfig.Document, row lavconfig.BackendServer) bool {
	return row.State == lavconfig.InService && document.DataCentres[row.DataCentre].State == lavconfig.InService
}

// fixed returns the assignments that the configuration states itself, without withdrawn versions.
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

func inUse(document *lavconfig.Document, id lavid.VersionID) bool {
	version, ok := document.Versions[id]
	return ok && version.State != lavconfig.VersionWithdrawn
}

type weightedVersion struct {
	version lavid.VersionID
	weight  float64
}

// neededVersions returns the versions in use with their weights; a roll-out takes its weight from the version it replaces.
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

// guarantee gives a version its least replicas on the servers that score highest, in different data centres first.
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

// fill gives a server's remaining memory to the versions that score highest there.
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

// score is a weighted rendezvous score: a version is the highest on a part of the servers in proportion to its weight.
func score(version weightedVersion, server lavid.BackendServerID) float64 {
	hash := xxhash.Sum64String(string(version.version) + "\x00" + string(server))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -version.weight / math.Log(uniform)
}
