package lavsetting

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderswitch/core/modules/lavsettings"
)

const validSettings = `{"HostID": "entry-1", "DataCentre": "dc-1", "CallerAddress": "127.0.0.1:1", "OperatorAddress": "127.0.0.1:2", "PeerAddress": "127.0.0.1:3",
 "PlatformAddress": "http://127.0.0.1:7000", "OperatorKeys": [{"Name": "ana", "Hash": "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}]}`

func read(t testing.TB, text string, overrides lavsettings.Overrides) (Settings, error) {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Read(path, overrides)
}

// TestReadReportsEveryFault guards against a report that stops at the first fault, and against overrides without
// effect.
func TestReadReportsEveryFault(t *testing.T) {
	is := is.New(t)
	settings, err := read(t, validSettings, lavsettings.Overrides{"HostID": "entry-2"})
	is.NoErr(err)
	is.Equal(string(settings.HostID), "entry-2")
	_, err = read(t, validSettings, lavsettings.Overrides{
		"HostID": "", "CallerAddress": "127.0.0.1:2", "PeerAddress": "10.0.0.1:3", "PlatformAddress": "x", "LogLevel": "loud", "DrainTimeout": "0s",
		"OperatorKeyHashes": "short", "Seeds": "entry-2:1",
	})
	for _, path := range []string{"HostID", "OperatorAddress", "TLS", "PlatformAddress", "LogLevel", "DrainTimeout", "OperatorKeys", "Seeds"} {
		is.True(strings.Contains(err.Error(), path+" = "))
	}
	is.Equal(len(err.(lavsettings.Faults)), 8) //nolint:errorlint // the error is returned unwrapped
}

// FuzzRead guards against settings that make the reader panic.
func FuzzRead(f *testing.F) {
	f.Add(validSettings)
	f.Add(`{"OperatorKeys": [null, {"Nam": 1}], "TLS": {"KeyFile": "/nowhere"}, "OperatorKeyHashes": [""]}`)
	f.Fuzz(func(t *testing.T, text string) { _, _ = read(t, text, nil) })
}
