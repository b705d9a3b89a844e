package lavsettings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sample has a setting of each supported type.
type sample struct {
	HostID  string
	Limit   int
	Fast    bool
	Timeout Duration
	List    []string
	Nested  struct{ Share float64 }
}

// TestDecodeReportsEveryUnknownKeyAndWrongType guards against misspelt keys that are ignored, and against an error that lists
// only the first fault.
func TestDecodeReportsEveryUnknownKeyAndWrongType(t *testing.T) {
	is := is.New(t)
	err := Decode([]byte(`{"HostId": "x", "Limit": "many", "Timeout": 5, "List": ["a", 1], "Nested": {"Shar": 1}}`), &sample{})
	for _, part := range []string{"HostId = ", "Limit = ", "Timeout = 5", "List/1 = 1", "Nested/Shar = "} {
		is.True(strings.Contains(err.Error(), part))
	}
	is.Equal(len(err.(Faults)), 5) //nolint:errorlint // the error is returned unwrapped
}

// TestOverridesTakePrecedenceOverFile guards against an override that is ignored or decoded as another type, and against a
// change of the names of flags and environment variables.
func TestOverridesTakePrecedenceOverFile(t *testing.T) {
	is := is.New(t)
	settings := sample{Limit: 1}
	overrides := Overrides{"HostID": "7", "Fast": "true", "Timeout": "250ms", "Limit": "7", "List": "a,b"}
	is.NoErr(DecodeWithOverrides([]byte(`{"HostID": "file", "Fast": false}`), &settings, overrides))
	is.Equal(settings, sample{HostID: "7", Limit: 7, Fast: true, Timeout: Duration{250 * time.Millisecond}, List: []string{"a", "b"}})
	is.Equal(OverridableNames(&settings), []string{"Fast", "HostID", "Limit", "List", "Timeout"})
	is.Equal(FlagName("HostID"), "host-id")
	is.Equal(EnvironmentName("DrainTimeout"), "LAVENDERSWITCH_DRAIN_TIMEOUT")
}

// TestWrongOverridesAndFileFaultsAreReportedTogether guards against an error that leaves out the faults of the file if there
// are faults in overrides, or the other way round.
func TestWrongOverridesAndFileFaultsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	err := DecodeWithOverrides([]byte(`{"Limt": 1}`), &sample{}, Overrides{"Limit": "x", "Nested": "a", "Timeout": "soon", "Fast": "maybe"})
	is.Equal(len(err.(Faults)), 5) //nolint:errorlint // the error is returned unwrapped
}

// FuzzDecode guards against settings or overrides that make the decoder panic.
func FuzzDecode(f *testing.F) {
	f.Add(`{"HostID": "a", "Nested": null}`, "HostID", "x")
	f.Add(`[]`, "Timeout", "1s")
	f.Add(`{"Timeout": "1s", "List": null}`, "Limit", "1e99")
	f.Add(`null`, "", "")
	f.Fuzz(func(_ *testing.T, text, name, value string) {
		_ = DecodeWithOverrides([]byte(text), &sample{}, Overrides{name: value})
	})
}
