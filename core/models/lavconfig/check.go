package lavconfig

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavkey"
	"lavenderswitch/core/modules/lavsettings"
)

// checker collects the faults of one document.
type checker struct {
	lavsettings.Faults
	document *Document
}

// Check returns every fault of a document with its path, value and remedy. It returns no faults for a valid document.
func Check(document *Document) lavsettings.Faults {
	c := &checker{document: document}
	c.checkAccounts()
	c.checkVersions()
	c.checkServices()
	c.checkDataCentres()
	c.checkServers()
	return c.Faults
}

func (c *checker) checkAccounts() {
	owners := make(map[string]lavid.AccountID)
	for _, id := range sortedIDs(c.document.ClientAccounts) {
		account := c.document.ClientAccounts[id]
		path := pointer("ClientAccounts", id)
		c.AddUnless(id != "", path, id, "give the client account a name")
		c.checkKeys(path, id, account, owners)
		usable := len(account.AllowedVersions) + len(account.AllowedServices)
		c.AddUnless(usable > 0, path+"/AllowedVersions", account.AllowedVersions, "allow at least one version or service, or remove the client account")
		checkReferences(c, path+"/AllowedVersions", account.AllowedVersions, c.document.Versions)
		checkReferences(c, path+"/AllowedServices", account.AllowedServices, c.document.Services)
		c.checkShare(path+"/QualityTarget", float64(account.QualityTarget))
		c.AddUnless(account.Weight >= 0, path+"/Weight", account.Weight, "give a number of 0 or above")
		c.AddUnless(account.MaxConcurrent >= 0, path+"/MaxConcurrent", account.MaxConcurrent, "give a number of 0 or above")
		c.AddUnless(account.MaxBodyBytes >= 0, path+"/MaxBodyBytes", account.MaxBodyBytes, "give a number of 0 or above")
	}
}

func (c *checker) checkKeys(path string, id lavid.AccountID, account ClientAccount, owners map[string]lavid.AccountID) {
	for i, hash := range account.KeyHashes {
		path := fmt.Sprintf("%s/KeyHashes/%d", path, i)
		c.AddUnless(lavkey.IsHash(hash), path, hash, "give the SHA-256 hash in 64 lower-case hexadecimal digits; lavenderctl hash-key makes it")
		owner, taken := owners[hash]
		c.AddUnless(!taken, path, hash, fmt.Sprintf("give each key to one client account; %s has it already", owner))
		owners[hash] = id
	}
}

func (c *checker) checkVersions() {
	for _, id := range sortedIDs(c.document.Versions) {
		version := c.document.Versions[id]
		path := pointer("Versions", id)
		c.AddUnless(id != "", path, id, "give the version a name")
		c.AddUnless(version.Model != "", path+"/Model", version.Model, "name the model")
		checkOneOf(c, path+"/State", version.State, VersionServing, VersionRollingOut, VersionWithdrawn)
		c.checkShare(path+"/MaxShare", float64(version.MaxShare))
		c.checkShare(path+"/ExpectedQuality", float64(version.ExpectedQuality))
		c.AddUnless(version.InputPrice >= 0, path+"/InputPrice", version.InputPrice, "give a price of 0 or above")
		c.AddUnless(version.OutputPrice >= 0, path+"/OutputPrice", version.OutputPrice, "give a price of 0 or above")
		c.checkReplaces(path+"/Replaces", id, version)
	}
}

func (c *checker) checkReplaces(path string, id lavid.VersionID, version Version) {
	if version.Replaces == "" {
		return
	}
	replaced, ok := c.document.Versions[version.Replaces]
	c.AddUnless(ok && version.Replaces != id, path, version.Replaces, "name another version of the configuration")
	c.AddUnless(!ok || replaced.Model == version.Model, path, version.Replaces, "name a version of the same model")
}

var allowedMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

func (c *checker) checkServices() {
	for _, id := range sortedIDs(c.document.Services) {
		path := pointer("Services", id)
		c.AddUnless(id != "", path, id, "give the service a name")
		calls := c.document.Services[id].Calls
		for _, callID := range sortedIDs(calls) {
			call := calls[callID]
			path := path + pointer("Calls", callID)
			checkOneOf(c, path+"/Method", call.Method, allowedMethods...)
			c.AddUnless(strings.HasPrefix(call.Path, "/"), path+"/Path", call.Path, "give a path that begins with /")
			c.AddUnless(call.Price >= 0, path+"/Price", call.Price, "give a price of 0 or above")
		}
	}
}

func (c *checker) checkDataCentres() {
	for _, id := range sortedIDs(c.document.DataCentres) {
		path := pointer("DataCentres", id)
		c.AddUnless(id != "", path, id, "give the data centre a name")
		checkOneOf(c, path+"/State", c.document.DataCentres[id].State, InService, OutOfService)
	}
}

func (c *checker) checkServers() {
	owners := make(map[string]lavid.BackendServerID)
	for _, id := range sortedIDs(c.document.BackendServers) {
		server := c.document.BackendServers[id]
		path := pointer("BackendServers", id)
		c.AddUnless(id != "", path, id, "give the backend server a name")
		_, err := netip.ParseAddrPort(server.SideAddress)
		c.AddUnless(err == nil, path+"/SideAddress", server.SideAddress, "give IP:port of the side process")
		owner, taken := owners[server.SideAddress]
		c.AddUnless(!taken, path+"/SideAddress", server.SideAddress, fmt.Sprintf("give each side process one backend server; %s has this address", owner))
		owners[server.SideAddress] = id
		checkOneOf(c, path+"/State", server.State, InService, OutOfService)
		checkReferences(c, path+"/DataCentre", []lavid.DataCentreID{server.DataCentre}, c.document.DataCentres)
		checkReferences(c, path+"/Versions", server.Versions, c.document.Versions)
		if server.Service != "" {
			checkReferences(c, path+"/Service", []lavid.ServiceID{server.Service}, c.document.Services)
			c.AddUnless(len(server.Versions) == 0, path+"/Versions", server.Versions, "give a backend server a service or versions, not both")
		}
		c.AddUnless(server.MemoryVersions >= 0, path+"/MemoryVersions", server.MemoryVersions, "give a number of 0 or above")
		c.AddUnless(server.MaxRunning >= 1, path+"/MaxRunning", server.MaxRunning, "give the maximum number of requests in progress at the backend server, 1 or above")
	}
}

func (c *checker) checkShare(path string, value float64) {
	c.AddUnless(value >= 0 && value <= 1, path, value, "give a number from 0 to 1")
}

func checkOneOf[Value ~string](c *checker, path string, value Value, allowed ...Value) {
	names := make([]string, 0, len(allowed))
	for _, candidate := range allowed {
		names = append(names, string(candidate))
	}
	c.AddUnless(slices.Contains(allowed, value), path, value, "give one of "+strings.Join(names, ", "))
}

// checkReferences adds a fault for each id that has no row in the table.
func checkReferences[ID cmp.Ordered, Row any](c *checker, path string, ids []ID, table map[ID]Row) {
	for _, id := range ids {
		_, ok := table[id]
		c.AddUnless(ok, path, id, "name a row of the configuration, or add it in the same patch")
	}
}

func sortedIDs[ID cmp.Ordered, Row any](table map[ID]Row) []ID {
	return slices.Sorted(maps.Keys(table))
}

var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

// pointer returns the JSON pointer to a row of a table.
func pointer[ID ~string](table string, id ID) string {
	return "/" + table + "/" + pointerEscape.Replace(string(id))
}
