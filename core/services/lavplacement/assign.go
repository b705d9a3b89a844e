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
	// MinReplicas of each version are assigned, in different data centres where there are several.
	MinReplicas = 2
	// minWeight is the least part of a version under roll-out.
	minWeight = 0.05
	// defaultMemory is the number of versions that fit when the configuration states none.
	defaultMemory = 1
)

// Assign returns the assignment of every live model engine, in order of ids.
func Assign(document *lavconfig.Document, live []lavid.BackendServerID) []Assignment {
	engines := freeEngines(document, live)
	versions := neededVersions(document)
	held := make(map[lavid.BackendServerID][]lavid.VersionID, len(engines))
	for _, version := range versions {
		guarantee(version, engines, held)
	}
	for _, engine := range engines {
		fill(engine, versions, held)
	}
	assignments := fixed(document, live)
	for _, engine := range engines {
		assignments = append(assignments, Assignment{Server: engine.id, Versions: held[engine.id], Role: RoleMixed})
	}
	slices.SortFunc(assignments, func(a, b Assignment) int { return cmp.Compare(a.Server, b.Server) })
	return assignments
}

// Of returns the assignment of one backend server; it is empty when the server is not a live model engine.
func Of(assignments []Assignment, id lavid.BackendServerID) Assignment {
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
func fixed(document *lavconfig.Document, live []lavid.BackendServerID) []Assignment {
	var assignments []Assignment
	for _, id := range live {
		row, ok := document.BackendServers[id]
		if !ok || row.Service != "" || len(row.Versions) == 0 {
			continue
		}
		var kept []lavid.VersionID
		for _, version := range row.Versions {
			if wanted(document, version) {
				kept = append(kept, version)
			}
		}
		assignments = append(assignments, Assignment{Server: id, Versions: kept, Role: RoleMixed})
	}
	return assignments
}

func wanted(document *lavconfig.Document, id lavid.VersionID) bool {
	version, ok := document.Versions[id]
	return ok && version.State != lavconfig.VersionWithdrawn
}

type need struct {
	version lavid.VersionID
	weight  float64
}

// neededVersions returns the versions in use with their weights; a roll-out takes its weight from the version it replaces.
func neededVersions(document *lavconfig.Document) []need {
	weights := make(map[lavid.VersionID]float64, len(document.Versions))
	for id := range document.Versions {
		if wanted(document, id) {
			weights[id]++
		}
	}
	for id, version := range document.Versions {
		if version.State != lavconfig.VersionRollingOut {
			continue
		}
		share := math.Max(minWeight, float64(version.MaxShare))
		weights[id] = share
		if _, ok := weights[version.Replaces]; ok {
			weights[version.Replaces] = math.Max(minWeight, 1-share)
		}
	}
	needs := make([]need, 0, len(weights))
	for id, weight := range weights {
		needs = append(needs, need{version: id, weight: weight})
	}
	slices.SortFunc(needs, func(a, b need) int { return cmp.Compare(a.version, b.version) })
	return needs
}

// guarantee gives a version its least replicas on the servers that score highest, in different data centres first.
func guarantee(version need, engines []engine, held map[lavid.BackendServerID][]lavid.VersionID) {
	ranked := slices.Clone(engines)
	slices.SortFunc(ranked, func(a, b engine) int {
		return cmp.Compare(score(version, b.id), score(version, a.id))
	})
	used := make(map[lavid.DataCentreID]bool)
	placed := 0
	for _, repeat := range []bool{false, true} {
		for _, candidate := range ranked {
			full := len(held[candidate.id]) >= candidate.memory
			if placed >= MinReplicas || full || used[candidate.dataCentre] != repeat {
				continue
			}
			if slices.Contains(held[candidate.id], version.version) {
				continue
			}
			held[candidate.id] = append(held[candidate.id], version.version)
			used[candidate.dataCentre] = true
			placed++
		}
	}
}

// fill gives a server's remaining memory to the versions that score highest there.
func fill(candidate engine, versions []need, held map[lavid.BackendServerID][]lavid.VersionID) {
	ranked := slices.Clone(versions)
	slices.SortFunc(ranked, func(a, b need) int {
		return cmp.Compare(score(b, candidate.id), score(a, candidate.id))
	})
	for _, version := range ranked {
		if len(held[candidate.id]) >= candidate.memory {
			return
		}
		if !slices.Contains(held[candidate.id], version.version) {
			held[candidate.id] = append(held[candidate.id], version.version)
		}
	}
}

// score is a weighted rendezvous score: a version is the highest on a part of the servers in proportion to its weight.
func score(version need, server lavid.BackendServerID) float64 {
	hash := xxhash.Sum64String(string(version.version) + "\x00" + string(server))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -version.weight / math.Log(uniform)
}
