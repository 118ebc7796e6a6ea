package load

import (
	"sort"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// minPlotMs is the smallest time in a plot, in milliseconds: a logarithmic axis has no zero.
const minPlotMs = 0.001

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes the quantiles of the time to the first token of several results as a PNG or SVG,
// depending on the extension of the file.
func Plot(file string, results map[string]Result) error {
	p := plot.New()
	p.Title.Text = "time to first token"
	p.X.Label.Text = "quantile"
	p.Y.Label.Text = "ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.NominalX("50", "95", "99", "99.9")
	names := make([]string, 0, len(results))
	for name := range results {
		names = append(names, name)
	}
	sort.Strings(names)
	var lines []any
	for _, name := range names {
		lines = append(lines, name, points(results[name].FirstToken))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "load: plot")
	}
	// A logarithmic axis panics if its range reaches zero. That happens if all values are equal,
	// for example for a load without any answer.
	p.Y.Min = max(p.Y.Min/2, minPlotMs)
	p.Y.Max = max(p.Y.Max*2, 10*minPlotMs)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "load: plot")
}

func points(q Quantiles) plotter.XYs {
	ys := []float64{q.P50Ms, q.P95Ms, q.P99Ms, q.P999Ms}
	xys := make(plotter.XYs, len(ys))
	for i, y := range ys {
		xys[i] = plotter.XY{X: float64(i), Y: max(y, minPlotMs)}
	}
	return xys
}
