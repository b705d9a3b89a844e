package lavconfig

import (
	"lavenderswitch/core/models/lavid"
)

// Document is one numbered configuration. Its tables are keyed by name so that patches can address single rows.
type Document struct {
	Number         lavid.ConfigNumber
	ClientAccounts map[lavid.AccountID]ClientAccount
	Versions       map[lavid.VersionID]Version
	Services       map[lavid.ServiceID]Service
	DataCentres    map[lavid.DataCentreID]DataCentre
	BackendServers map[lavid.BackendServerID]BackendServer
}

// ClientAccount holds the keys, permissions and limits of one client account.
type ClientAccount struct {
	// KeyHashes holds the SHA-256 hashes of the account's API keys in hexadecimal.
	KeyHashes       []string
	AllowedVersions []lavid.VersionID
	AllowedServices []lavid.ServiceID
	QualityTarget   lavid.Quality
	// Weight is the account's weight in fair queueing, relative to the other accounts. Zero counts as one.
	Weight float64
	// MaxConcurrent is the maximum number of the account's requests in progress at one entry host. Zero means no limit.
	MaxConcurrent int
	// MaxBodyBytes is the maximum size of one request body. Zero means the default of the entry hosts.
	MaxBodyBytes int64
}

// VersionState is the roll-out state of a model version.
type VersionState string

// The states of a version. A withdrawn version receives no new requests.
const (
	VersionServing    VersionState = "Serving"
	VersionRollingOut VersionState = "RollingOut"
	VersionWithdrawn  VersionState = "Withdrawn"
)

// Version is one version of a model.
type Version struct {
	Model lavid.ModelID
	State VersionState
	// MaxShare is the maximum share of the model's new sessions that a version being rolled out may receive.
	MaxShare lavid.Share
	// Replaces is the version that a version being rolled out is compared with.
	Replaces lavid.VersionID
	// InputPrice and OutputPrice are prices per token.
	InputPrice  lavid.NanoUnits
	OutputPrice lavid.NanoUnits
	// ExpectedQuality is the prior estimate of the quality, used until enough ratings exist.
	ExpectedQuality lavid.Quality
}

// Service is a plain service, as opposed to a model.
type Service struct {
	Calls map[lavid.CallID]Call
}

// Call is one operation of a plain service.
type Call struct {
	Method string
	Path   string
	// Idempotent reports whether the call may be repeated. Any other call runs at most once.
	Idempotent bool
	Price      lavid.NanoUnits
}

// ServingState states whether a data centre or a backend server takes new requests.
type ServingState string

// The states of data centres and backend servers.
const (
	InService    ServingState = "InService"
	OutOfService ServingState = "OutOfService"
)

// DataCentre holds the region and the state of a data centre.
type DataCentre struct {
	Region lavid.Region
	State  ServingState
}

// BackendServer is one server of a model engine or of a plain service.
type BackendServer struct {
	DataCentre lavid.DataCentreID
	// SideAddress is the listening address of the server's side process, as IP:port.
	SideAddress string
	State       ServingState
	// Service names the plain service that the server runs. It is empty for a model engine.
	Service lavid.ServiceID
	// Versions lists the versions that a model engine may load. If empty, placement chooses among all versions.
	Versions []lavid.VersionID
	// MemoryVersions is the number of versions that fit into the engine's memory at once. Zero counts as one.
	MemoryVersions int
	// Fenced reports whether the engine refuses orders with an old fencing epoch.
	Fenced bool
	// MaxRunning is the largest number of requests in progress that the server can sustain.
	MaxRunning int
}
