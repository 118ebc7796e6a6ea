package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"verbenadale.example/verbenadale/internal/dev/load"
)

// Table writes the report as a Markdown table with a row for each load.
func (rep Report) Table(w io.Writer) {
	fmt.Fprintf(w, "%s, %s\n\n", rep.Deployment, rep.Scenario)
	tw := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(tw, "| policy\t| round\t| cost\t| p50 ms\t| p99 ms\t| p99.9 ms\t| away\t| hits\t| in time/s\t| refused\t| other\t| sends\t| refused in p99 ms\t|")
	fmt.Fprintln(tw, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, r := range rep.Rows {
		ft := r.Load.FirstToken
		other := r.Load.Wrong + r.Load.Cut + r.Load.Errors + r.Load.Dropped
		fmt.Fprintf(tw, "| %s\t| %d\t| %.0f\t| %.0f\t| %.0f\t| %.0f\t| %.3f\t| %.3f\t| %.1f\t| %.3f\t| %d\t| %.3f\t| %.0f\t|\n",
			r.Policy, r.Round+1, r.Cost, ft.P50Ms, ft.P99Ms, ft.P999Ms, r.Forwarded, r.Hits,
			r.Load.Goodput, r.Refused, other, r.Attempts, r.Load.RefusalTime.P99Ms)
	}
	_ = tw.Flush()
	fmt.Fprintln(w)
}

// Plot writes the quantiles of the time to the first token in each policy's last round, as a PNG
// or SVG.
func (rep Report) Plot(file string) error {
	res := make(map[string]load.Result)
	for _, r := range rep.Rows {
		res[r.Policy] = r.Load
	}
	return load.Plot(file, res)
}
