package lavcluster

import (
	"lavenderswitch/core/models/lavid"
)

// The names in the fleet. Every fleet has the same topology.
const (
	DataCentre1 lavid.DataCentreID = "dc-1"
	DataCentre2 lavid.DataCentreID = "dc-2"

	Entry1 = "entry-1"
	Entry2 = "entry-2"

	Engine1 = "engine-1"
	Engine2 = "engine-2"
	Claims1 = "claims-1"
	Claims2 = "claims-2"

	Version1 lavid.VersionID = "small-1"
	Version2 lavid.VersionID = "small-2"

	// AccountBothVersions may use Version1 and Version2, AccountOneVersion only Version2.
	AccountBothVersions lavid.AccountID = "both-versions"
	AccountOneVersion   lavid.AccountID = "one-version"

	nameRelay    = "relay"
	namePlatform = "platform"
)

// Entries returns the names of the entry hosts.
func Entries() []string { return []string{Entry1, Entry2} }

// Engines returns the names of the model engines.
func Engines() []string { return []string{Engine1, Engine2} }

// Services returns the names of the backend servers that run a plain service.
func Services() []string { return []string{Claims1, Claims2} }

// Backends returns the names of all backend servers.
func Backends() []string { return append(Engines(), Services()...) }

// SideOf returns the name of a backend server's side process.
func SideOf(backend string) string { return backend + "-side" }

// DataCentreOf returns the data centre of an entry host or backend server: DataCentre1 for the first of each kind,
// DataCentre2 for the others.
func DataCentreOf(host string) lavid.DataCentreID {
	switch host {
	case Entry1, Engine1, Claims1:
		return DataCentre1
	default:
		return DataCentre2
	}
}

// Hop is a kind of connection between two processes.
type Hop string

// The hops. Each value names the process that dials, then the one that accepts.
const (
	HopCallers         Hop = "caller-entry"
	HopSides           Hop = "entry-side"
	HopBackends        Hop = "side-backend"
	HopEntryStore      Hop = "entry-platform"
	HopSideStore       Hop = "side-platform"
	HopPeers           Hop = "entry-entry"
	routeNameSeparator     = " "
)

// routeName returns the name of the relay route of a hop. The host is the entry host, backend server or peer that the
// route belongs to.
func routeName(hop Hop, host string) string {
	return string(hop) + routeNameSeparator + host
}

// allowedVersions returns the versions that a client account may use.
func allowedVersions(account lavid.AccountID) []lavid.VersionID {
	if account == AccountOneVersion {
		return []lavid.VersionID{Version2}
	}
	return []lavid.VersionID{Version1, Version2}
}

// IsAllowed reports whether a client account may use a version.
func IsAllowed(account lavid.AccountID, version lavid.VersionID) bool {
	for _, allowed := range allowedVersions(account) {
		if allowed == version {
			return true
		}
	}
	return false
}

// CallerKey returns the API key of a client account.
func CallerKey(account lavid.AccountID) string { return "key-of-" + string(account) }

// OperatorKey is the API key of the operators' interface.
const OperatorKey = "key-of-operators"
