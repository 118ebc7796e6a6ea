package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"verbenadale.example/verbenadale/internal/dev/budget"
	"verbenadale.example/verbenadale/internal/dev/worker"
	"verbenadale.example/verbenadale/pkg/ident"
)

// The retry budget of each service in runs with Retries.
const (
	retryRatio = 0.2
	retryFloor = 52
)

const (
	// firstPhase is when the first phase begins. Hosts that have just started retry nothing.
	firstPhase = 13 * time.Second
	// In most phases all callers use one host, and all targets of a service fail at its end for pulseLength. Phases are
	// minPhase long or up to phaseSpread longer, so that the pulses of two hosts lie in one window. In one of
	// restartRatio, all hosts restart in series and the targets fail all the while.
	minPhase     = 8 * time.Second
	phaseSpread  = 2 * time.Second
	pulseLength  = 1500 * time.Millisecond
	restartRatio = 4
	// pulseFaults is more than the number of requests that a target gets in a pulse.
	pulseFaults = 10_000
	// Bursts have minBurst requests or up to twice as many, within burstLength. They are minBurstInterval apart or up to
	// burstSpread more.
	minBurst         = 60
	burstLength      = 300 * time.Millisecond
	minBurstInterval = 8800 * time.Millisecond
	burstSpread      = 1100 * time.Millisecond
	// seriesInterval is the time between two kills of a host in a series.
	seriesInterval = 2 * time.Second
	// meanDisturbance is the mean time between two disturbances of hosts or links.
	meanDisturbance = 10 * time.Second
)

// drawRetries draws bursts or phases, with hosts that restart in series or pause and links that fall silent meanwhile.
func drawRetries(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	plan := drawPhases(rnd, span, s)
	if rnd.IntN(2) == 0 {
		plan = drawBursts(rnd, span, s)
	}
	disturbances := []generator{restartInSeries, pauseHost, faultPeerLink, faultWorkerLink}
	for at := time.Duration(0); at < span; at += time.Duration(rnd.Int64N(int64(2 * meanDisturbance))) {
		f := disturbances[rnd.IntN(len(disturbances))](rnd, s)
		f.at, f.duration = at, minFaultTime+time.Duration(rnd.Int64N(int64(maxFaultTime-minFaultTime)))
		plan = append(plan, f)
	}
	return plan
}

// drawBursts draws bursts of requests whose first attempts fail, a window or less apart, while nothing else is sent.
func drawBursts(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	plan := []fault{{
		name: "callers rest", duration: span, target: true,
		begin: func(context.Context) { s.callersRest.Store(true) }, end: func(context.Context) { s.callersRest.Store(false) },
	}}
	for at := firstPhase; at < span; at += minBurstInterval + time.Duration(rnd.Int64N(int64(burstSpread))) {
		n := minBurst + rnd.IntN(minBurst)
		plan = append(plan, fault{at: at, target: true, name: fmt.Sprintf("%d requests fail", n), begin: func(ctx context.Context) { s.burst(ctx, n) }})
	}
	return plan
}

// burst sends n requests to all hosts within burstLength and makes as many fail.
func (s *deployment) burst(ctx context.Context, n int) {
	var ws []*target
	for _, w := range s.targets() {
		if w.service == "board" {
			ws = append(ws, w)
		}
	}
	for _, w := range ws {
		w.InjectFault(worker.ServerError, n/len(ws))
	}
	var wg sync.WaitGroup
	for i := range n {
		b := &burstCaller{caller: newCaller(s.pool, s.regions()[0], uint64(i)), ctx: ctx, host: i % len(s.hosts)}
		wg.Go(b.run)
		sleep(ctx, burstLength/time.Duration(n))
	}
	wg.Wait()
}

// burstCaller sends one request.
type burstCaller struct {
	caller *caller
	ctx    context.Context
	host   int
}

func (b *burstCaller) run() {
	defer b.caller.http.CloseIdleConnections()
	b.caller.request(b.ctx, b.host, kindFetch)
}

