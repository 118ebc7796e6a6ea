package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/ablate"
	"verbenadale.example/verbenadale/pkg/codes"
)

type ablateCmd struct {
	figure string
	cases  string
	only   string
	seeds  int
}

func (*ablateCmd) Name() string { return "ablate" }
func (*ablateCmd) Synopsis() string {
	return "measure what each mechanism is worth by a command that plays a load"
}

func (*ablateCmd) Usage() string {
	return `ablate [-figure REGEXP] [-cases A,B] [-seeds N] [-only VB6001,VB6002] -- COMMAND...
  Runs the command with all mechanisms and without each of them, for each case
  and seed, and prints a table of the figure that it writes. In the command
  {off}, {case} and {seed} are replaced; VERBENADALE_OFF is set. The programs
  that it plays are to be built with the tag ablate.

  Example:
    verbdev ablate -figure 'goodput": ([0-9.]+)' -cases draft -seeds 3 -- sh play.sh {case} {seed}
`
}

func (c *ablateCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.figure, "figure", `([0-9.]+)`, "regular expression whose first group is the figure; the last match counts")
	fs.StringVar(&c.cases, "cases", "", "cases, with commas")
	fs.StringVar(&c.only, "only", "", "ids of the mechanisms that are left out, with commas; all of them if empty")
	fs.IntVar(&c.seeds, "seeds", 1, "number of seeds, from 1")
}

func (c *ablateCmd) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.run(ctx, fs.Args()); err != nil {
		fmt.Fprintf(os.Stderr, "verbdev: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *ablateCmd) run(ctx context.Context, command []string) error {
	re, err := regexp.Compile(c.figure)
	if err != nil {
		return err
	}
	cfg := ablate.Config{Command: command, Figure: re, Cases: strings.Split(c.cases, ","), Mechanisms: codes.Mechanisms, Out: os.Stderr}
	for seed := range c.seeds {
		cfg.Seeds = append(cfg.Seeds, seed+1)
	}
	if c.only != "" {
		if cfg.Mechanisms, err = parseMechanisms(c.only); err != nil {
			return err
		}
	}
	table, err := ablate.Run(ctx, cfg)
	if err != nil {
		return err
	}
	return table.Write(os.Stdout)
}

// parseMechanisms returns the parseMechanisms of ids with commas.
func parseMechanisms(ids string) ([]codes.Code, error) {
	var out []codes.Code
	for id := range strings.SplitSeq(ids, ",") {
		i := slices.IndexFunc(codes.Mechanisms, func(c codes.Code) bool { return string(c.ID) == id })
		if i < 0 {
			return nil, fmt.Errorf("%q is no mechanism, see docs/codes.md", id)
		}
		out = append(out, codes.Mechanisms[i])
	}
	return out, nil
}
