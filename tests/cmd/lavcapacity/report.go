package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// series is a quantity that was measured at several sizes.
type series struct {
	name string
	unit string
	// size is the unit of the x axis: the quantity grows with the number of these.
	size   string
	points []point
}

type point struct{ x, y float64 }

// report is an ordered list of series.
type report struct{ rows []*series }

// series adds an empty series to the report.
func (r *report) series(name, unit, size string) *series {
	added := &series{name: name, unit: unit, size: size}
	r.rows = append(r.rows, added)
	return added
}

func (s *series) add(x, y float64) {
	s.points = append(s.points, point{x, y})
}

// fit returns the least squares line through the points.
func (s *series) fit() (intercept, slope float64) {
	var n, sumX, sumY, sumXX, sumXY float64
	for _, p := range s.points {
		n++
		sumX += p.x
		sumY += p.y
		sumXX += p.x * p.x
		sumXY += p.x * p.y
	}
	determinant := n*sumXX - sumX*sumX
	if determinant == 0 {
		return sumY / max(n, 1), 0
	}
	slope = (n*sumXY - sumX*sumY) / determinant
	return (sumY - slope*sumX) / n, slope
}

const columnPadding = 2

func (r *report) print(out io.Writer) error {
	writer := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(writer, "quantity\tunit\tpoints\tfit")
	for _, s := range r.rows {
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\n", s.name, s.unit, s.pointText(), s.fitText())
	}
	return errors.Wrap(writer.Flush(), "write table")
}

func (s *series) pointText() string {
	texts := make([]string, 0, len(s.points))
	for _, p := range s.points {
		texts = append(texts, fmt.Sprintf("%g: %.4g", p.x, p.y))
	}
	return strings.Join(texts, ", ")
}

func (s *series) fitText() string {
	if len(s.points) < 2 {
		return ""
	}
	intercept, slope := s.fit()
	return fmt.Sprintf("%.4g + %.4g per %s", intercept, slope, s.size)
}
