package lavcost

import (
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// writePlots plots quality minus target and cost per request of each account over time. It does nothing without a
// directory.
func writePlots(w *workload, got *result, directory string) error {
	if directory == "" {
		return nil
	}
	quality := func(account int, sum totals) float64 {
		return (sum.quality() - float64(w.accounts[account].target)) * 100
	}
	err := writePlot(w, got, "Quality minus target, points", filepath.Join(directory, "cost-quality.svg"), quality)
	if err != nil {
		return err
	}
	// Costs are in billionths of the currency unit.
	cost := func(_ int, sum totals) float64 { return sum.costPerRequest() / 1e6 }
	return writePlot(w, got, "Cost per request, thousandths of the unit", filepath.Join(directory, "cost-cost.svg"), cost)
}

// writePlot writes one plot with a line for each account.
func writePlot(w *workload, got *result, title, path string, value func(account int, sum totals) float64) error {
	canvas := plot.New()
	canvas.Title.Text = title
	canvas.X.Label.Text = "minutes"
	var lines []any
	for account, truth := range w.accounts {
		var points plotter.XYs
		for i, sum := range got.windows[account] {
			if sum.requests > 0 {
				points = append(points, plotter.XY{X: float64(i+1) * windowDuration.Minutes(), Y: value(account, sum)})
			}
		}
		lines = append(lines, string(truth.id), points)
	}
	if err := plotutil.AddLines(canvas, lines...); err != nil {
		return errors.Wrap(err, "draw lines")
	}
	return errors.Wrap(canvas.Save(plotWidth, plotHeight, path), "write plot")
}
