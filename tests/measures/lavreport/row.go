package lavreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Verdict states whether a row meets its aim.
type Verdict string

// The verdicts. Rows of baselines have no aim.
const (
	Met      Verdict = "met"
	Missed   Verdict = "missed"
	Baseline Verdict = "-"
)

// Judge returns Met if the aim was met and Missed otherwise.
func Judge(met bool) Verdict {
	if met {
		return Met
	}
	return Missed
}

// Figure is a measured value. Name includes the unit, Text is the formatted value.
type Figure struct {
	Name string
	Text string
}

// Number returns a figure with the given number of decimals.
func Number(name string, value float64, decimals int) Figure {
	return Figure{Name: name, Text: fmt.Sprintf("%.*f", decimals, value)}
}

// Row is one line of the table. Aim is the target as text, or "-" for a baseline.
type Row struct {
	Measure string
	Case    string
	Policy  string
	Seed    uint64
	Figures []Figure
	Aim     string
	Verdict Verdict
}

// Measure is a named measurement. Run returns its rows.
type Measure struct {
	Name string
	Run  func(options Options) ([]Row, error)
}

// Options holds the parameters that every measurement receives.
type Options struct {
	Seed uint64
	// PlotDirectory is the directory for plots; no plots are written if it is empty.
	PlotDirectory string
}

const columnPadding = 2

// Print writes the rows as an aligned table.
func Print(out io.Writer, rows []Row) error {
	writer := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(writer, "Measure\tCase\tPolicy\tFigures\tSeed\tAim\tVerdict")
	for _, row := range rows {
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", row.Measure, row.Case, row.Policy, formatFigures(row.Figures), row.Seed, row.Aim, row.Verdict)
	}
	return errors.Wrap(writer.Flush(), "write table")
}

func formatFigures(all []Figure) string {
	parts := make([]string, 0, len(all))
	for _, figure := range all {
		parts = append(parts, figure.Name+" "+figure.Text)
	}
	return strings.Join(parts, ", ")
}

// Signed formats a number with its sign and two decimals.
func Signed(value float64) string {
	return fmt.Sprintf("%+.2f", value)
}
