package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"verbenadale.example/verbenadale/internal/dev/base"
	"verbenadale.example/verbenadale/internal/dev/bench"
)

// benchCmd compares routing policies under load.
type benchCmd struct {
	cfg       bench.Config
	scenarios string
	policies  string
	out       string
	plot      string
	logs      bool
}

func (*benchCmd) Name() string     { return "bench" }
func (*benchCmd) Synopsis() string { return "compare routing policies through separate processes" }

func (*benchCmd) Usage() string {
	return fmt.Sprintf(`bench -scenario NAME[,NAME] -deployment NAME [-policies ...] [-out FILE] [-plot FILE]
  Scenarios: %s
  Deployments: %s

  Example:
    verbdev bench -scenario peak -deployment foundation -rounds 2
`, strings.Join(bench.Scenarios(), ", "), strings.Join(bench.Deployments(), ", "))
}

func (c *benchCmd) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&c.scenarios, "scenario", "steady", "comma-separated scenarios")
	fs.StringVar(&c.cfg.Deployment, "deployment", "foundation", "deployment")
	fs.StringVar(&c.policies, "policies", strings.Join(base.Names, ","), "comma-separated policies")
	fs.DurationVar(&c.cfg.Duration, "for", 10*time.Second, "duration of one measured load")
	fs.DurationVar(&c.cfg.Warmup, "warm", 10*time.Second, "duration of the warm-up load, which is not measured")
	fs.IntVar(&c.cfg.Rounds, "rounds", 2, "number of rounds, each with every policy")
	fs.Float64Var(&c.cfg.Scale, "scale", 1, "factor by which the engines are slowed down and the load is reduced")
	fs.Uint64Var(&c.cfg.Seed, "seed", 1, "seed of arrival times and prompts")
	fs.BoolVar(&c.logs, "logs", false, "copy the logs of the processes to standard error")
	fs.StringVar(&c.out, "out", "", "write the results to this file as JSON")
	fs.StringVar(&c.plot, "plot", "", "write a plot of the last scenario to this file, .png or .svg")
}

func (c *benchCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *benchCmd) run(ctx context.Context) error {
	var err error
	if c.cfg.Program, err = os.Executable(); err != nil {
		return err
	}
	c.cfg.Policies = strings.Split(c.policies, ",")
	for _, p := range c.cfg.Policies {
		if !slices.Contains(base.Names, p) {
			return fmt.Errorf("%w: %s", bench.ErrUnknown, p)
		}
	}
	if c.logs {
		c.cfg.Log = os.Stderr
	}
	var reps []bench.Report
	for _, sc := range strings.Split(c.scenarios, ",") {
		c.cfg.Scenario = sc
		rep, err := bench.Run(ctx, c.cfg)
		rep.Table(os.Stdout)
		reps = append(reps, rep)
		if err != nil {
			return err
		}
	}
	return c.write(reps)
}

func (c *benchCmd) write(reps []bench.Report) error {
	if c.plot != "" {
		if err := reps[len(reps)-1].Plot(c.plot); err != nil {
			return err
		}
	}
	if c.out == "" {
		return nil
	}
	b, err := json.MarshalIndent(reps, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.out, b, 0o600)
}
