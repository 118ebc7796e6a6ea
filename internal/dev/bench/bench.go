// Package bench compares routing policies through separate processes: a
// platform, engines and entry hosts of three data centres in three regions,
// with relays between them that delay what passes, and open-loop load.
//
// # Usage
//
//	rep, err := bench.Run(ctx, bench.Config{
//		Program: "verbdev", Deployment: "foundation", Scenario: "peak",
//		Policies: []string{"cost", "random"}, For: 10 * time.Second, Rounds: 2,
//	})
//	rep.Table(os.Stdout)
//
// All policies run in one fleet, one after the other and again in the next
// round, each under the same load by the same seed, so that their figures are
// ratios and a busy machine burdens all alike. The entry hosts change their
// policy between two loads. Each load has prompts with prefixes of its own:
// what one policy left in the caches is of no use to the next.
package bench

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/dev/load"
)

// Errors of this package.
var (
	ErrUnknown = errors.New("bench: no such scenario, deployment or policy")
	ErrStart   = errors.New("bench: a process does not answer")
)

// Config says what to measure.
type Config struct {
	// Program is the file of verbdev, which the fleet is made of.
	Program    string
	Deployment string
	Scenario   string
	Policies   []string
	// For is the length of one load, Rounds how often each policy has its
	// turn.
	For    time.Duration
	Rounds int
	// Warm is the length of the load before the first that counts.
	Warm time.Duration
	// Scale stretches the time of the engines and thins out the load by as
	// much.
	Scale float64
	Seed  uint64
	// Log takes what the processes log; nil drops it.
	Log io.Writer
}

// Row is one load under one policy.
type Row struct {
	Policy string `json:"policy"`
	Round  int    `json:"round"`
	// Cost is price times seconds of slots for a thousand answers in time.
	Cost float64 `json:"cost"`
	// Away is the share of the requests sent to another region, Hits that of
	// the prompt blocks found in a cache, Refused that of the requests.
	Away    float64 `json:"away"`
	Hits    float64 `json:"hits"`
	Refused float64 `json:"refused"`
	// Sends counts what engines were sent for each request.
	Sends float64     `json:"sends"`
	Load  load.Result `json:"load"`
}

// Report is what came of all loads.
type Report struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Rows       []Row  `json:"rows"`
}

// bench is one comparison that runs.
type bench struct {
	cfg   Config
	clock *clock.Service
	fleet *fleet
	scene scene
}

// Run measures.
func Run(ctx context.Context, cfg Config) (Report, error) {
	rep := Report{Deployment: cfg.Deployment, Scenario: cfg.Scenario}
	dep, ok := deployments[cfg.Deployment]
	if !ok {
		return rep, errors.Wrap(ErrUnknown, cfg.Deployment)
	}
	sc, ok := scenes[cfg.Scenario]
	if !ok {
		return rep, errors.Wrap(ErrUnknown, cfg.Scenario)
	}
	b := &bench{cfg: cfg, clock: clock.New(), scene: sc}
	defer b.clock.Stop()
	b.fleet = newFleet(cfg, b.clock, sc.shape(dep))
	defer b.fleet.stop()
	if err := b.fleet.start(ctx); err != nil {
		return rep, err
	}
	load.Run(ctx, b.loads("warm", 0, cfg.Warm)...)
	for round := range cfg.Rounds {
		for _, policy := range turn(cfg.Policies, round) {
			row, err := b.measure(ctx, policy, round)
			if err != nil {
				return rep, err
			}
			rep.Rows = append(rep.Rows, row)
		}
	}
	return rep, nil
}

// turn begins each round with another policy, so that none always follows the
// same one.
func turn(policies []string, round int) []string {
	n := round % len(policies)
	return append(append([]string(nil), policies[n:]...), policies[:n]...)
}

// settle is the pause after a change of policy.
const settle = 1500 * time.Millisecond

// measure runs one load under one policy.
func (b *bench) measure(ctx context.Context, policy string, round int) (Row, error) {
	if err := b.fleet.usePolicy(ctx, policy); err != nil {
		return Row{}, err
	}
	b.pause(settle + b.scene.pause)
	before, err := b.fleet.count(ctx)
	if err != nil {
		return Row{}, err
	}
	brk := startBreaker(ctx, b)
	res := load.Run(ctx, b.loads(policy, round, b.cfg.For)...)
	brk.stop()
	after, err := b.fleet.count(ctx)
	if err != nil {
		return Row{}, err
	}
	return rowOf(policy, round, res, after.less(before)), ctx.Err()
}

func (b *bench) pause(d time.Duration) {
	sub := b.clock.At(b.clock.Now().Add(d))
	defer sub.Close()
	<-sub.C()
}

func rowOf(policy string, round int, res load.Result, n counts) Row {
	refused := 0
	for _, k := range res.Refused {
		refused += k
	}
	all := float64(max(res.Requests, 1))
	return Row{
		Policy: policy, Round: round, Load: res,
		Cost:    n.cost / float64(max(res.InTime, 1)) * 1000,
		Away:    n.crossings / all,
		Hits:    n.hits / max(n.blocks, 1),
		Refused: float64(refused) / all,
		Sends:   n.sends / all,
	}
}
