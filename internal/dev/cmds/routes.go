package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/dev/routes"
	"verbenadale.example/verbenadale/internal/logs"
)

// routesCmd runs a small deployment that is configured by routes, with a fake of the
// users' platform.
type routesCmd struct {
	stay bool
	logs bool
}

func (*routesCmd) Name() string     { return "routes" }
func (*routesCmd) Synopsis() string { return "run a small deployment on the platform with routes" }

func (*routesCmd) Usage() string {
	return `routes [-stay] [-logs]
  Starts a stand-in of the platform's store, workers in two regions and two
  entry hosts in one process, and sends a few requests. With -stay it keeps
  running after it has printed commands to try.
`
}

func (c *routesCmd) SetFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.stay, "stay", false, "run until interrupted")
	fs.BoolVar(&c.logs, "logs", false, "print the logs of the entry hosts to standard error")
}

func (c *routesCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	// A level below that of every log line, so that nothing is logged.
	level := -1
	if c.logs {
		level = 0
	}
	f, err := routes.Start(routes.Config{Log: logs.New(os.Stderr, logs.NewLevel(level)), Addr: ports.Next})
	if err == nil {
		defer f.Stop()
		err = f.Show(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
		return subcommands.ExitFailure
	}
	if !c.stay {
		return subcommands.ExitSuccess
	}
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGINT, syscall.SIGTERM)
	<-sigs
	return subcommands.ExitSuccess
}
