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

type settings struct{ Name string }

var errProgramSpecific = errors.New("an error of the program's own")

// newTestProgram notes what it ran with and ends with an error.
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
		{"runs with its settings", []string{"run", "--settings", path}, nil, ExitOK, "aa"},
		{"reads them again with the flags of its start", []string{"run", "--settings", path, "--name", "b"}, nil, ExitOK, "bb"},
		{"fails", []string{"run", "--settings", path}, errors.New("failed"), ExitFailed, "aa"},
		{"fails in a way of its own", []string{"run", "--settings", path}, errProgramSpecific, 7, "aa"},
		{"wrong settings start nothing", []string{"run", "--settings", invalidPath}, nil, ExitWrongSettings, ""},
		{"settings are checked", []string{"check-settings", "--settings", path}, nil, ExitOK, ""},
		{"wrong settings are found", []string{"check-settings", "--settings", invalidPath}, nil, ExitWrongSettings, ""},
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
