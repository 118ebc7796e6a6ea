// Package ablate measures the contribution of each mechanism: it runs a command with
// all mechanisms and with each of them disabled, and compares a figure of its output.
//
// # Usage
//
//	table, err := ablate.Run(ctx, ablate.Config{
//		Command: []string{"sh", "play.sh", "{off}", "{case}", "{seed}"}, Figure: re,
//		Cases: []string{"day-1", "day-2"}, Seeds: []int{1, 2, 3}, Out: os.Stderr,
//	})
//	table.Write(os.Stdout)
//
// The command runs one case with one seed. {off}, {case} and {seed} are replaced by the
// id of the disabled mechanism, the case and the seed. The id is also in the environment
// variable that builds with the tag ablate read. It is empty if no mechanism is disabled.
package ablate

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/pkg/codes"
)

// Config describes the runs.
type Config struct {
	Command []string
	// Figure matches the figure in the output of the command as its first group. The last match
	// is used.
	Figure *regexp.Regexp
	Cases  []string
	Seeds  []int
	// Mechanisms are disabled one at a time, by id.
	Mechanisms []codes.Code
	// Out receives a line for each run of the command.
	Out io.Writer
}

// Row holds the figures of the runs with one mechanism disabled. Disabled is empty for the row
// of all mechanisms.
type Row struct {
	Disabled codes.ID
	Title    string
	Figures  []float64
}

// Table holds the rows; the first is that of all mechanisms.
type Table []Row

// disabledEnv is the environment variable that builds with the tag ablate read.
const disabledEnv = "VERBENADALE_OFF"

// Run runs the command for each row, case and seed, one at a time. It returns the error of the
// first run that fails: a row with fewer runs than the others would be a mean over different
// cases.
func Run(ctx context.Context, cfg Config) (Table, error) {
	table := Table{{Title: "all mechanisms"}}
	for _, c := range cfg.Mechanisms {
		table = append(table, Row{Disabled: c.ID, Title: c.Title})
	}
	for _, name := range cfg.Cases {
		for _, seed := range cfg.Seeds {
			for i := range table {
				figure, err := runOnce(ctx, cfg, table[i].Disabled, name, seed)
				if err != nil {
					return nil, err
				}
				fmt.Fprintf(cfg.Out, "%s seed %d without %q: %g\n", name, seed, string(table[i].Disabled), figure)
				table[i].Figures = append(table[i].Figures, figure)
			}
		}
	}
	return table, nil
}

func runOnce(ctx context.Context, cfg Config, disabled codes.ID, caseName string, seed int) (float64, error) {
	fill := strings.NewReplacer("{off}", string(disabled), "{case}", caseName, "{seed}", strconv.Itoa(seed))
	args := make([]string, len(cfg.Command))
	for i, arg := range cfg.Command {
		args[i] = fill.Replace(arg)
	}
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Env = append(os.Environ(), disabledEnv+"="+string(disabled))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return 0, errors.Wrapf(err, "ablate: %s:\n%s", strings.Join(args, " "), out)
	}
	found := cfg.Figure.FindAllSubmatch(out, -1)
	if len(found) == 0 || len(found[0]) < 2 {
		return 0, errors.Errorf("ablate: no figure %s in the output of %s:\n%s", cfg.Figure, strings.Join(args, " "), out)
	}
	figure, err := strconv.ParseFloat(string(found[len(found)-1][1]), 64)
	return figure, errors.Wrap(err, "ablate: parse figure")
}

// mean returns the mean of xs and its standard error.
func mean(xs []float64) (m, sem float64) {
	for _, x := range xs {
		m += x / float64(len(xs))
	}
	if len(xs) < 2 {
		return m, 0
	}
	sum := 0.0
	for _, x := range xs {
		sum += (x - m) * (x - m)
	}
	return m, math.Sqrt(sum/float64(len(xs)-1)) / math.Sqrt(float64(len(xs)))
}

// Contribution returns the contribution of the mechanism of row i: the mean difference, case by
// case and seed by seed, between the figure with all mechanisms and that without it, and the
// standard error of this mean.
func (t Table) Contribution(i int) (diff, sem float64) {
	diffs := make([]float64, len(t[i].Figures))
	for j, x := range t[i].Figures {
		diffs[j] = t[0].Figures[j] - x
	}
	return mean(diffs)
}

// Write writes the table in Markdown.
func (t Table) Write(w io.Writer) error {
	var b strings.Builder
	b.WriteString("| without | mean | worth | of the mechanism |\n|---|---|---|---|\n")
	for i, row := range t {
		m, _ := mean(row.Figures)
		if i == 0 {
			fmt.Fprintf(&b, "| nothing | %.4f | | %d plays |\n", m, len(row.Figures))
			continue
		}
		diff, sem := t.Contribution(i)
		fmt.Fprintf(&b, "| %s | %.4f | %+.4f ± %.4f | %s |\n", row.Disabled, m, diff, sem, row.Title)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "ablate: write table")
}
