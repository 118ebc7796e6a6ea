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
	"verbenadale.example/verbenadale/internal/dev/worker"
)

// soakCmd runs the fault soak with a range of seeds.
type soakCmd struct {
	cfg      soak.Config
	seeds    int
	parallel int
	logs     string
}

func (*soakCmd) Name() string { return "soak" }
func (*soakCmd) Synopsis() string {
	return "inject random faults into real hosts and check the guarantees"
}

func (*soakCmd) Usage() string {
	return `soak [-program FILE] [-seed N] [-seeds N] [-parallel N] [-for DURATION] [-planned] [-poison] [-parts] [-rests] [-limits] [-builds] [-rejoins] [-answers] [-ends] [-releases] [-retries] [-broken] [-logs DIR]
  Runs entry hosts as processes with stand-ins of the platform's store and of
  targets, injects faults in an order derived from the seed, and checks what
  callers and targets see. Without -seed it starts with the current Unix time in
  seconds, which it prints before the first run. A seed that violates a guarantee
  is printed with its plan and its logs are kept; the exit status is then 1.

  Example:
    verbdev soak -seeds 50 -parallel 4 -for 20s
`
}

func (c *soakCmd) SetFlags(fs *flag.FlagSet) {
	defaultProgram := "verbenadale"
	if exe, err := os.Executable(); err == nil {
		defaultProgram = filepath.Join(filepath.Dir(exe), defaultProgram)
	}
	fs.StringVar(&c.cfg.Program, "program", defaultProgram, "path of the entry host program")
	fs.Uint64Var(&c.cfg.Seed, "seed", 0, "first seed, 0 to use the current Unix time")
	fs.IntVar(&c.seeds, "seeds", 1, "number of consecutive seeds to run")
	fs.IntVar(&c.parallel, "parallel", 1, "number of seeds that run concurrently")
	fs.DurationVar(&c.cfg.Duration, "for", 20*time.Second, "time during which new faults are injected")
	fs.IntVar(&c.cfg.Hosts, "hosts", 2, "number of entry hosts in each region")
	fs.IntVar(&c.cfg.Regions, "regions", 2, "number of regions, 1 or 2")
	fs.IntVar(&c.cfg.Callers, "callers", 3, "number of callers in each region")
	fs.BoolVar(&c.cfg.Planned, "planned", false, "only run overlapping planned maintenance, with long streams that pause")
	fs.BoolVar(&c.cfg.Poison, "poison", false, "add callers that repeat requests which end each target that runs them")
	fs.BoolVar(&c.cfg.Parts, "parts", false, "add callers whose requests share a part of their prompts that ends targets")
	fs.BoolVar(&c.cfg.Rests, "rests", false, "add targets that ask for rest, or say in their answers that they leave, for a while")
	fs.BoolVar(&c.cfg.Limits, "limits", false, "add targets that name a limit on their requests for a while")
	fs.BoolVar(&c.cfg.Rejoins, "rejoins", false, "with -builds, kill all hosts at once around the moment at which the targets of one version leave")
	fs.BoolVar(&c.cfg.Answers, "answers", false, "let targets send answers again before that of a health check, and stop inside events with long lines")
	fs.BoolVar(&c.cfg.Builds, "builds", false, "let targets run two versions of their software and callers take streams up again")
	fs.BoolVar(&c.cfg.Ends, "ends", false, "run targets as processes that end, pause and stop inside answers, with callers that leave and come back")
	fs.BoolVar(&c.cfg.Releases, "releases", false, "only release versions while hosts are cut off from the store and from other hosts, or paused")
	fs.BoolVar(&c.cfg.Retries, "retries", false, "only let targets fail in pulses while hosts restart, links fall silent and callers move, and check the retry budget; needs -for 40s")
	fs.BoolVar(&c.cfg.Broken, "broken", false, "let targets send malformed answers, or reset connections while uploads are written")
	fs.StringVar(&c.logs, "logs", os.TempDir(), "directory for the logs of seeds that violate a guarantee")
}

func (c *soakCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := exec.LookPath(c.cfg.Program); err != nil {
		fmt.Fprintf(os.Stderr, "verbdev: program %s not found, build it with 'go build -o bin/ ./cmd/...' or set its path with -program\n", c.cfg.Program)
		return subcommands.ExitUsageError
	}
	if exe, err := os.Executable(); err == nil {
		c.cfg.Target = []string{exe, targetName}
	}
	if c.cfg.Seed == 0 {
		c.cfg.Seed = uint64(time.Now().Unix())
	}
	fmt.Printf("seeds %d to %d\n", c.cfg.Seed, c.cfg.Seed+uint64(c.seeds)-1)
	next, broken := make(chan uint64), make(chan int, c.seeds)
	var t tomb.Tomb
	for range max(1, c.parallel) {
		w := &soakWorker{cmd: c, ctx: ctx, next: next, broken: broken}
		t.Go(w.run)
	}
	for n := range c.seeds {
		next <- c.cfg.Seed + uint64(n)
	}
	close(next)
	_ = t.Wait()
	if len(broken) > 0 {
		fmt.Printf("%d of %d seeds broke a promise\n", len(broken), c.seeds)
		return subcommands.ExitFailure
	}
	fmt.Printf("%d seeds, no promise broken\n", c.seeds)
	return subcommands.ExitSuccess
}

// soakWorker runs seeds one at a time.
type soakWorker struct {
	cmd    *soakCmd
	ctx    context.Context
	next   <-chan uint64
	broken chan<- int
}

func (w *soakWorker) run() error {
	for seed := range w.next {
		if !w.runSeed(seed) {
			w.broken <- 1
		}
	}
	return nil
}

// runSeed runs a seed and reports whether the run completed without a violation.
func (w *soakWorker) runSeed(seed uint64) bool {
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

const targetName = "target"

// targetCmd runs a target of the fault soak.
type targetCmd struct{}

func (*targetCmd) Name() string     { return targetName }
func (*targetCmd) Synopsis() string { return "run a target of the fault soak" }
func (*targetCmd) Usage() string {
	return "target\n  Reads its settings and faults from standard input.\n"
}
func (*targetCmd) SetFlags(_ *flag.FlagSet) {}

func (*targetCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := worker.RunProcess(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "verbdev:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
