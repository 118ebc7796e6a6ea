// Package soak runs entry hosts as separate processes before stand-ins of the
// platform's store and of targets, harms them from outside in an order drawn from
// a seed, and checks what callers and targets see meanwhile.
//
// # Usage
//
//	rep, err := soak.Run(ctx, soak.Config{Program: "bin/verbenadale", Seed: 7, For: 20 * time.Second})
//	for _, b := range rep.Broken {
//		fmt.Println(b)
//	}
//
// Each host reaches the store, its peers and the targets through loopback relays
// that can delay, reset, refuse or silence connections, also one way. Processes are
// stopped, killed, paused and made to read their settings again. Faults come alone,
// in series and at the same time. The plan of a seed is always the same; what it
// meets depends on the machine, so that a seed which fails is run again a few times.
//
// The wall clocks of processes can't be set apart without privileges, and hosts
// have no storage: neither is harmed here.
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

// ErrStart says that the deployment could not be started.
var ErrStart = errors.New("soak: start")

// Config describes a run.
type Config struct {
	// Program is the entry host's.
	Program string
	Seed    uint64
	// For is how long faults begin.
	For time.Duration
	// Hosts and Callers are those of each region.
	Hosts, Callers int
	// Planned draws overlapping series of planned work alone, beside streams of several seconds
	// that pause at their targets. No request that has run may then be cut.
	Planned bool
	// Log takes what the hosts print; nil drops it.
	Log io.Writer
}

// Report is what a run found.
type Report struct {
	Seed    uint64
	Plan    []string
	Broken  []string
	Asked   int
	Outcome map[string]int
}

// Times of a run.
const (
	// recovery is how long after the last fault everything must be served again:
	// a lease, a round of suspicion and a few digests.
	recovery = 12 * time.Second
	// quiet is the time without a fault after which bounds hold again: the longest
	// silence that a part bears before it takes another way.
	quiet = 6 * time.Second
	// inForce bounds the time until a draining target, an evacuated data centre or a
	// new configuration counts everywhere, without faults.
	inForce = 4 * time.Second
)

// tempo is how long requests and stops take.
type tempo struct {
	// pause is the time between two events of a stream, deadline what a caller waits.
	pause, deadline time.Duration
	timeoutMs       int
	graceSeconds    float64
}

// tempo returns the times of a run. With planned work the grace is longer than a stream that
// pauses at both of its targets.
func (cfg Config) tempo() tempo {
	if cfg.Planned {
		return tempo{pause: 60 * time.Millisecond, deadline: 7 * time.Second, timeoutMs: 8000, graceSeconds: 14}
	}
	return tempo{pause: 30 * time.Millisecond, deadline: 3 * time.Second, timeoutMs: 4000, graceSeconds: 4}
}

// Run runs one seed.
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
	s := &site{cfg: cfg, clock: clock.New(), began: time.Now()}
	defer s.stop()
	if err := s.start(); err != nil {
		return Report{Seed: cfg.Seed}, err
	}
	c := newCrowd(s)
	if !c.served(ctx, recovery) {
		return Report{Seed: cfg.Seed}, errors.Wrap(ErrStart, "the hosts do not serve")
	}
	c.start()
	plan := cfg.plan(s)
	s.play(ctx, plan)
	healed := c.served(ctx, recovery)
	c.stop()
	chk := &checker{site: s, crowd: c}
	chk.check()
	if !healed {
		chk.broken("recovery: not every host serves %v after the last fault", recovery)
	}
	rep := Report{Seed: cfg.Seed, Broken: chk.found, Asked: len(c.asked), Outcome: c.outcomes()}
	for _, f := range plan {
		rep.Plan = append(rep.Plan, f.String())
	}
	return rep, nil
}

// plan makes the plan of the seed.
func (cfg Config) plan(s *site) []fault {
	rnd := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	if cfg.Planned {
		return drawPlanned(rnd, cfg.For, s)
	}
	return draw(rnd, cfg.For, s)
}

// rest waits for a time and reports false when ctx ended first.
func rest(ctx context.Context, d time.Duration) bool {
	ctx2, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx2.Done()
	return ctx.Err() == nil
}

// String gives a report for people.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests %v, %d faults, %d promises broken\n", r.Seed, r.Asked, r.Outcome, len(r.Plan), len(r.Broken))
	if len(r.Broken) == 0 {
		return text
	}
	for _, b := range r.Broken {
		text += "  broken  " + b + "\n"
	}
	for _, f := range r.Plan {
		text += "  fault   " + f + "\n"
	}
	return text
}
