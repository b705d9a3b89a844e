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

var errOwn = errors.New("an error of the program's own")

// program notes what it ran with and ends with an error.
func program(ran *string, ended error) Program[settings] {
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
			return ended
		},
		ExitCode: func(err error) int {
			if errors.Is(err, errOwn) {
				return 7
			}
			return ExitFailed
		},
	}
}

func TestProgramEndsWithItsExitCode(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(`{"Name":"a"}`), 0o600))
	wrong := filepath.Join(t.TempDir(), "wrong.json")
	is.New(t).NoErr(os.WriteFile(wrong, []byte(`{"Surname":"a"}`), 0o600))
	tests := []struct {
		name  string
		args  []string
		ended error
		code  int
		ran   string
	}{
		{"runs with its settings", []string{"run", "--settings", path}, nil, ExitOK, "aa"},
		{"reads them again with the flags of its start", []string{"run", "--settings", path, "--name", "b"}, nil, ExitOK, "bb"},
		{"fails", []string{"run", "--settings", path}, errors.New("failed"), ExitFailed, "aa"},
		{"fails in a way of its own", []string{"run", "--settings", path}, errOwn, 7, "aa"},
		{"wrong settings start nothing", []string{"run", "--settings", wrong}, nil, ExitWrongSettings, ""},
		{"settings are checked", []string{"check-settings", "--settings", path}, nil, ExitOK, ""},
		{"wrong settings are found", []string{"check-settings", "--settings", wrong}, nil, ExitWrongSettings, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var ran string
			code := program(&ran, test.ended).Main(t.Context(), append([]string{"program"}, test.args...))
			is.Equal(code, test.code)
			is.Equal(ran, test.ran)
		})
	}
}
