package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/demo"
	"verbenadale.example/verbenadale/internal/logs"
)

type demoCmd struct {
	stay    bool
	verbose bool
	record  string
}

func (*demoCmd) Name() string     { return "demo" }
func (*demoCmd) Synopsis() string { return "run a small system in one process and demonstrate it" }

func (*demoCmd) Usage() string {
	return `demo [-stay] [-v] [-record DIR]
  Starts the platform, engines, services and entry hosts of three data centres
  on free ports of 127.0.0.1, shows what a caller sees and exits.

  Example:
    verbdev demo -stay
`
}

func (c *demoCmd) SetFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.stay, "stay", false, "keep running until interrupted")
	fs.StringVar(&c.record, "record", "", "write the events and effects of each host to this directory, for replay")
	fs.BoolVar(&c.verbose, "v", false, "print the logs of the entry hosts")
}

func (c *demoCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := logr.Discard()
	if c.verbose {
		log = logs.New(os.Stderr, logs.NewLevel(0))
	}
	if err := demo.Run(ctx, demo.Config{Out: os.Stdout, Log: log, Stay: c.stay, RecordDir: c.record}); err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
