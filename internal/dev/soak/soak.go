// Package soak runs entry hosts as separate processes with fakes of the platform's
// store and of targets, injects faults in an order drawn from a seed, and checks what
// callers and targets see meanwhile.
//
// # Usage
//
//	rep, err := soak.Run(ctx, soak.Config{Program: "bin/verbenadale", Seed: 7, Duration: 20 * time.Second})
//	for _, v := range rep.Violations {
//		fmt.Println(v)
//	}
//
// Each host reaches the store, its peers and the targets through loopback relays
// that can delay, reset, refuse or silence connections, also in one direction only.
// Processes are stopped, killed, paused and made to reload their settings. Faults occur
// alone, in series and at the same time. A seed always gives the same plan; its effect
// depends on the timing of the machine, so a seed that fails is run a few more times.
//
// Two kinds of fault are not covered: the wall clocks of processes cannot be skewed
// without privileges, and hosts have no storage.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/clock"
)

// ErrStart is returned if the deployment could not be started.
var ErrStart = errors.New("soak: start")

// Config describes a run.
type Config struct {
	// Program is the path of the entry host executable.
	Program string
	Seed    uint64
	// Duration is the span in which faults begin.
	Duration time.Duration
	// Regions is the number of regions, Hosts and Callers are the numbers of entry hosts and callers in each.
	Regions, Hosts, Callers int
	// Planned replaces faults by overlapping series of planned work, beside streams of several
	// seconds that pause at their targets. No request that has run may then be aborted.
	Planned bool
	// Poison adds callers that repeat requests which end each target that runs them.
	Poison bool
	// Parts adds callers whose requests share a part of their prompts that ends targets.
	Parts bool
	// Rests adds targets that ask for rest, or say in their answers that they leave, for a while.
	Rests bool
	// Limits adds targets that name a limit on their requests for a while.
	Limits bool
	// Builds lets targets run two versions of their software, and callers take their streams up again
	// at other hosts.
	Builds bool
	// Rejoins adds moments at which all hosts are killed at once, around which the targets of one version leave. It needs
	// Builds.
	Rejoins bool
	// Answers adds targets that send answers again, late, while their health checks fail, and streams of events with long
	// lines whose targets stop inside an event.
	Answers bool
	// Ends runs the targets as processes that end, pause and stop in the middle of answers, of which many are unframed, and lets
	// callers keep to their hosts, leave and come back early. Targets have two builds, as with Builds.
	Ends bool
	// Releases replaces faults by releases of versions that are new to the hosts, while some of these are isolated. Targets have one
	// version at first.
	Releases bool
	// Retries replaces other faults by pulses in which all targets of a service fail, while hosts restart in series, links fall
	// silent and callers move between hosts. The repeats that reach targets must stay within the retry budget.
	Retries bool
	// Broken adds targets whose answers are malformed, or are reset while an upload is written, and streams with uploads. Relays, which
	// pass on a reset as an orderly end, stand before targets only with Ends.
	Broken bool
	// Target is the command that runs worker.RunProcess. Ends needs it.
	Target []string
	// Log receives the output of the hosts; nil discards it.
	Log io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Plan       []string
	Violations []string
	// Notes are figures that show how close the run came to a bound.
	Notes    []string
	Requests int
	Outcomes map[string]int
}

const (
	// recoveryTimeout is how long after the last fault every host must serve again: enough for a
	// lease to expire, a round of suspicion and a few digests.
	recoveryTimeout = 12 * time.Second
	// settleTime is the time after a fault from which the bounds hold again: the longest silence
	// that a component tolerates before it chooses another route.
	settleTime = 6 * time.Second
	// maxPropagation bounds the time until a draining target, an evacuated data centre or a new
	// configuration takes effect at every host, without faults.
	maxPropagation = 4 * time.Second
)

// timing holds the durations of requests and stops.
type timing struct {
	// eventInterval is the time between two events of a stream, deadline how long a caller
	// waits.
	eventInterval, deadline time.Duration
	timeoutMs               int
	graceSeconds            float64
}

