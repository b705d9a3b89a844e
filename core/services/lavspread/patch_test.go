package lavspread

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/modules/laverror"
)

// TestFirstConfigurationAddsRowsToEmptyTables guards against a first patch that fails because the tables do not exist.
func TestFirstConfigurationAddsRowsToEmptyTables(t *testing.T) {
	is := is.New(t)
	document, err := BuildChecked(nil, Patch{Operations: json.RawMessage(`[{"op":"add","path":"/Versions/x","value":{"Model":"m","State":"Serving"}}]`)})
	is.NoErr(err)
	is.Equal(string(document.Versions["x"].Model), "m")
}

// TestDangerousPatchNeedsForce guards against a patch that takes every data centre out of service unintentionally.
func TestDangerousPatchNeedsForce(t *testing.T) {
	is := is.New(t)
	patch := Patch{Base: 1, Operations: json.RawMessage(`[{"op":"replace","path":"/DataCentres/dc-1/State","value":"OutOfService"},
		{"op":"replace","path":"/DataCentres/dc-2/State","value":"OutOfService"},{"op":"replace","path":"/DataCentres/dc-3/State","value":"OutOfService"}]`)}
	_, err := BuildChecked(threeDataCentres(), patch)
	is.True(laverror.Is(err, laverror.KindInvalidConfig))
	var dangerous lavconfig.ErrDangerous
	is.True(errors.As(err, &dangerous))
	patch.Force = true
	_, err = BuildChecked(threeDataCentres(), patch)
	is.NoErr(err)
}

// FuzzPatch guards against patches that change the configuration number or cause a panic.
func FuzzPatch(f *testing.F) {
	f.Add(`[{"op":"add","path":"/Versions/x","value":{"Model":"m","State":"Serving"}}]`)
	f.Add(`[{"op":"copy","from":"","path":"/Services/x"}]`)
	f.Add(`[{"op":"remove","path":"/Number"},{"op":"test","path":"/","value":null}]`)
	f.Add(`[{"op":"replace","path":"","value":[]}]`)
	f.Add(`[{"op":"test","path":""}]`) // the library panics on this operation
	f.Fuzz(func(t *testing.T, operations string) {
		document, err := BuildChecked(threeDataCentres(), Patch{Base: 1, Operations: json.RawMessage(operations)})
		if err == nil && document.Number != 2 {
			t.Fatalf("patch changed the number to %d", document.Number)
		}
	})
}
