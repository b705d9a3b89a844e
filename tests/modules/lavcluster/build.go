package lavcluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// Programs is a directory with the built programs.
type Programs struct {
	dir string
}

// The programs of the workspace.
const (
	programEntry = "entry"
	programSide  = "side"
	programFake  = "fake"
)

// Build builds the programs into a new temporary directory.
func Build(ctx context.Context) (*Programs, error) {
	root, err := Root()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lavcluster")
	if err != nil {
		return nil, errors.Wrap(err, "make a directory for the programs; free some space")
	}
	for _, program := range []string{programEntry, programSide, programFake} {
		build := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(dir, program), "./"+program) //nolint:gosec // names are constants
		build.Dir = root
		if output, err := build.CombinedOutput(); err != nil {
			_ = os.RemoveAll(dir)
			return nil, errors.Wrapf(err, "build %s: %s", program, output)
		}
	}
	return &Programs{dir: dir}, nil
}

// Remove deletes the built programs.
func (p *Programs) Remove() error {
	return errors.Wrap(os.RemoveAll(p.dir), "remove the programs")
}

// Root returns the directory of the workspace.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", errors.Wrap(err, "find the working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.work above the working directory; run within the workspace")
		}
		dir = parent
	}
}