// timing returns the durations of a run. With planned work the grace period is longer than a
// stream that pauses at both of its targets.
func (cfg Config) timing() timing {
	if cfg.Releases {
		return releaseTiming
	}
	if cfg.Planned {
		return timing{eventInterval: 60 * time.Millisecond, deadline: 7 * time.Second, timeoutMs: 8000, graceSeconds: 14}
	}
	return timing{eventInterval: 30 * time.Millisecond, deadline: 3 * time.Second, timeoutMs: 4000, graceSeconds: 4}
}

// Run runs the plan of one seed and checks the guarantees. The error is ErrStart if the
// deployment did not start; violations are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Hosts == 0 {
		cfg.Hosts = 2
	}
	if cfg.Callers == 0 {
		cfg.Callers = 3
	}
	if cfg.Log == nil {
		cfg.Log = io.Discard
	}
	cfg.Builds = cfg.Builds || cfg.Ends || cfg.Releases
	s := &deployment{cfg: cfg, clock: clock.New(), began: time.Now(), leftAt: make(map[string]time.Time)}
	defer s.stop()
	if err := s.start(); err != nil {
		return Report{Seed: cfg.Seed}, err
	}
	c := newCallerPool(s)
	s.pool = c
	if !c.awaitServing(ctx, recoveryTimeout) {
		return Report{Seed: cfg.Seed}, errors.Wrap(ErrStart, "not every host answers every kind of request with 200")
	}
	c.start()
	plan := cfg.plan(s)
	s.runPlan(ctx, plan)
	healed := c.awaitServing(ctx, recoveryTimeout)
	c.stop()
	chk := &checker{deployment: s, pool: c}
	chk.check()
	if !healed {
		chk.report("recovery: not every host serves %v after the last fault", recoveryTimeout)
	}
	rep := Report{Seed: cfg.Seed, Violations: chk.violations, Notes: chk.notes, Requests: len(c.observations), Outcomes: c.outcomes()}
	for _, f := range plan {
		rep.Plan = append(rep.Plan, f.String())
	}
	return rep, nil
}

// plan draws the plan of the seed. What Poison, Parts, Rests, Limits, Answers, Rejoins, Ends and Broken add leaves the rest of the plan as it is.
func (cfg Config) plan(s *deployment) []fault {
	rnd := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	if cfg.Planned {
		return drawPlanned(rnd, cfg.Duration, s)
	}
	if cfg.Releases {
		return drawReleases(rnd, cfg.Duration, s)
	}
	if cfg.Retries {
		return drawRetries(rnd, cfg.Duration, s)
	}
	plan := drawPlan(rnd, cfg.Duration, s)
	if cfg.Poison {
		plan = append(plan, drawPoison(rnd, cfg.Duration, s)...)
	}
	if cfg.Parts {
		plan = append(plan, drawParts(rnd, cfg.Duration, s)...)
	}
	if cfg.Rests {
		plan = append(plan, drawRests(rnd, cfg.Duration, s)...)
	}
	if cfg.Limits {
		plan = append(plan, drawLimits(rnd, cfg.Duration, s)...)
	}
	if cfg.Answers {
		plan = append(plan, drawAnswers(rnd, cfg.Duration, s)...)
	}
	if cfg.Rejoins {
		plan = append(plan, drawRejoins(rnd, cfg.Duration, s)...)
	}
	if cfg.Ends {
		plan = append(plan, drawEnds(rnd, cfg.Duration, s)...)
	}
	if cfg.Broken {
		plan = append(plan, drawBroken(rnd, cfg.Duration, s)...)
	}
	return plan
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	ctx2, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx2.Done()
	return ctx.Err() == nil
}

// String formats the report for the terminal.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests %v, %d faults, %d promises broken\n", r.Seed, r.Requests, r.Outcomes, len(r.Plan), len(r.Violations))
	for _, n := range r.Notes {
		text += "  note    " + n + "\n"
	}
	if len(r.Violations) == 0 {
		return text
	}
	for _, b := range r.Violations {
		text += "  broken  " + b + "\n"
	}
	for _, f := range r.Plan {
		text += "  fault   " + f + "\n"
	}
	return text
}
