package lavchange

import (
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Operation is one operation of a JSON patch (RFC 6902). Path is a JSON pointer.
type Operation struct {
	Op    string `json:"op"`
	Path  string `json:"path"`
	Value any    `json:"value"`
}

// Rollout describes a version to roll out. A price or quality of zero is taken from the replaced version.
type Rollout struct {
	Version     lavid.VersionID
	Replaces    lavid.VersionID
	Share       lavid.Share
	InputPrice  lavid.NanoUnits
	OutputPrice lavid.NanoUnits
	Quality     lavid.Quality
}

// StartRollout returns the patch that adds a version beside the one it replaces, for every client account and backend
// server that has the replaced version. It fails when the replaced version is missing or the new one exists.
func StartRollout(document *lavconfig.Document, rollout Rollout) ([]Operation, error) {
	replaced, ok := document.Versions[rollout.Replaces]
	if !ok {
		return nil, errors.Errorf("configuration %d has no version %s; give the version that is serving with --replaces", document.Number, rollout.Replaces)
	}
	if _, ok := document.Versions[rollout.Version]; ok {
		return nil, errors.Errorf("configuration %d already has version %s; use rollout widen", document.Number, rollout.Version)
	}
	row := lavconfig.Version{
		Model:           replaced.Model,
		State:           lavconfig.VersionRollingOut,
		MaxShare:        rollout.Share,
		Replaces:        rollout.Replaces,
		InputPrice:      valueOr(rollout.InputPrice, replaced.InputPrice),
		OutputPrice:     valueOr(rollout.OutputPrice, replaced.OutputPrice),
		ExpectedQuality: valueOr(rollout.Quality, replaced.ExpectedQuality),
	}
	operations := []Operation{{"add", "/Versions/" + escape(rollout.Version), row}}
	for _, id := range slices.Sorted(maps.Keys(document.ClientAccounts)) {
		if slices.Contains(document.ClientAccounts[id].AllowedVersions, rollout.Replaces) {
			operations = append(operations, Operation{"add", "/ClientAccounts/" + escape(id) + "/AllowedVersions/-", rollout.Version})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(document.BackendServers)) {
		if slices.Contains(document.BackendServers[id].Versions, rollout.Replaces) {
			operations = append(operations, Operation{"add", "/BackendServers/" + escape(id) + "/Versions/-", rollout.Version})
		}
	}
	return operations, nil
}

// WidenRollout returns the patch that sets the share of a version. It fails unless the version is rolling out.
func WidenRollout(document *lavconfig.Document, version lavid.VersionID, share lavid.Share) ([]Operation, error) {
	row, ok := document.Versions[version]
	if !ok || row.State != lavconfig.VersionRollingOut {
		return nil, errors.Errorf("version %s is not rolling out in configuration %d; see lavenderctl rollout list", version, document.Number)
	}
	return []Operation{{"replace", "/Versions/" + escape(version) + "/MaxShare", share}}, nil
}

// SetVersion returns the patch that sets the state of a version. It fails when the version is missing or has that
// state.
func SetVersion(document *lavconfig.Document, version lavid.VersionID, state lavconfig.VersionState) ([]Operation, error) {
	row, ok := document.Versions[version]
	if !ok {
		return nil, errors.Errorf("configuration %d has no version %s; see lavenderctl rollout list", document.Number, version)
	}
	if row.State == state {
		return nil, errors.Errorf("version %s is already %s in configuration %d", version, state, document.Number)
	}
	return []Operation{{"replace", "/Versions/" + escape(version) + "/State", state}}, nil
}

// SetDataCentre returns the patch that sets the state of a data centre. It fails when the data centre is missing or has
// that state.
func SetDataCentre(document *lavconfig.Document, id lavid.DataCentreID, state lavconfig.ServingState) ([]Operation, error) {
	row, ok := document.DataCentres[id]
	if !ok {
		return nil, errors.Errorf("configuration %d has no data centre %s; see lavenderctl config get", document.Number, id)
	}
	if row.State == state {
		return nil, errors.Errorf("data centre %s is already %s in configuration %d", id, state, document.Number)
	}
	return []Operation{{"replace", "/DataCentres/" + escape(id) + "/State", state}}, nil
}

// SetServer returns the patch that sets the state of a backend server. It fails when the backend server is missing or
// has that state.
func SetServer(document *lavconfig.Document, id lavid.BackendServerID, state lavconfig.ServingState) ([]Operation, error) {
	row, ok := document.BackendServers[id]
	if !ok {
		return nil, errors.Errorf("configuration %d has no backend server %s; see lavenderctl fleet", document.Number, id)
	}
	if row.State == state {
		return nil, errors.Errorf("backend server %s is already %s in configuration %d", id, state, document.Number)
	}
	return []Operation{{"replace", "/BackendServers/" + escape(id) + "/State", state}}, nil
}

// valueOr returns value, or fallback when value is zero.
func valueOr[Value comparable](value, fallback Value) Value {
	var zero Value
	if value == zero {
		return fallback
	}
	return value
}

// escape returns an id as one token of a JSON pointer (RFC 6901).
func escape[ID ~string](id ID) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(string(id))
}
