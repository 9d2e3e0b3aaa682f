// Package chart draws the charts of measurements and experiments, as SVG, by gonum.org/v1/plot.
package chart

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 8 * vg.Inch
	height = 4.5 * vg.Inch
)

// Series is a line by its points, in the order of x.
type Series struct {
	Name string
	X, Y []float64
}

// Axis is what stands at one, and whether it is logarithmic: then all its values have to be over 0.
type Axis struct {
	Name string
	Log  bool
}

// Lines draws lines to a file, whose ending says in which format.
func Lines(path, title string, x, y Axis, all []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x.Name, y.Name
	p.Legend.Top = true
	if x.Log {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if y.Log {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	p.Add(plotter.NewGrid())
	for i, s := range all {
		if len(s.X) != len(s.Y) {
			return fmt.Errorf("chart: %s has %d and %d values", s.Name, len(s.X), len(s.Y))
		}
		points := make(plotter.XYs, len(s.X))
		for k := range points {
			points[k].X, points[k].Y = s.X[k], s.Y[k]
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("chart: %s: %w", s.Name, err)
		}
		line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(i/7), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	if err := p.Save(width, height, path); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}
