// Package bench compares routing policies on separate processes: a platform,
// engines and entry hosts of up to three data centres, each in its own region, with
// relays between them that add latency, under open-loop load.
//
// # Usage
//
//	rep, err := bench.Run(ctx, bench.Config{
//		Program: "verbdev", Deployment: "foundation", Scenario: "peak",
//		Policies: []string{"cost", "random"}, Duration: 10 * time.Second, Rounds: 2,
//	})
//	rep.Table(os.Stdout)
//
// All policies run in the same fleet, one after the other in each round, under the
// same load from the same seed. Their figures are therefore to be compared as ratios: a
// busy machine affects all policies alike. The entry hosts change their policy between
// two loads. Each load has prompt prefixes of its own, so that no policy profits from
// the caches that the previous one filled.
package bench

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/dev/load"
)

// Errors that Run returns.
var (
	ErrUnknown = errors.New("bench: no such scenario, deployment or policy")
	ErrStart   = errors.New("bench: process does not answer")
)

// Config describes a comparison.
type Config struct {
	// Program is the path of the verbdev executable, which all processes of the fleet run.
	Program    string
	Deployment string
	Scenario   string
	Policies   []string
	// Duration is the length of one load. Each policy is measured once in each of the Rounds.
	Duration time.Duration
	Rounds   int
	// Warmup is the length of the load that runs, without being measured, before the first round.
	Warmup time.Duration
	// Scale multiplies the times of the engines and divides the rate of the load.
	Scale float64
	Seed  uint64
	// Log receives the logs of the processes; nil discards them.
	Log io.Writer
}

// Row is the result of one load under one policy.
type Row struct {
	Policy string `json:"policy"`
	Round  int    `json:"round"`
	// Cost is the price times the busy slot-seconds, per thousand in-time answers.
	Cost float64 `json:"cost"`
	// Forwarded is the number of requests sent to another region, as a share of all requests,
	// Hits the share of the prompt blocks found in a cache, Refused the share of the requests
	// that were refused.
	Forwarded float64 `json:"away"`
	Hits      float64 `json:"hits"`
	Refused   float64 `json:"refused"`
	// Attempts is the number of requests that engines ran, per request of the load.
	Attempts float64     `json:"sends"`
	Load     load.Result `json:"load"`
}

// Report is the result of all loads.
type Report struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Rows       []Row  `json:"rows"`
}

// bench is a comparison in progress.
type bench struct {
	cfg      Config
	clock    *clock.Service
	fleet    *fleet
	scenario scenario
}

// Run starts a fleet and measures each policy in each round. The error is ErrUnknown for an
// unknown deployment or scenario and ErrStart if a process does not answer. With an error, the
// report holds the rows measured so far.
func Run(ctx context.Context, cfg Config) (Report, error) {
	rep := Report{Deployment: cfg.Deployment, Scenario: cfg.Scenario}
	dep, ok := deployments[cfg.Deployment]
	if !ok {
		return rep, errors.Wrap(ErrUnknown, cfg.Deployment)
	}
	sc, ok := scenarios[cfg.Scenario]
	if !ok {
		return rep, errors.Wrap(ErrUnknown, cfg.Scenario)
	}
	b := &bench{cfg: cfg, clock: clock.New(), scenario: sc}
	defer b.clock.Stop()
	b.fleet = newFleet(cfg, b.clock, sc.shape(dep))
	defer b.fleet.stop()
	if err := b.fleet.start(ctx); err != nil {
		return rep, err
	}
	load.Run(ctx, b.loads("warm", 0, cfg.Warmup)...)
	for round := range cfg.Rounds {
		for _, policy := range rotate(cfg.Policies, round) {
			row, err := b.measure(ctx, policy, round)
			if err != nil {
				return rep, err
			}
			rep.Rows = append(rep.Rows, row)
		}
	}
	return rep, nil
}

// rotate returns the policies of a round. Each round begins with another policy, so that none
// always follows the same one.
func rotate(policies []string, round int) []string {
	n := round % len(policies)
	return append(append([]string(nil), policies[n:]...), policies[:n]...)
}

// settleDelay is the time between a change of policy and the load.
const settleDelay = 1500 * time.Millisecond

// measure runs one load under one policy.
func (b *bench) measure(ctx context.Context, policy string, round int) (Row, error) {
	if err := b.fleet.usePolicy(ctx, policy); err != nil {
		return Row{}, err
	}
	b.pause(settleDelay + b.scenario.extraDelay)
	before, err := b.fleet.readCounts(ctx)
	if err != nil {
		return Row{}, err
	}
	injector := startFaultInjector(ctx, b)
	res := load.Run(ctx, b.loads(policy, round, b.cfg.Duration)...)
	injector.stop()
	after, err := b.fleet.readCounts(ctx)
	if err != nil {
		return Row{}, err
	}
	return rowOf(policy, round, res, after.minus(before)), ctx.Err()
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
		Cost:      n.cost / float64(max(res.InTime, 1)) * 1000,
		Forwarded: n.crossings / all,
		Hits:      n.hits / max(n.blocks, 1),
		Refused:   float64(refused) / all,
		Attempts:  n.attempts / all,
	}
}
