package lavcluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

// Programs is a temporary directory that holds the built binaries.
type Programs struct {
	dir string
}

// The binaries that a fleet runs, named after their directories in the workspace.
const (
	programEntry = "entry"
	programSide  = "side"
	programFake  = "fake"
)

// Build compiles the binaries into a new temporary directory. The caller removes it with Remove.
func Build(ctx context.Context) (*Programs, error) {
	root, err := Root()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lavcluster")
	if err != nil {
		return nil, errors.Wrap(err, "create a directory for the programs; free some disk space")
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

// Remove deletes the directory with the built binaries.
func (p *Programs) Remove() error {
	return errors.Wrap(os.RemoveAll(p.dir), "remove the programs")
}

// Root returns the closest parent of the working directory that holds go.work.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", errors.Wrap(err, "get the working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.work in the working directory or above; run the test within the workspace")
		}
		dir = parent
	}
}
