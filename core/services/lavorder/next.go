package lavorder

import (
	"slices"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavplacement"
)

// Next returns the next step of a backend server towards its assigned versions. A server of a plain service, or one that
// the configuration lacks, has no step.
//
// A withdrawn version is unloaded first, as soon as no request runs on it, even when its memory is not needed.
func Next(document *lavconfig.Document, server lavid.BackendServerID, live []lavid.BackendServerID, observed lavplacement.Observed, warm lavplacement.WarmCounter) lavplacement.Step {
	row, ok := document.BackendServers[server]
	if !ok || row.Service != "" {
		return lavplacement.Step{Kind: lavplacement.StepNone}
	}
	observed.Withdrawn = withdrawn(document, observed.Loaded)
	observed.Memory = row.MemoryVersions
	for _, version := range observed.Withdrawn {
		if !slices.Contains(observed.Running, version) {
			return lavplacement.Step{Kind: lavplacement.StepUnload, Version: version}
		}
	}
	assignment := lavplacement.ForServer(lavplacement.Assign(document, live), server)
	if len(assignment.Versions) == 0 {
		return lavplacement.Step{Kind: lavplacement.StepNone}
	}
	return lavplacement.Next(assignment, observed, row.DataCentre, warm)
}

// withdrawn returns the loaded versions that the configuration has withdrawn.
func withdrawn(document *lavconfig.Document, loaded []lavid.VersionID) []lavid.VersionID {
	var found []lavid.VersionID
	for _, version := range loaded {
		row, ok := document.Versions[version]
		if ok && row.State == lavconfig.VersionWithdrawn {
			found = append(found, version)
		}
	}
	return found
}

// Live returns the backend servers that can hold versions, ordered by id: those on the host list, or all of the
// configuration while the list is empty, in both cases without those that are leaving.
func Live(document *lavconfig.Document, listed, leaving []lavid.BackendServerID) []lavid.BackendServerID {
	live := make([]lavid.BackendServerID, 0, len(document.BackendServers))
	for id := range document.BackendServers {
		if (len(listed) == 0 || slices.Contains(listed, id)) && !slices.Contains(leaving, id) {
			live = append(live, id)
		}
	}
	slices.Sort(live)
	return live
}
