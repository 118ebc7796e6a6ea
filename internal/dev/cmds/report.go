package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/chart"
)

type reportCmd struct {
	out  string
	goal time.Duration
}

func (*reportCmd) Name() string { return "report" }
func (*reportCmd) Synopsis() string {
	return "write an HTML report on a period of load from the logs of entry hosts"
}

func (*reportCmd) Usage() string {
	return `report [-o FILE] [-goal 1s] NAME=LOG...
  Writes one self-contained HTML page: goodput, predicted and actual times,
  times by profile, refusals by code and work by target. A log may contain the
  lines of several hosts.

  Example:
    verbdev report -o /tmp/report.html day=/tmp/day.log
`
}

func (c *reportCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.out, "o", "report.html", "path of the report")
	fs.DurationVar(&c.goal, "goal", time.Second, "maximum time to first byte of an answer that counts as in time")
}

func (c *reportCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.write(fs.Args()); err != nil {
		fmt.Fprintf(os.Stderr, "verbdev: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *reportCmd) write(args []string) error {
	ss, err := readLogs(args, c.goal)
	if err != nil {
		return err
	}
	f, err := os.Create(c.out)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := chart.Page(f, ss); err != nil {
		return err
	}
	return f.Close()
}
