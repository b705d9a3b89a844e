package lavplacement

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// StepKind says what a side process does next.
type StepKind string

// The steps.
const (
	// StepNone says that the server holds what it should.
	StepNone StepKind = "None"
	// StepLoad orders a version to be loaded.
	StepLoad StepKind = "Load"
	// StepUnload orders a version to be unloaded.
	StepUnload StepKind = "Unload"
	// StepSetRole orders a role.
	StepSetRole StepKind = "SetRole"
	// StepWait says that an order has to wait for other servers.
	StepWait StepKind = "Wait"
)

// Step is one order and the slot that has to be held while it runs.
type Step struct {
	Kind    StepKind
	Version lavid.VersionID
	Role    Role
	// Slot names the row of the table service to take first; empty when none is needed.
	Slot string
}

// Observed is the state of one model engine.
type Observed struct {
	Loaded  []lavid.VersionID
	Loading []lavid.VersionID
	Role    Role
	// Memory is the number of versions that fit.
	Memory int
	// Running lists the versions that answer requests now.
	Running []lavid.VersionID
	// Withdrawn lists the loaded versions that receive no new work.
	Withdrawn []lavid.VersionID
}

// WarmCounter counts the other backend servers that hold a version and take new work.
type WarmCounter interface {
	Others(version lavid.VersionID) int
}

// Next returns the next step of a server towards its assignment.
func Next(assignment Assignment, observed Observed, dataCentre lavid.DataCentreID, warm WarmCounter) Step {
	if assignment.Role != observed.Role && observed.Role != "" {
		return Step{Kind: StepSetRole, Role: assignment.Role}
	}
	missing, ok := firstMissing(assignment, observed)
	if !ok {
		return Step{Kind: StepNone}
	}
	if len(observed.Loading) > 0 {
		return Step{Kind: StepWait, Version: missing}
	}
	if len(observed.Loaded) < max(observed.Memory, defaultMemory) {
		return Step{Kind: StepLoad, Version: missing, Slot: LoadSlot(dataCentre, assignment.Server)}
	}
	return freeMemory(assignment, observed, missing, warm)
}

func firstMissing(assignment Assignment, observed Observed) (lavid.VersionID, bool) {
	for _, version := range assignment.Versions {
		if !slices.Contains(observed.Loaded, version) && !slices.Contains(observed.Loading, version) {
			return version, true
		}
	}
	return "", false
}

// makeRoom unloads a version that the server need not hold, once enough others hold it.
func freeMemory(assignment Assignment, observed Observed, missing lavid.VersionID, warm WarmCounter) Step {
	for _, version := range observed.Loaded {
		if slices.Contains(assignment.Versions, version) || slices.Contains(observed.Running, version) {
			continue
		}
		if slices.Contains(observed.Withdrawn, version) || warm.Others(version) >= MinServers {
			return Step{Kind: StepUnload, Version: version, Slot: UnloadSlot(version)}
		}
	}
	return Step{Kind: StepWait, Version: missing}
}

// LoadSlots is the number of loads in a data centre that the weight store can feed at once.
const LoadSlots = 4

// LoadSlot names the slot that staggers the loads of a data centre.
func LoadSlot(dataCentre lavid.DataCentreID, server lavid.BackendServerID) string {
	return fmt.Sprintf("load/%s/%d", dataCentre, xxhash.Sum64String(string(server))%LoadSlots)
}

// UnloadSlot names the slot that lets one server at a time unload a version.
func UnloadSlot(version lavid.VersionID) string {
	return "unload/" + string(version)
}
