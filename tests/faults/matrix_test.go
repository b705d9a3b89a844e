package lavfaults

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"lavenderswitch/tests/modules/lavcluster"
	"lavenderswitch/tests/modules/lavmatrix"
)

// The environment variables that select which cells run and where the report goes.
const (
	// envAll runs the whole matrix instead of the CI subset if it is set to "all".
	envAll = "LAVENDER_FAULTS"
	// envReport is the file to which the report is written; the default is standard output.
	envReport = "LAVENDER_FAULTS_REPORT"
	// envSeed enables the random schedule of fault pairs and sets its seed; envPairs is the number of pairs.
	envSeed  = "LAVENDER_FAULTS_SEED"
	envPairs = "LAVENDER_FAULTS_PAIRS"
)

var (
	programs      *lavcluster.Programs
	report        = lavmatrix.NewReport()
	knownFailures lavmatrix.KnownFailures
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
		knownFailures, err = lavmatrix.ReadKnownFailures(filepath.Join(root, "KNOWN-RED.txt"))
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

// printReport writes the report to the file named by envReport or to standard output.
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

// TestMatrix guards against a guarantee that is violated when one fault occurs at one step of a request or operator's
// action. Each selected cell runs on its own fleet.
func TestMatrix(t *testing.T) {
	t.Parallel()
	all := os.Getenv(envAll) == "all"
	for _, step := range lavmatrix.Steps() {
		for _, fault := range lavmatrix.Faults() {
			if lavmatrix.NotApplicableReason(step, fault) != "" || (!all && !lavmatrix.InSubset(step, fault)) {
				continue
			}
			t.Run(lavmatrix.CellName(step, fault), func(t *testing.T) {
				t.Parallel()
				runCell(t, step, fault)
			})
		}
	}
}

// TestPairs guards against a guarantee that holds under each of two faults but not under both. It runs the chosen pairs.
func TestPairs(t *testing.T) {
	t.Parallel()
	runCells(t, lavmatrix.ChosenPairs())
}

const (
	defaultPairs = 20
	maxPairs     = 1000
)

// TestSchedule guards against violations under pairs of faults that nobody chose. It runs random pairs and logs the seed,
// which reproduces the schedule.
func TestSchedule(t *testing.T) {
	t.Parallel()
	seed, err := strconv.ParseUint(os.Getenv(envSeed), 10, 64)
	if err != nil {
		t.Skipf("set %s to a seed to run a random schedule", envSeed)
	}
	count, err := strconv.Atoi(os.Getenv(envPairs))
	if err != nil {
		count = defaultPairs
	}
	count = min(count, maxPairs)
	t.Logf("random schedule of %d pairs with seed %d", count, seed)
	runCells(t, lavmatrix.RandomPairs(seed, count))
}

// runCells runs each cell as a parallel subtest.
func runCells(t *testing.T, cells []lavmatrix.Cell) {
	t.Helper()
	for _, cell := range cells {
		t.Run(lavmatrix.CellName(cell.Step, cell.Fault), func(t *testing.T) {
			t.Parallel()
			runCell(t, cell.Step, cell.Fault)
		})
	}
}

// runCell runs a cell and fails the test unless all guarantees hold or KNOWN-RED.txt lists every violation.
func runCell(t *testing.T, step lavmatrix.Step, fault lavmatrix.Fault) {
	t.Helper()
	name := lavmatrix.CellName(step, fault)
	violations := lavmatrix.Run(t, programs, step, fault)
	allKnown := !t.Failed()
	var texts []string
	for _, violation := range violations {
		texts = append(texts, violation.String())
		allKnown = allKnown && knownFailures.Covers(name, violation)
	}
	switch {
	case len(texts) == 0 && !t.Failed():
		report.Add(name, lavmatrix.Pass)
		if knownFailures[name] != "" {
			t.Logf("%s is listed in KNOWN-RED.txt but passes", name)
		}
	case allKnown:
		report.Add(name, lavmatrix.KnownFailure, texts...)
		t.Skipf("known red: %v", texts)
	default:
		report.Add(name, lavmatrix.Fail, texts...)
		for _, violation := range texts {
			t.Error(violation)
		}
	}
}