// drawPhases draws phases in which callers move from host to host and targets fail.
func drawPhases(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	var plan []fault
	for at := firstPhase; at < span; {
		length := minPhase + time.Duration(rnd.Int64N(int64(phaseSpread)))
		if rnd.IntN(restartRatio) == 0 {
			plan = append(plan, restartAll(at, s), pulse(rnd, at, length, s))
		} else {
			plan = append(plan, moveCallers(rnd, at, length, s), pulse(rnd, at+length-pulseLength, pulseLength, s))
		}
		at += length
	}
	return plan
}

// pulse makes all targets of a service fail for a while.
func pulse(rnd *rand.Rand, at, length time.Duration, s *deployment) fault {
	kinds := []worker.Fault{worker.ServerError, worker.ServerError, worker.Shed, worker.Shed, worker.Reset}
	kind, service := kinds[rnd.IntN(len(kinds))], []string{"board", "board", "board", "writers"}[rnd.IntN(4)]
	return fault{
		at: at, duration: length, target: true, name: fmt.Sprintf("targets of %s: %s", service, kind),
		begin: func(context.Context) {
			for _, w := range s.targets() {
				if w.service == service {
					w.InjectFault(kind, pulseFaults)
				}
			}
		},
		end: func(context.Context) {
			for _, w := range s.targets() {
				if w.service == service {
					w.ClearFaults()
				}
			}
		},
	}
}

// moveCallers lets all callers use one host.
func moveCallers(rnd *rand.Rand, at, length time.Duration, s *deployment) fault {
	n, _ := randomHost(rnd, s)
	return fault{
		at: at, duration: length, target: true, name: fmt.Sprint("callers use host ", n),
		begin: func(context.Context) { s.onlyHost.Store(int64(n) + 1) }, end: func(context.Context) { s.onlyHost.CompareAndSwap(int64(n)+1, 0) },
	}
}

// restartInSeries kills a host and its successors.
func restartInSeries(rnd *rand.Rand, s *deployment) fault {
	n, h := randomHost(rnd, s)
	return fault{name: fmt.Sprint("kill host ", n, " in series"), begin: func(ctx context.Context) { h.killInSeries(ctx) }}
}

// restartAll kills all hosts and their successors.
func restartAll(at time.Duration, s *deployment) fault {
	return fault{at: at, name: "kill all hosts in series", begin: func(ctx context.Context) {
		var wg sync.WaitGroup
		for _, h := range s.hosts {
			k := &hostKiller{host: h, ctx: ctx}
			wg.Go(k.run)
		}
		wg.Wait()
	}}
}

// hostKiller kills a host in series.
type hostKiller struct {
	host *host
	ctx  context.Context
}

func (k *hostKiller) run() { k.host.killInSeries(k.ctx) }

// killInSeries kills the process of the host and those that follow it.
func (h *host) killInSeries(ctx context.Context) {
	for range seriesLength {
		h.restartAfterExit(ctx, h.signal(syscall.SIGKILL))
		if !sleep(ctx, seriesInterval) {
			return
		}
	}
}

// checkRetries checks that the repeats at the targets of each service stay within the retry budget.
func (c *checker) checkRetries() {
	for _, service := range []string{"writers", "board"} {
		w := c.worstRetries(service)
		c.notes = append(c.notes, fmt.Sprintf("retries at %s: %v", service, w))
		if w.Broken() {
			c.report("retries: at %s, %v", service, w)
		}
	}
}

func (c *checker) worstRetries(service string) budget.Window {
	s := c.deployment
	var requests []time.Duration
	for _, a := range c.pool.observations {
		if (a.kind == kindDraft) == (service == "writers") {
			requests = append(requests, a.began.Sub(s.began))
		}
	}
	var arrivals []budget.Arrival
	for _, w := range s.targets() {
		if w.service != service {
			continue
		}
		for _, a := range w.ArrivedRequests() {
			arrivals = append(arrivals, budget.Arrival{At: a.At.Sub(s.began), Request: ident.RequestID(a.Request)})
		}
	}
	return budget.Rule{Ratio: retryRatio, Floor: retryFloor, Window: 10 * time.Second}.Worst(requests, arrivals)
}
