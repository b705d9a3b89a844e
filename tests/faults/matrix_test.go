package lavfaults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"lavenderswitch/tests/modules/lavcluster"
	"lavenderswitch/tests/modules/lavmatrix"
)

// The environment variables that choose what is run.
const (
	// envAll runs the whole matrix in place of the subset.
	envAll = "LAVENDER_FAULTS"
	// envReport names a file for the matrix; it is printed otherwise.
	envReport = "LAVENDER_FAULTS_REPORT"
)

var (
	programs *lavcluster.Programs
	report   = lavmatrix.NewReport()
	knownRed []string
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	programs, err = lavcluster.Build(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer programs.Remove() //nolint:errcheck // a temporary directory
	root, err := lavcluster.Root()
	if err == nil {
		knownRed, err = lavmatrix.ReadKnownRed(filepath.Join(root, "KNOWN-RED.txt"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code := m.Run()
	if err := printReport(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return code
}

func printReport() error {
	path := os.Getenv(envReport)
	if path == "" {
		return report.Print(os.Stdout)
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return report.Print(file)
}

// TestMatrix runs each cell on a fleet of its own and checks every guarantee.
func TestMatrix(t *testing.T) {
	t.Parallel()
	all := os.Getenv(envAll) == "all"
	for _, step := range lavmatrix.Steps() {
		for _, fault := range lavmatrix.Faults() {
			if lavmatrix.NotApplicable(step, fault) != "" || (!all && !lavmatrix.InSubset(step, fault)) {
				continue
			}
			t.Run(lavmatrix.CellName(step, fault), func(t *testing.T) {
				t.Parallel()
				runCell(t, step, fault)
			})
		}
	}
}

// runCell fails unless the cell holds or is listed in KNOWN-RED.txt.
func runCell(t *testing.T, step lavmatrix.Step, fault lavmatrix.Fault) {
	t.Helper()
	name := lavmatrix.CellName(step, fault)
	var seen []string
	for _, violation := range lavmatrix.Run(t, programs, step, fault) {
		seen = append(seen, violation.String())
	}
	listed := slices.Contains(knownRed, name)
	switch {
	case len(seen) == 0 && !t.Failed():
		report.Add(name, lavmatrix.Pass)
		if listed {
			t.Logf("listed in KNOWN-RED.txt and passes: %s", name)
		}
	case listed && !t.Failed():
		report.Add(name, lavmatrix.KnownRed, seen...)
		t.Skipf("known red: %v", seen)
	default:
		report.Add(name, lavmatrix.Fail, seen...)
		for _, violation := range seen {
			t.Error(violation)
		}
	}
}
