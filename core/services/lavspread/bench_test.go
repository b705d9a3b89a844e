package lavspread

import (
	"encoding/json"
	"fmt"
	"testing"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// BenchmarkRebuildAtFullSize measures the application of one patch to a configuration of 600 backend servers.
func BenchmarkRebuildAtFullSize(b *testing.B) {
	document := threeDataCentres()
	for i := range 600 {
		document.BackendServers[lavid.BackendServerID(fmt.Sprint("engine-", i))] = lavconfig.BackendServer{
			DataCentre: "dc-1", SideAddress: fmt.Sprint("10.0.0.1:", i+1), State: lavconfig.InService, MaxRunning: 8, Versions: []lavid.VersionID{"a", "b"},
		}
	}
	patch := Patch{Base: 1, Operations: json.RawMessage(`[{"op":"replace","path":"/BackendServers/engine-7/State","value":"OutOfService"}]`)}
	for b.Loop() {
		if _, err := Rebuild(document, patch); err != nil {
			b.Fatal(err)
		}
	}
}
