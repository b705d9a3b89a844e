package lavconfig

import (
	"lavenderswitch/core/models/lavid"
)

// Document is one numbered configuration; its tables are keyed by name so that patches can address rows.
type Document struct {
	Number         lavid.ConfigNumber
	ClientAccounts map[lavid.AccountID]ClientAccount
	Versions       map[lavid.VersionID]Version
	Services       map[lavid.ServiceID]Service
	DataCentres    map[lavid.DataCentreID]DataCentre
	BackendServers map[lavid.BackendServerID]BackendServer
}

// ClientAccount states what one client account may use.
type ClientAccount struct {
	// KeyHashes holds SHA-256 hashes of the account's API keys in hexadecimal.
	KeyHashes       []string
	AllowedVersions []lavid.VersionID
	AllowedServices []lavid.ServiceID
	QualityTarget   lavid.Quality
	// Weight is the account's part in fair queueing, relative to other accounts.
	Weight float64
	// MaxConcurrent limits the requests of the account in progress at one entry host.
	MaxConcurrent int
	// MaxBodyBytes limits the body of one request.
	MaxBodyBytes int64
}

// VersionState is where a version stands in its life.
type VersionState string

// The states of a version; a withdrawn one receives no new work.
const (
	VersionServing    VersionState = "Serving"
	VersionRollingOut VersionState = "RollingOut"
	VersionWithdrawn  VersionState = "Withdrawn"
)

// Version is one version of a model.
type Version struct {
	Model lavid.ModelID
	State VersionState
	// MaxShare caps the new sessions of the model that a version under roll-out may take.
	MaxShare lavid.Share
	// Replaces names the version that a roll-out is compared with.
	Replaces lavid.VersionID
	// InputPrice and OutputPrice are per token.
	InputPrice  lavid.NanoUnits
	OutputPrice lavid.NanoUnits
	// ExpectedQuality is assumed until ratings say otherwise.
	ExpectedQuality lavid.Quality
}

// Service is a plain service.
type Service struct {
	Calls map[lavid.CallID]Call
}

// Call is one call of a plain service.
type Call struct {
	Method string
	Path   string
	// Idempotent says that the call may be repeated freely; any other runs at most once.
	Idempotent bool
	Price      lavid.NanoUnits
}

// ServingState says whether a data centre or a backend server takes new work.
type ServingState string

// The states of data centres and backend servers.
const (
	InService    ServingState = "InService"
	OutOfService ServingState = "OutOfService"
)

// DataCentre is a data centre.
type DataCentre struct {
	Region lavid.Region
	State  ServingState
}

// BackendServer is one replica of a model engine or of a plain service.
type BackendServer struct {
	DataCentre lavid.DataCentreID
	// SideAddress is where the side process of the server listens, as IP:port.
	SideAddress string
	State       ServingState
	// Service names the plain service; empty for a model engine.
	Service lavid.ServiceID
	// Versions may be loaded by a model engine; empty leaves the choice to placement.
	Versions []lavid.VersionID
	// MemoryVersions is how many versions fit into the engine at once.
	MemoryVersions int
	// Fenced says that the engine refuses orders with an old fencing epoch.
	Fenced bool
	// MaxRunning bounds the requests in progress that the server can ever bear.
	MaxRunning int
}
