// Package ablate measures what each mechanism is worth: it plays a command with all mechanisms and
// with each of them left out, and compares a figure of its output.
//
// # Usage
//
//	table, err := ablate.Run(ctx, ablate.Config{
//		Command: []string{"sh", "play.sh", "{off}", "{case}", "{seed}"}, Figure: re,
//		Cases: []string{"day-1", "day-2"}, Seeds: []int{1, 2, 3}, Out: os.Stderr,
//	})
//	table.Write(os.Stdout)
//
// The command plays one case with one seed. {off}, {case} and {seed} stand for the id of the
// mechanism that is left out, the case and the seed; the first is also in the environment, as
// builds with the tag ablate read it. Without a mechanism it is empty.
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

// Config says what is played.
type Config struct {
	Command []string
	// Figure finds the figure in the output of the command, as its first group; the last match
	// counts.
	Figure *regexp.Regexp
	Cases  []string
	Seeds  []int
	// Mechanisms are those that are left out one by one, by id.
	Mechanisms []codes.Code
	// Out gets a line for each play.
	Out io.Writer
}

// Row is what the plays without one mechanism gave. Off is empty for all mechanisms.
type Row struct {
	Off     codes.ID
	Title   string
	Figures []float64
}

// Table holds the row of all mechanisms first.
type Table []Row

// env is the variable that builds with the tag ablate read.
const env = "VERBENADALE_OFF"

// Run plays the command for each row, case and seed, one play at a time. It ends with the first
// play that fails: a mean over fewer plays than the others' would compare other days.
func Run(ctx context.Context, cfg Config) (Table, error) {
	table := Table{{Title: "all mechanisms"}}
	for _, c := range cfg.Mechanisms {
		table = append(table, Row{Off: c.ID, Title: c.Title})
	}
	for _, name := range cfg.Cases {
		for _, seed := range cfg.Seeds {
			for i := range table {
				figure, err := play(ctx, cfg, table[i].Off, name, seed)
				if err != nil {
					return nil, err
				}
				fmt.Fprintf(cfg.Out, "%s seed %d without %q: %g\n", name, seed, string(table[i].Off), figure)
				table[i].Figures = append(table[i].Figures, figure)
			}
		}
	}
	return table, nil
}

func play(ctx context.Context, cfg Config, off codes.ID, name string, seed int) (float64, error) {
	fill := strings.NewReplacer("{off}", string(off), "{case}", name, "{seed}", strconv.Itoa(seed))
	args := make([]string, len(cfg.Command))
	for i, arg := range cfg.Command {
		args[i] = fill.Replace(arg)
	}
	cmd := exec.CommandContext(ctx, args[0], args[1:]...)
	cmd.Env = append(os.Environ(), env+"="+string(off))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return 0, errors.Wrapf(err, "ablate: %s:\n%s", strings.Join(args, " "), out)
	}
	found := cfg.Figure.FindAllSubmatch(out, -1)
	if len(found) == 0 || len(found[0]) < 2 {
		return 0, errors.Errorf("ablate: no figure %s in the output of %s:\n%s", cfg.Figure, strings.Join(args, " "), out)
	}
	figure, err := strconv.ParseFloat(string(found[len(found)-1][1]), 64)
	return figure, errors.Wrap(err, "ablate: figure")
}

// mean returns the mean of figures and its standard error.
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

// Worth returns what a mechanism gives: the mean difference, play by play, of the figure with all
// mechanisms and that without it, and the standard error of this mean.
func (t Table) Worth(i int) (worth, sem float64) {
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
		worth, sem := t.Worth(i)
		fmt.Fprintf(&b, "| %s | %.4f | %+.4f ± %.4f | %s |\n", row.Off, m, worth, sem, row.Title)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "ablate: write")
}
