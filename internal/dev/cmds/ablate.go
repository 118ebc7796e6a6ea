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
	return "measure the effect of each mechanism with a command that generates load"
}

func (*ablateCmd) Usage() string {
	return `ablate [-figure REGEXP] [-cases A,B] [-seeds N] [-only VB6001,VB6002] -- COMMAND...
  Runs the command with all mechanisms and with each of them disabled, for each
  case and seed, and prints a table of the figures found in its output. {off},
  {case} and {seed} in the command are replaced, and VERBENADALE_OFF is set. The
  programs that the command runs must be built with the tag ablate.

  Example:
    verbdev ablate -figure 'goodput": ([0-9.]+)' -cases draft -seeds 3 -- sh play.sh {case} {seed}
`
}

func (c *ablateCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.figure, "figure", `([0-9.]+)`, "regular expression whose first group matches the figure; the last match is used")
	fs.StringVar(&c.cases, "cases", "", "comma-separated cases")
	fs.StringVar(&c.only, "only", "", "comma-separated ids of the mechanisms to disable in turn; all if empty")
	fs.IntVar(&c.seeds, "seeds", 1, "number of seeds, starting with seed 1")
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

// parseMechanisms returns the mechanisms with the given comma-separated ids.
func parseMechanisms(ids string) ([]codes.Code, error) {
	var out []codes.Code
	for id := range strings.SplitSeq(ids, ",") {
		i := slices.IndexFunc(codes.Mechanisms, func(c codes.Code) bool { return string(c.ID) == id })
		if i < 0 {
			return nil, fmt.Errorf("%q is not a mechanism, see docs/codes.md", id)
		}
		out = append(out, codes.Mechanisms[i])
	}
	return out, nil
}
