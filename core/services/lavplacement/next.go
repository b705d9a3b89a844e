package lavplacement

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// StepKind is the kind of a step.
type StepKind string

// The kinds of steps.
const (
	// StepNone means that the server holds its assignment.
	StepNone StepKind = "None"
	// StepLoad loads a version.
	StepLoad StepKind = "Load"
	// StepUnload unloads a version.
	StepUnload StepKind = "Unload"
	// StepSetRole sets the role of the engine.
	StepSetRole StepKind = "SetRole"
	// StepWait means that no order can be given now.
	StepWait StepKind = "Wait"
)

// Step is one order and the slot that must be held while it runs.
type Step struct {
	Kind    StepKind
	Version lavid.VersionID
	Role    Role
	// Slot names the row of the table service to acquire first; empty if none is needed.
	Slot string
}

// Observed is the reported state of one model engine.
type Observed struct {
	Loaded  []lavid.VersionID
	Loading []lavid.VersionID
	// Role is empty if the engine did not report one.
	Role Role
	// Memory is the number of versions that fit; values below one count as one.
	Memory int
	// Running lists the versions with requests in progress.
	Running []lavid.VersionID
	// Withdrawn lists the loaded versions that are withdrawn and get no new requests.
	Withdrawn []lavid.VersionID
}

// WarmCounter counts the other backend servers that hold a version and accept new requests.
type WarmCounter interface {
	// Others returns the number of other warm servers of a version.
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

// firstMissing returns the first assigned version that is neither loaded nor loading.
func firstMissing(assignment Assignment, observed Observed) (lavid.VersionID, bool) {
	for _, version := range assignment.Versions {
		if !slices.Contains(observed.Loaded, version) && !slices.Contains(observed.Loading, version) {
			return version, true
		}
	}
	return "", false
}

// freeMemory returns the step that unloads a version outside the assignment, if it has no requests in progress and
// either is withdrawn or has MinServers other warm servers. Otherwise the server waits.
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

// LoadSlots is the number of versions that may load at once in a data centre. It is the number that the weight store
// can serve.
const LoadSlots = 4

// LoadSlot names the slot that a server must hold to load a version. Slots limit the loads at once in a data
// centre.
func LoadSlot(dataCentre lavid.DataCentreID, server lavid.BackendServerID) string {
	return fmt.Sprintf("load/%s/%d", dataCentre, xxhash.Sum64String(string(server))%LoadSlots)
}

// UnloadSlot names the slot that a server must hold to unload a version. Only one server at a time may unload it.
func UnloadSlot(version lavid.VersionID) string {
	return "unload/" + string(version)
}
