package lavcluster

import (
	"lavenderswitch/core/models/lavid"
)

// The names of the fleet that every case uses.
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

	AccountBothVersions lavid.AccountID = "donativa"
	AccountOneVersion   lavid.AccountID = "tavares"

	nameRelay    = "relay"
	namePlatform = "platform"
)

// Entries lists the entry hosts.
func Entries() []string { return []string{Entry1, Entry2} }

// Engines lists the model engines.
func Engines() []string { return []string{Engine1, Engine2} }

// Services lists the plain services.
func Services() []string { return []string{Claims1, Claims2} }

// Backends lists all backend servers.
func Backends() []string { return append(Engines(), Services()...) }

// SideOf names the side process of a backend server.
func SideOf(backend string) string { return backend + "-side" }

// DataCentreOf returns where a host stands: those numbered 1 in the first data centre.
func DataCentreOf(host string) lavid.DataCentreID {
	switch host {
	case Entry1, Engine1, Claims1:
		return DataCentre1
	default:
		return DataCentre2
	}
}

// Hop is one kind of connection.
type Hop string

// The hops, each from the one that dials to the one that answers.
const (
	HopCallers      Hop = "caller-entry"
	HopSides        Hop = "entry-side"
	HopBackends     Hop = "side-backend"
	HopEntryStore   Hop = "entry-platform"
	HopSideStore    Hop = "side-platform"
	HopPeers        Hop = "entry-entry"
	routesSeparator     = " "
)

// route names the relay route of a hop at one host: the entry host, backend server or peer that it belongs to.
func routeName(hop Hop, host string) string {
	return string(hop) + routesSeparator + host
}

// versionsOf returns the versions that an account may use.
func allowedVersions(account lavid.AccountID) []lavid.VersionID {
	if account == AccountOneVersion {
		return []lavid.VersionID{Version2}
	}
	return []lavid.VersionID{Version1, Version2}
}

// Allowed tells whether an account may use a version.
func IsAllowed(account lavid.AccountID, version lavid.VersionID) bool {
	for _, allowed := range allowedVersions(account) {
		if allowed == version {
			return true
		}
	}
	return false
}

// CallerKey returns the API key of an account.
func CallerKey(account lavid.AccountID) string { return "key-of-" + string(account) }

// OperatorKey is the key of the operators' interface.
const OperatorKey = "key-of-operators"
