package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/chart"
)

type plotCmd struct {
	dir  string
	goal time.Duration
}

func (*plotCmd) Name() string { return "plot" }
func (*plotCmd) Synopsis() string {
	return "draw goodput and predicted times from the logs of entry hosts"
}

func (*plotCmd) Usage() string {
	return `plot [-dir DIR] [-goal 1s] NAME=LOG...
  Writes goodput.svg and predictions.svg, with one series per log. A log may
  contain the lines of several hosts.

  Example:
    verbdev plot -dir /tmp/plots before=/tmp/before.log after=/tmp/after.log
`
}

func (c *plotCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.dir, "dir", ".", "directory of the plots")
	fs.DurationVar(&c.goal, "goal", time.Second, "maximum time to first byte of an answer that counts as in time")
}

func (c *plotCmd) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() == 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	if err := c.draw(fs.Args()); err != nil {
		fmt.Fprintf(os.Stderr, "verbdev: %v\n", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *plotCmd) draw(args []string) error {
	ss, err := readLogs(args, c.goal)
	if err != nil {
		return err
	}
	if err := chart.Goodput(filepath.Join(c.dir, "goodput.svg"), ss); err != nil {
		return err
	}
	return chart.Predictions(filepath.Join(c.dir, "predictions.svg"), ss)
}

// readLogs reads one series for each argument of the form NAME=LOG.
func readLogs(args []string, goal time.Duration) ([]chart.Series, error) {
	var ss []chart.Series
	for _, arg := range args {
		name, file, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not of the form NAME=LOG", arg)
		}
		s, err := readSeries(file, name, goal)
		if err != nil {
			return nil, err
		}
		if s.OmittedLines > 0 {
			fmt.Fprintf(os.Stderr, "verbdev: %s: hosts dropped %d log lines, counts at peaks are too low\n", name, s.OmittedLines)
		}
		ss = append(ss, s)
	}
	return ss, nil
}

func readSeries(file, name string, goal time.Duration) (chart.Series, error) {
	f, err := os.Open(file)
	if err != nil {
		return chart.Series{}, err
	}
	defer f.Close()
	return chart.Read(f, name, goal)
}
