package chart

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms": func(d time.Duration) int64 { return d.Milliseconds() },
}).Parse(pageText))

// Page writes a self-contained HTML page on the series: the plots for which there are enough
// requests, and for each series its times by profile, refusals by code and attempts by target.
func Page(w io.Writer, ss []Series) error {
	data := struct {
		Series []Series
		Plots  []template.HTML
	}{Series: ss}
	for _, draw := range []func([]Series) (*plot.Plot, error){goodput, predictions} {
		p, err := draw(ss)
		if errors.Is(err, errTooFew) {
			continue
		}
		if err != nil {
			return err
		}
		svg, err := inline(p)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	return errors.Wrap(page.Execute(w, data), "chart: page")
}

// inline renders a plot as an SVG element. It contains names of series, which the plotting
// library escapes.
func inline(p *plot.Plot) (template.HTML, error) {
	wt, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", errors.Wrap(err, "chart: draw")
	}
	var b bytes.Buffer
	if _, err := wt.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "chart: draw")
	}
	i := bytes.Index(b.Bytes(), []byte("<svg"))
	if i < 0 {
		return "", errors.New("chart: plot library wrote no <svg> element")
	}
	return template.HTML(b.Bytes()[i:]), nil
}
