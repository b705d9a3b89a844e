package lavconfig

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavsettings"
)

const validDocument = `{
 "DataCentres": {"dc-1": {"Region": "r", "State": "InService"}, "dc-2": {"Region": "r", "State": "InService"}},
 "Versions": {"a-1": {"Model": "a", "State": "Serving", "ExpectedQuality": 0.9}, "a-2": {"Model": "a", "State": "RollingOut", "MaxShare": 0.1, "Replaces": "a-1"}},
 "Services": {"claims": {"Calls": {"submit": {"Method": "POST", "Path": "/submit"}}}},
 "ClientAccounts": {"donativa": {"KeyHashes": ["` + hash + `"], "AllowedVersions": ["a-1"], "AllowedServices": ["claims"], "QualityTarget": 0.8}},
 "BackendServers": {
  "engine-1": {"DataCentre": "dc-1", "SideAddress": "10.0.0.1:7200", "State": "InService", "Versions": ["a-1"], "MaxRunning": 8},
  "claims-1": {"DataCentre": "dc-2", "SideAddress": "10.0.0.2:7200", "State": "InService", "Service": "claims", "MaxRunning": 8}}}`

const hash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func decode(t *testing.T, text string) *Document {
	t.Helper()
	document, err := Decode([]byte(text))
	is.New(t).NoErr(err)
	return document
}

func paths(faults lavsettings.Faults) string {
	var all []string
	for _, fault := range faults {
		all = append(all, fault.Path)
	}
	return strings.Join(all, " ")
}

// TestCheckAcceptsValidDocument guards against a rule that rejects a valid document.
func TestCheckAcceptsValidDocument(t *testing.T) {
	is.New(t).Equal(Check(decode(t, validDocument)), nil)
}

// TestCheckReportsEveryFault guards against an invalid document that passes the check, and against a check that stops
// at the first fault.
func TestCheckReportsEveryFault(t *testing.T) {
	for _, test := range []struct{ from, to, path string }{
		{`"AllowedVersions": ["a-1"]`, `"AllowedVersions": ["a-9"]`, "/ClientAccounts/donativa/AllowedVersions"},
		{`"QualityTarget": 0.8`, `"QualityTarget": 1.8`, "/ClientAccounts/donativa/QualityTarget"},
		{hash, "SHORT", "/ClientAccounts/donativa/KeyHashes/0"},
		{`"ClientAccounts": {`, `"ClientAccounts": {"b": {"KeyHashes": ["` + hash + `"], "AllowedVersions": ["a-1"]}, `, "/ClientAccounts/donativa/KeyHashes/0"},
		{`"AllowedVersions": ["a-1"], "AllowedServices": ["claims"]`, `"AllowedVersions": []`, "/ClientAccounts/donativa/AllowedVersions"},
		{`"State": "Serving"`, `"State": "Served"`, "/Versions/a-1/State"},
		{`"ExpectedQuality": 0.9`, `"InputPrice": -1`, "/Versions/a-1/InputPrice"},
		{`"Replaces": "a-1"`, `"Replaces": "a-2"`, "/Versions/a-2/Replaces"},
		{`"Path": "/submit"`, `"Path": "submit"`, "/Services/claims/Calls/submit/Path"},
		{`10.0.0.1:7200`, `host:7200`, "/BackendServers/engine-1/SideAddress"},
		{`10.0.0.1:7200`, `10.0.0.2:7200`, "/BackendServers/engine-1/SideAddress"},
		{`"DataCentre": "dc-1"`, `"DataCentre": "dc-9"`, "/BackendServers/engine-1/DataCentre"},
		{`"Versions": ["a-1"], "MaxRunning": 8`, `"Versions": ["a-1"]`, "/BackendServers/engine-1/MaxRunning"},
		{`"Service": "claims"`, `"Service": "other"`, "/BackendServers/claims-1/Service"},
	} {
		faults := Check(decode(t, strings.Replace(validDocument, test.from, test.to, 1)))
		if !strings.Contains(paths(faults), test.path) {
			t.Errorf("%s -> %s: %s is not among %q", test.from, test.to, test.path, paths(faults))
		}
	}
	is := is.New(t)
	threeFaults := strings.NewReplacer(`"Path": "/submit"`, `"Path": "submit"`, `"QualityTarget": 0.8`, `"QualityTarget": -1`, `10.0.0.1`, `x`).Replace(validDocument)
	is.Equal(len(Check(decode(t, threeFaults))), 3)
}

// TestDecodeReportsEveryUnknownKeyAndWrongType guards against a misspelled key that is ignored, and against an error
// that names only the first fault.
func TestDecodeReportsEveryUnknownKeyAndWrongType(t *testing.T) {
	is := is.New(t)
	_, err := Decode([]byte(strings.NewReplacer(`"Region": "r"`, `"Regoin": "r"`, `"MaxShare": 0.1`, `"MaxShare": "x"`).Replace(validDocument)))
	is.True(laverror.Is(err, laverror.KindInvalidConfig))
	text := err.Error()
	for _, path := range []string{"/DataCentres/dc-1/Regoin", "/DataCentres/dc-2/Regoin", "/Versions/a-2/MaxShare"} {
		is.True(strings.Contains(text, path))
	}
}

// TestDangersReportsDangerousChanges guards against a patch that stops service to callers, or makes a call repeatable,
// without a warning. An unchanged document gives no warnings.
func TestDangersReportsDangerousChanges(t *testing.T) {
	for _, test := range []struct{ from, to, path string }{
		{`"State": "Serving"`, `"State": "Withdrawn"`, "/ClientAccounts/donativa/AllowedVersions"},
		{`"State": "InService"}, "dc-2": {"Region": "r", "State": "InService"}`, `"State": "OutOfService"}, "dc-2": {"Region": "r", "State": "OutOfService"}`, "/DataCentres"},
		{`"dc-2": {"Region": "r", "State": "InService"}`, `"dc-2": {"Region": "r", "State": "OutOfService"}`, "/Services/claims"},
		{`"SideAddress": "10.0.0.1:7200", "State": "InService"`, `"SideAddress": "10.0.0.1:7200", "State": "OutOfService"`, "/BackendServers"},
		{`"Path": "/submit"`, `"Path": "/submit", "Idempotent": true`, "/Services/claims/Calls/submit/Idempotent"},
		{`, "a-2": {"Model": "a", "State": "RollingOut", "MaxShare": 0.1, "Replaces": "a-1"}`, ``, "/Versions/a-2"},
		{`"donativa"`, `"other"`, "/ClientAccounts/donativa"},
	} {
		warnings := Dangers(decode(t, validDocument), decode(t, strings.Replace(validDocument, test.from, test.to, 1)))
		if !strings.Contains(paths(warnings), test.path) {
			t.Errorf("%s -> %s: %s is not among %q", test.from, test.to, test.path, paths(warnings))
		}
	}
	is.New(t).Equal(len(Dangers(decode(t, validDocument), decode(t, validDocument))), 0)
}

// FuzzDecodeAndCheck guards against a document that makes the decoder or the check panic.
func FuzzDecodeAndCheck(f *testing.F) {
	f.Add(validDocument)
	f.Add(`{"Versions": null, "BackendServers": {"": {}}}`)
	f.Add(`[{}]`)
	f.Add(`{"ClientAccounts": {"a/~b": {"KeyHashes": [1, null]}}}`)
	f.Fuzz(func(_ *testing.T, text string) {
		document, err := Decode([]byte(text))
		if err == nil {
			_ = Check(document)
		}
	})
}
