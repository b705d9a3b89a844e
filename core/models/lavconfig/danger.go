package lavconfig

import (
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavsettings"
)

// Dangers lists the effects of a change that are valid but probably unintended, such as withdrawing the last usable
// version of a client account.
func Dangers(before, after *Document) lavsettings.Faults {
	var warnings lavsettings.Faults
	addAccountDangers(&warnings, before, after)
	addVersionDangers(&warnings, before, after)
	addCapacityDangers(&warnings, before, after)
	addIdempotencyDangers(&warnings, before, after)
	return warnings
}

func addAccountDangers(warnings *lavsettings.Faults, before, after *Document) {
	for _, id := range sortedIDs(before.ClientAccounts) {
		path := pointer("ClientAccounts", id)
		account, ok := after.ClientAccounts[id]
		warnings.AddUnless(ok, path, "removed", "requests of this client account will be refused")
		if !ok {
			continue
		}
		usableBefore := countUsableVersions(before, before.ClientAccounts[id])
		usableAfter := countUsableVersions(after, account)
		warnings.AddUnless(usableBefore == 0 || usableAfter > 0, path+"/AllowedVersions", account.AllowedVersions, "no allowed version remains usable; allow or roll out another one first")
	}
}

func countUsableVersions(document *Document, account ClientAccount) int {
	usable := 0
	for _, id := range account.AllowedVersions {
		if version, ok := document.Versions[id]; ok && version.State != VersionWithdrawn {
			usable++
		}
	}
	return usable
}

func addVersionDangers(warnings *lavsettings.Faults, before, after *Document) {
	for _, id := range sortedIDs(before.Versions) {
		_, ok := after.Versions[id]
		withdrawn := before.Versions[id].State == VersionWithdrawn
		warnings.AddUnless(ok || withdrawn, pointer("Versions", id), "removed", "the version still serves; withdraw it first")
	}
}

func addCapacityDangers(warnings *lavsettings.Faults, before, after *Document) {
	inServiceBefore, inServiceAfter := 0, 0
	for _, row := range before.DataCentres {
		inServiceBefore += countIf(row.State == InService)
	}
	for _, row := range after.DataCentres {
		inServiceAfter += countIf(row.State == InService)
	}
	warnings.AddUnless(inServiceBefore == 0 || inServiceAfter > 0, "/DataCentres", "all out of service", "no data centre will take requests; put another one in service first")
	for _, id := range sortedIDs(after.Services) {
		lost := countServersInService(before, id) > 0 && countServersInService(after, id) == 0
		warnings.AddUnless(!lost, pointer("Services", id), "no backend server in service", "calls of the service will be refused; put a backend server in service first")
	}
	lost := countServersInService(before, "") > 0 && countServersInService(after, "") == 0
	warnings.AddUnless(!lost, "/BackendServers", "no model engine in service", "requests to models will be refused; put a backend server in service first")
}

// countServersInService returns the number of backend servers in service for a plain service, or of model engines in
// service if the service is empty. Servers in a data centre that is out of service do not count.
func countServersInService(document *Document, service lavid.ServiceID) int {
	count := 0
	for _, row := range document.BackendServers {
		inService := row.State == InService && document.DataCentres[row.DataCentre].State == InService
		count += countIf(inService && row.Service == service)
	}
	return count
}

func addIdempotencyDangers(warnings *lavsettings.Faults, before, after *Document) {
	for _, id := range sortedIDs(after.Services) {
		calls := after.Services[id].Calls
		for _, callID := range sortedIDs(calls) {
			old, ok := before.Services[id].Calls[callID]
			becomesIdempotent := ok && !old.Idempotent && calls[callID].Idempotent
			path := pointer("Services", id) + pointer("Calls", callID) + "/Idempotent"
			warnings.AddUnless(!becomesIdempotent, path, true, "the call may run more than once after this change")
		}
	}
}

func countIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
