package lavexposure

import (
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth   = 7 * vg.Inch
	plotHeight  = 4 * vg.Inch
	plotSeconds = 180
)

// curve holds the runs of one policy on one scenario.
type curve struct {
	scenario scenario
	policy   string
	runs     []exposure
}

// writePlots plots the mean cumulative number of bad answers after the onset, for a gross and a slight fault. It does
// nothing without a directory.
func writePlots(curves []curve, directory string) error {
	if directory == "" {
		return nil
	}
	plots := []struct{ scenario, file string }{
		{"roll-out, turns bad, gross failures", "exposure-gross.svg"},
		{"roll-out, turns bad, slight quality -8", "exposure-slight.svg"},
	}
	for _, wanted := range plots {
		if err := writePlot(curves, wanted.scenario, filepath.Join(directory, wanted.file)); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(curves []curve, scenario, path string) error {
	canvas := plot.New()
	canvas.Title.Text = "Bad answers of the new version so far: " + scenario
	canvas.X.Label.Text = "seconds after onset"
	canvas.Legend.Top = true
	canvas.Legend.Left = true
	var lines []any
	for _, one := range curves {
		if one.scenario.name == scenario {
			lines = append(lines, one.policy, points(one.runs))
		}
	}
	if err := plotutil.AddLines(canvas, lines...); err != nil {
		return errors.Wrap(err, "draw lines")
	}
	return errors.Wrap(canvas.Save(plotWidth, plotHeight, path), "write plot")
}

func points(runs []exposure) plotter.XYs {
	var all plotter.XYs
	for second := range plotSeconds {
		sum, count := 0.0, 0.0
		for _, one := range runs {
			if second < len(one.curve) {
				sum += one.curve[second]
				count++
			}
		}
		if count > 0 {
			all = append(all, plotter.XY{X: float64(second), Y: sum / count})
		}
	}
	return all
}
