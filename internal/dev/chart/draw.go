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

// Size of a plot.
const (
	width  = 18 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Goodput draws the goodput of each series by the offered load, as a PNG or SVG by the ending of
// the file. The dashed line is what an unbounded system would answer.
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
	p.X.Label.Text = "requests a second"
	p.Y.Label.Text = "answers that began in time, a second"
	most := 0.0
	var lines []any
	for _, s := range ss {
		xys := make(plotter.XYs, 0, steps)
		for _, st := range s.Curve() {
			xys = append(xys, plotter.XY{X: st.Offered, Y: st.InTime})
			most = max(most, headroom*st.InTime)
		}
		lines = append(lines, s.Name, xys)
	}
	return p, finish(p, lines, most)
}

// Predictions draws the real time to a first byte of each series by the predicted one, its median
// and its 90th percentile. The dashed line is a prediction that always holds.
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
	p.Y.Label.Text = "real, ms"
	most := 0.0
	var lines []any
	for _, s := range ss {
		var mid, high plotter.XYs
		for _, sp := range s.Spreads() {
			x := inMillis(sp.Predicted)
			mid = append(mid, plotter.XY{X: x, Y: inMillis(sp.Median)})
			high = append(high, plotter.XY{X: x, Y: inMillis(sp.P90)})
			most = max(most, x)
		}
		if len(mid) > 0 {
			lines = append(lines, s.Name+", median", mid, s.Name+", 90th percentile", high)
		}
	}
	return p, finish(p, lines, most)
}

func inMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// headroom is how much higher than the highest goodput the dashed line goes.
const headroom = 1.3

// finish adds the lines and the diagonal up to most.
func finish(p *plot.Plot, lines []any, most float64) error {
	if len(lines) == 0 {
		return errors.Wrap(errTooFew, p.Title.Text)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "chart: draw")
	}
	same, err := plotter.NewLine(plotter.XYs{{}, {X: most, Y: most}})
	if err != nil {
		return errors.Wrap(err, "chart: draw")
	}
	same.Dashes = []vg.Length{vg.Points(4), vg.Points(4)}
	p.Add(same)
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	return nil
}

func save(p *plot.Plot, file string) error {
	return errors.Wrap(p.Save(width, height, file), "chart: save")
}
