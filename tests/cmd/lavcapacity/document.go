package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// The sizes that the system is designed for.
const (
	designServers     = 600
	designVersions    = 15
	designAccounts    = 60
	designDataCentres = 5
)

// document returns a configuration with the given numbers of backend servers, client accounts and versions.
func document(servers, accounts, versions int) *lavconfig.Document {
	d := &lavconfig.Document{
		Number:         1,
		ClientAccounts: make(map[lavid.AccountID]lavconfig.ClientAccount, accounts),
		Versions:       make(map[lavid.VersionID]lavconfig.Version, versions),
		Services:       map[lavid.ServiceID]lavconfig.Service{"claims": {Calls: map[lavid.CallID]lavconfig.Call{"submit": {Method: "POST", Path: "/submit"}}}},
		DataCentres:    make(map[lavid.DataCentreID]lavconfig.DataCentre, designDataCentres),
		BackendServers: make(map[lavid.BackendServerID]lavconfig.BackendServer, servers),
	}
	for i := range designDataCentres {
		d.DataCentres[dataCentreID(i)] = lavconfig.DataCentre{Region: "region", State: lavconfig.InService}
	}
	var all []lavid.VersionID
	for i := range versions {
		id := lavid.VersionID(fmt.Sprintf("drafting-%d-v%d", i/3, i%3))
		all = append(all, id)
		d.Versions[id] = lavconfig.Version{Model: "drafting", State: lavconfig.VersionServing, InputPrice: 100, OutputPrice: 200, ExpectedQuality: 0.9}
	}
	for i := range accounts {
		d.ClientAccounts[lavid.AccountID(fmt.Sprintf("account-%03d", i))] = lavconfig.ClientAccount{
			KeyHashes: []string{keyHash(i)}, AllowedVersions: all, AllowedServices: []lavid.ServiceID{"claims"},
			QualityTarget: 0.9, Weight: 1, MaxConcurrent: 200, MaxBodyBytes: 1 << 20,
		}
	}
	for i := range servers {
		d.BackendServers[lavid.BackendServerID(fmt.Sprintf("engine-%04d", i))] = lavconfig.BackendServer{
			DataCentre: dataCentreID(i), SideAddress: fmt.Sprintf("10.%d.%d.%d:7301", i%5, i/250, i%250), State: lavconfig.InService,
			MemoryVersions: 2, MaxRunning: 64,
		}
	}
	return d
}

func dataCentreID(index int) lavid.DataCentreID {
	return lavid.DataCentreID(fmt.Sprintf("centre-%d", index%designDataCentres))
}

// keyHash returns the hash of the API key of the client account with the given index.
func keyHash(i int) string {
	sum := sha256.Sum256([]byte(fmt.Sprint("key", i)))
	return hex.EncodeToString(sum[:])
}
