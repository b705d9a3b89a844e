package lavcluster

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// entrySettings is the content of the settings file of an entry host.
type entrySettings struct {
	HostID            string
	DataCentre        lavid.DataCentreID
	CallerAddress     string
	OperatorAddress   string
	PeerAddress       string
	PlatformAddress   string
	Seeds             []string
	OperatorKeyHashes []string
	RequestTimeout    string
	LogLevel          string
}

// sideSettings is the content of the settings file of a side process.
type sideSettings struct {
	HostID        string
	DataCentre    lavid.DataCentreID
	BackendServer string
	Address       string
	// AdminAddress is the listener that serves the state dump.
	AdminAddress      string
	OperatorKeyHashes []string
	BackendAddress    string
	PlatformAddress   string
	Seeds             []string
	LogLevel          string
}

// writeSettings writes a settings file and returns its path.
func writeSettings(dir, name string, settings any) (string, error) {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(dir, name+".json")
	return path, errors.Wrap(os.WriteFile(path, data, 0o600), "write settings")
}

// keyHash returns the hash under which settings and configurations store an API key.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// PathSubmit is the path of the call that may run at most once, PathStatus that of the idempotent call.
const (
	PathSubmit = "/services/claims/submit"
	PathStatus = "/services/claims/status"
)

const serviceClaims lavid.ServiceID = "claims"

// maxRunning limits the requests that a backend server runs at once.
const maxRunning = 16

// initialDocument returns the configuration that a new fleet starts with.
func (c *Cluster) initialDocument() lavconfig.Document {
	document := lavconfig.Document{
		ClientAccounts: make(map[lavid.AccountID]lavconfig.ClientAccount),
		Versions: map[lavid.VersionID]lavconfig.Version{
			Version1: {Model: "small", State: lavconfig.VersionServing, InputPrice: 1, OutputPrice: 2, ExpectedQuality: 0.9},
			Version2: {Model: "small", State: lavconfig.VersionServing, InputPrice: 3, OutputPrice: 4, ExpectedQuality: 0.9},
		},
		Services: map[lavid.ServiceID]lavconfig.Service{serviceClaims: {Calls: map[lavid.CallID]lavconfig.Call{
			"submit": {Method: "POST", Path: "/submit", Price: 100},
			"status": {Method: "POST", Path: "/status", Idempotent: true, Price: 1},
		}}},
		DataCentres: map[lavid.DataCentreID]lavconfig.DataCentre{
			DataCentre1: {Region: "test", State: lavconfig.InService},
			DataCentre2: {Region: "test", State: lavconfig.InService},
		},
		BackendServers: make(map[lavid.BackendServerID]lavconfig.BackendServer),
	}
	for _, account := range []lavid.AccountID{AccountBothVersions, AccountOneVersion} {
		document.ClientAccounts[account] = lavconfig.ClientAccount{
			KeyHashes:       []string{keyHash(CallerKey(account))},
			AllowedVersions: allowedVersions(account),
			AllowedServices: []lavid.ServiceID{serviceClaims},
			QualityTarget:   0.8,
		}
	}
	for _, backend := range Backends() {
		document.BackendServers[lavid.BackendServerID(backend)] = c.backendServerConfig(backend)
	}
	return document
}

func (c *Cluster) backendServerConfig(backend string) lavconfig.BackendServer {
	row := lavconfig.BackendServer{
		DataCentre:  DataCentreOf(backend),
		SideAddress: c.routes[routeName(HopSides, backend)].listen,
		State:       lavconfig.InService,
		MaxRunning:  maxRunning,
	}
	if backend == Claims1 || backend == Claims2 {
		row.Service = serviceClaims
		return row
	}
	row.Versions = []lavid.VersionID{Version1, Version2}
	return row
}
