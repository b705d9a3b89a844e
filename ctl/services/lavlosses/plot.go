package lavlosses

import (
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of the drawing.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot draws over the windows which part of the requests was late, and which got no answer, and what second runs cost others. The ending of
// the file's name gives its format, such as svg or png.
func (r Report) Plot(file string) error {
	if len(r.Windows) == 0 {
		return errors.New("no request has ended in these logs; nothing can be drawn")
	}
	drawing := plot.New()
	drawing.X.Label.Text = "seconds"
	drawing.Y.Label.Text = "part of the requests; right answers"
	drawing.Y.Min = 0
	curve := func(value func(Group) float64) plotter.XYs {
		points := make(plotter.XYs, len(r.Windows))
		for i, window := range r.Windows {
			points[i] = plotter.XY{X: float64(i) * Window.Seconds(), Y: value(window)}
		}
		return points
	}
	err := plotutil.AddLines(drawing,
		"late", curve(func(g Group) float64 { return float64(g.Late) / float64(g.Requests) }),
		"failed or refused", curve(func(g Group) float64 { return float64(g.Failed+g.Refused) / float64(g.Requests) }),
		"cost of a second run", curve(func(g Group) float64 { return g.Cost }),
	)
	if err != nil {
		return errors.Wrap(err, "draw the windows")
	}
	return errors.Wrap(drawing.Save(plotWidth, plotHeight, file), "write the drawing; its name has to end in .svg, .png or .pdf")
}
