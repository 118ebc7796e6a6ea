package chart

import (
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

var errTooFew = errors.New("chart: too few requests to draw")

const (
	width  = 18 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Goodput plots the goodput of each series by offered load, as a PNG or SVG depending on the
// extension of the file. The dashed line is a system that answers every request in time.
func Goodput(file string, ss []Series) error {
	p, err := goodput(ss)
	if err != nil {
		return err
	}
	return save(p, file)
}

func goodput(ss []Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "goodput by offered load"
	p.X.Label.Text = "requests per second"
	p.Y.Label.Text = "answers that began in time, per second"
	maxValue := 0.0
	var lines []any
	for _, s := range ss {
		xys := make(plotter.XYs, 0, maxSteps)
		for _, st := range s.Curve() {
			xys = append(xys, plotter.XY{X: st.Offered, Y: st.InTime})
			maxValue = max(maxValue, headroom*st.InTime)
		}
		lines = append(lines, s.Name, xys)
	}
	return p, addLines(p, lines, maxValue)
}

// Predictions plots the median and the 90th percentile of the actual time to the first byte of
// each series by its prediction. The dashed line is an exact prediction.
func Predictions(file string, ss []Series) error {
	p, err := predictions(ss)
	if err != nil {
		return err
	}
	return save(p, file)
}

func predictions(ss []Series) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "time to the first byte by its prediction"
	p.X.Label.Text = "predicted, ms"
	p.Y.Label.Text = "actual, ms"
	maxValue := 0.0
	var lines []any
	for _, s := range ss {
		var median, p90 plotter.XYs
		for _, sp := range s.Spreads() {
			x := inMillis(sp.Predicted)
			median = append(median, plotter.XY{X: x, Y: inMillis(sp.Median)})
			p90 = append(p90, plotter.XY{X: x, Y: inMillis(sp.P90)})
			maxValue = max(maxValue, x)
		}
		if len(median) > 0 {
			lines = append(lines, s.Name+", median", median, s.Name+", 90th percentile", p90)
		}
	}
	return p, addLines(p, lines, maxValue)
}

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// headroom is the length of the dashed line relative to the highest goodput.
const headroom = 1.3

// addLines adds the lines and the dashed diagonal up to maxValue. The error is errTooFew if
// there are no lines.
func addLines(p *plot.Plot, lines []any, maxValue float64) error {
	if len(lines) == 0 {
		return errors.Wrap(errTooFew, p.Title.Text)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "chart: draw")
	}
	diagonal, err := plotter.NewLine(plotter.XYs{{}, {X: maxValue, Y: maxValue}})
	if err != nil {
		return errors.Wrap(err, "chart: draw")
	}
	diagonal.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(diagonal)
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	return nil
}

func save(p *plot.Plot, file string) error {
	return errors.Wrap(p.Save(width, height, file), "chart: save")
}
