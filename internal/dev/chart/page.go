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

// Page writes one self-contained HTML page on the series: the plots that there are
// enough requests for, and for each series times
// by profile, refusals by code and work by target.
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

// inline returns a plot as an SVG element. Its texts are names of series, which are escaped by
// the plotting library.
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
		return "", errors.New("chart: the plot is no SVG")
	}
	return template.HTML(b.Bytes()[i:]), nil
}
