package cmds

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/google/subcommands"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/dev/soak"
)

// soakCmd runs seeds of the fault soak.
type soakCmd struct {
	cfg      soak.Config
	seeds    int
	parallel int
	logs     string
}

func (*soakCmd) Name() string     { return "soak" }
func (*soakCmd) Synopsis() string { return "harm real hosts at random and check the promises" }

func (*soakCmd) Usage() string {
	return `soak [-program FILE] [-seed N] [-seeds N] [-parallel N] [-for DURATION] [-planned] [-logs DIR]
  Runs entry hosts as processes before stand-ins of the platform's store and
  of targets, harms them from outside in an order drawn from the seed, and checks
  what callers and targets see. Without -seed it begins with a fresh one, which it
  prints. A seed that breaks a promise is printed with its plan, and its logs are
  kept; the exit status is then 1.

  Example:
    verbdev soak -seeds 50 -parallel 4 -for 20s
`
}

func (c *soakCmd) SetFlags(fs *flag.FlagSet) {
	beside := "verbenadale"
	if exe, err := os.Executable(); err == nil {
		beside = filepath.Join(filepath.Dir(exe), beside)
	}
	fs.StringVar(&c.cfg.Program, "program", beside, "program of the entry hosts")
	fs.Uint64Var(&c.cfg.Seed, "seed", 0, "first seed, 0 for a fresh one")
	fs.IntVar(&c.seeds, "seeds", 1, "seeds to run, one after the other from the first on")
	fs.IntVar(&c.parallel, "parallel", 1, "seeds that run at the same time")
	fs.DurationVar(&c.cfg.Duration, "for", 20*time.Second, "how long faults begin")
	fs.IntVar(&c.cfg.Hosts, "hosts", 2, "entry hosts of each of the two regions")
	fs.IntVar(&c.cfg.Callers, "callers", 3, "callers in each region")
	fs.BoolVar(&c.cfg.Planned, "planned", false, "overlapping series of planned work alone, beside long streams that pause")
	fs.StringVar(&c.logs, "logs", os.TempDir(), "folder for the logs of seeds that break a promise")
}

func (c *soakCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := exec.LookPath(c.cfg.Program); err != nil {
		fmt.Fprintf(os.Stderr, "verbdev: no program %s, build it with 'go build -o bin/ ./cmd/...' or name it with -program\n", c.cfg.Program)
		return subcommands.ExitUsageError
	}
	if c.cfg.Seed == 0 {
		c.cfg.Seed = uint64(time.Now().Unix())
	}
	fmt.Printf("seeds %d to %d\n", c.cfg.Seed, c.cfg.Seed+uint64(c.seeds)-1)
	next, bad := make(chan uint64), make(chan int, c.seeds)
	var t tomb.Tomb
	for range max(1, c.parallel) {
		w := &soakWorker{cmd: c, ctx: ctx, next: next, bad: bad}
		t.Go(w.run)
	}
	for n := range c.seeds {
		next <- c.cfg.Seed + uint64(n)
	}
	close(next)
	_ = t.Wait()
	if len(bad) > 0 {
		fmt.Printf("%d of %d seeds broke a promise\n", len(bad), c.seeds)
		return subcommands.ExitFailure
	}
	fmt.Printf("%d seeds, no promise broken\n", c.seeds)
	return subcommands.ExitSuccess
}

// soakWorker runs one seed after the other.
type soakWorker struct {
	cmd  *soakCmd
	ctx  context.Context
	next <-chan uint64
	bad  chan<- int
}

func (w *soakWorker) run() error {
	for seed := range w.next {
		if !w.one(seed) {
			w.bad <- 1
		}
	}
	return nil
}

// one runs a seed and reports whether every promise was kept.
func (w *soakWorker) one(seed uint64) bool {
	log, err := os.Create(filepath.Join(w.cmd.logs, fmt.Sprintf("soak-%d.log", seed)))
	if err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
		return false
	}
	defer log.Close()
	cfg := w.cmd.cfg
	cfg.Seed, cfg.Log = seed, log
	rep, err := soak.Run(w.ctx, cfg)
	if err != nil {
		fmt.Fprintf(os.Stderr, "verbdev: seed %d: %v, logs in %s\n", seed, err, log.Name())
		return false
	}
	fmt.Print(rep)
	if len(rep.Violations) > 0 {
		fmt.Println("  logs    ", log.Name())
		return false
	}
	_ = os.Remove(log.Name())
	return true
}
