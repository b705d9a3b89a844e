package lavcommand

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavsettings"
)

// settings are the settings of the test program.
type settings struct{ Name string }

var errProgramSpecific = errors.New("program-specific error")

// newTestProgram returns a program that records the name in its settings, read twice, and returns runErr.
func newTestProgram(ran *string, runErr error) Program[settings] {
	return Program[settings]{
		Name: "program",
		Read: func(path string, overrides lavsettings.Overrides) (settings, error) {
			var read settings
			err := lavsettings.ReadWithOverrides(path, &read, overrides)
			return read, err
		},
		Run: func(_ context.Context, settings settings, source Source[settings]) error {
			again, err := source.Read()
			if err != nil {
				return err
			}
			*ran = settings.Name + again.Name
			return runErr
		},
		ExitCode: func(err error) int {
			if errors.Is(err, errProgramSpecific) {
				return 7
			}
			return ExitFailed
		},
	}
}

// TestMainReturnsExitCode guards against a failure whose exit code does not tell its kind, and against a program that
// runs with invalid settings.
func TestMainReturnsExitCode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(`{"Name":"a"}`), 0o600))
	invalidPath := filepath.Join(t.TempDir(), "wrong.json")
	is.New(t).NoErr(os.WriteFile(invalidPath, []byte(`{"Surname":"a"}`), 0o600))
	tests := []struct {
		name   string
		args   []string
		runErr error
		code   int
		ran    string
	}{
		{"runs with settings of file", []string{"run", "--settings", path}, nil, ExitOK, "aa"},
		{"applies flags to reloaded settings", []string{"run", "--settings", path, "--name", "b"}, nil, ExitOK, "bb"},
		{"returns failure code", []string{"run", "--settings", path}, errors.New("failed"), ExitFailed, "aa"},
		{"returns program-specific code", []string{"run", "--settings", path}, errProgramSpecific, 7, "aa"},
		{"does not run with invalid settings", []string{"run", "--settings", invalidPath}, nil, ExitWrongSettings, ""},
		{"accepts valid settings", []string{"check-settings", "--settings", path}, nil, ExitOK, ""},
		{"rejects invalid settings", []string{"check-settings", "--settings", invalidPath}, nil, ExitWrongSettings, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var ran string
			code := newTestProgram(&ran, test.runErr).Main(t.Context(), append([]string{"program"}, test.args...))
			is.Equal(code, test.code)
			is.Equal(ran, test.ran)
		})
	}
}
