package lavsetting

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavsettings"
)

const validSettings = `{"HostID":"h","DataCentre":"d","BackendServer":"b","Address":"127.0.0.1:1",
	"BackendAddress":"http://127.0.0.1:2","PlatformAddress":"http://127.0.0.1:3"}`

func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestReadReportsEveryInvalidSetting guards against a read that reports only the first invalid setting, or one without a
// remedy.
func TestReadReportsEveryInvalidSetting(t *testing.T) {
	is := is.New(t)
	_, err := Read(writeSettings(t, `{"Address":"x","DrainTimeout":"-1s","KeepAttempts":"1m"}`), nil)
	var faults lavsettings.Faults
	is.True(errors.As(err, &faults))
	paths := map[string]bool{}
	for _, fault := range faults {
		paths[fault.Path] = true
		is.True(fault.Remedy != "")
	}
	for _, path := range []string{"HostID", "DataCentre", "BackendServer", "Address", "BackendAddress", "PlatformAddress", "DrainTimeout", "KeepAttempts"} {
		is.True(paths[path])
	}
}

// TestOverridesTakePrecedenceOverFile guards against an override that is ignored, for each kind of value, and against an
// invalid one that is accepted.
func TestOverridesTakePrecedenceOverFile(t *testing.T) {
	is := is.New(t)
	settings, err := Read(writeSettings(t, validSettings), lavsettings.Overrides{"DrainTimeout": "3s", "Seeds": "127.0.0.1:8,127.0.0.1:9", "AnswerBytes": "77"})
	is.NoErr(err)
	is.Equal(settings.DrainTimeout.Duration, 3*time.Second)
	is.Equal(settings.Seeds, []string{"127.0.0.1:8", "127.0.0.1:9"})
	is.Equal(settings.AnswerBytes, int64(77))
	_, err = Read(writeSettings(t, validSettings), lavsettings.Overrides{"AnswerBytes": "many"})
	is.True(err != nil)
}

// TestUnknownKeyIsRefused guards against a misspelled setting that is silently ignored.
func TestUnknownKeyIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := Read(writeSettings(t, `{"HostId2":"h"}`), nil)
	is.True(err != nil)
}

// TestAddressOutsideLoopbackRequiresTLS guards against unencrypted traffic between hosts.
func TestAddressOutsideLoopbackRequiresTLS(t *testing.T) {
	is := is.New(t)
	_, err := Read(writeSettings(t, validSettings), lavsettings.Overrides{"Address": "192.0.2.1:1"})
	is.True(err != nil)
}
