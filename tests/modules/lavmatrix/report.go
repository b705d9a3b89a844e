package lavmatrix

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Verdict is the result of one cell.
type Verdict string

// The verdicts as they are printed. KnownFailure means that KNOWN-RED.txt lists every violation of the cell, NA that the
// fault cannot be combined with the step, NotRun that the cell was not selected.
const (
	Pass         Verdict = "pass"
	Fail         Verdict = "FAIL"
	KnownFailure Verdict = "red"
	NA           Verdict = "n.a."
	NotRun       Verdict = "-"
)

// Report collects the verdicts and violations of a test run.
type Report struct {
	mu       sync.Mutex
	verdicts map[string]Verdict
	notes    []string
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{verdicts: make(map[string]Verdict)}
}

// Add records the verdict of a cell and one note for each violation.
func (r *Report) Add(cell string, verdict Verdict, notes ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verdicts[cell] = verdict
	for _, note := range notes {
		r.notes = append(r.notes, fmt.Sprintf("%s %s: %s", verdict, cell, note))
	}
}

const (
	nameWidth = 24
	cellWidth = 5
)

// Print writes the matrix, with steps as rows and faults as columns, followed by the notes.
func (r *Report) Print(w io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := bufio.NewWriter(w)
	faults := Faults()
	for i, fault := range faults {
		fmt.Fprintf(out, "%3d = %s\n", i, fault.Name)
	}
	fmt.Fprintf(out, "\n%-*s", nameWidth, "step")
	for i := range faults {
		fmt.Fprintf(out, "%*d", cellWidth, i)
	}
	fmt.Fprintln(out)
	counts := make(map[Verdict]int)
	for _, step := range Steps() {
		fmt.Fprintf(out, "%-*s", nameWidth, step.Name)
		for _, fault := range faults {
			verdict := r.verdict(step, fault)
			counts[verdict]++
			fmt.Fprintf(out, "%*s", cellWidth, verdict)
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "\n%d pass, %d fail, %d known red, %d not applicable, %d not run\n\n", counts[Pass], counts[Fail], counts[KnownFailure], counts[NA], counts[NotRun])
	slices.Sort(r.notes)
	for _, note := range slices.Compact(r.notes) {
		fmt.Fprintln(out, note)
	}
	return errors.Wrap(out.Flush(), "print the matrix")
}

func (r *Report) verdict(step Step, fault Fault) Verdict {
	if NotApplicableReason(step, fault) != "" {
		return NA
	}
	if verdict, ok := r.verdicts[CellName(step, fault)]; ok {
		return verdict
	}
	return NotRun
}

// knownFailurePrefix starts the line of a matrix cell in KNOWN-RED.txt.
const knownFailurePrefix = "tests/faults Test"

// KnownFailures maps the name of a cell to its entry in KNOWN-RED.txt.
type KnownFailures map[string]string

// Covers reports whether the entry of a cell names the guarantee of a violation in square brackets.
func (k KnownFailures) Covers(cell string, violation Violation) bool {
	return strings.Contains(k[cell], "["+string(violation.Guarantee)+"]")
}

// ReadKnownFailures reads the matrix cells from a list of known failures. A missing file is an empty list.
func ReadKnownFailures(path string) (KnownFailures, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the test names the file
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the list of known failures")
	}
	known := make(KnownFailures)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, knownFailurePrefix); ok {
			test, entry, _ := strings.Cut(rest, " |")
			_, name, _ := strings.Cut(strings.TrimSpace(test), "/")
			known[strings.ReplaceAll(name, "_", " ")] = entry
		}
	}
	return known, nil
}
