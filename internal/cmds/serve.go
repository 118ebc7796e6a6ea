// Package cmds implements the commands of the verbenadale program.
//
// # Usage
//
//	verbenadale serve -settings entry.jsonc
//	verbenadale check entry.jsonc
//	verbenadale explain VB1004
package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/daemon"
	"verbenadale.example/verbenadale/internal/logs"
)

// Register registers every command.
func Register(cdr *subcommands.Commander) {
	cdr.Register(cdr.HelpCommand(), "")
	cdr.Register(&serveCmd{}, "")
	cdr.Register(&checkCmd{}, "")
	cdr.Register(&explainCmd{}, "")
	cdr.Register(&docsCmd{}, "")
}

// serveCmd runs an entry host.
type serveCmd struct{ settings string }

func (*serveCmd) Name() string     { return "serve" }
func (*serveCmd) Synopsis() string { return "run an entry host" }

func (*serveCmd) Usage() string {
	return `serve -settings FILE
  Runs an entry host until SIGTERM, which drains it. A second signal stops it
  immediately.

  Example:
    verbenadale serve -settings entry.jsonc
`
}

func (c *serveCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.settings, "settings", "", "settings file, JSON with comments")
}

func (c *serveCmd) Execute(_ context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	set, faults, err := config.Load(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbenadale:", err)
		return subcommands.ExitFailure
	}
	for _, f := range faults {
		fmt.Fprintln(os.Stderr, "verbenadale:", f)
	}
	if !config.Usable(faults) {
		return subcommands.ExitUsageError
	}
	lvl := logs.NewLevel(set.Logs.Level)
	log := logs.New(os.Stderr, lvl)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.Start(daemon.Config{Settings: set, Log: log, Level: lvl})
	if err != nil {
		log.Error(err, "start failed")
		return subcommands.ExitFailure
	}
	log.Info("serving", "entry", set.Entry, "callers", set.Callers.Listen, "operators", set.Operators.Listen)
	select {
	case <-signals:
		log.Info("draining")
		d.Drain()
	case <-d.Drained():
		// An operator drained the host, and its last request has ended.
	}
	select {
	case <-d.Drained():
		d.Stop()
		log.Info("stopped")
		return subcommands.ExitSuccess
	case <-signals:
		log.Info("stopped at once", "requestsCut", d.Requests())
		return subcommands.ExitFailure
	}
}
