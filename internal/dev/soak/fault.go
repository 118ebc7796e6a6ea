package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/dev/kvstub"
	"verbenadale.example/verbenadale/internal/dev/relay"
	"verbenadale.example/verbenadale/internal/dev/worker"
)

// fault is one entry of a plan: begin injects the fault, end removes it after duration.
type fault struct {
	name     string
	at       time.Duration
	duration time.Duration
	begin    func(ctx context.Context)
	end      func(ctx context.Context)
	// planned marks planned work, which must not abort a request.
	planned bool
	// target marks faults of targets alone, which leave the knowledge of the hosts as it is.
	target bool
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2fs for %.2fs %s", f.at.Seconds(), f.duration.Seconds(), f.name)
}

// Frequency and length of the faults of a plan.
const (
	// meanFaultInterval is the mean time between two faults. Each lasts up to maxFaultTime, so
	// that two or three are active at once.
	meanFaultInterval = 1200 * time.Millisecond
	minFaultTime      = 300 * time.Millisecond
	maxFaultTime      = 4 * time.Second
	// One fault in seriesRatio is repeated, and occurs seriesLength times in all.
	seriesLength = 3
	seriesRatio  = 4
	// restartDelay is the time between the end of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// finalDelay is the time after the span of faults at which half of the plans begin one item
	// of planned work. All faults have ended and settled by then, so that the bounds that hold
	// without faults are checked.
	finalDelay = 2*maxFaultTime + maxFaultTime + settleTime
)

// generator makes a fault of one kind with random parameters.
type generator func(rnd *rand.Rand, s *deployment) fault

// plannedWork holds the generators of planned work. It must not abort a request, and what it
// changes must take effect at every host within maxPropagation.
var plannedWork = []generator{stopHost, evacuate, replaceWorker, reconfigure}

// drawPlan draws a plan of faults that begin within span.
func drawPlan(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	generators := []generator{stopHost, killHost, pauseHost, reloadHost, faultStore, faultStore, faultStoreLink, faultPeerLink, faultWorkerLink, faultWorker, faultWorker, reconfigure, evacuate, replaceWorker}
	var plan []fault
	for at := time.Duration(0); at < span; at += time.Duration(rnd.Int64N(int64(2 * meanFaultInterval))) {
		f := generators[rnd.IntN(len(generators))](rnd, s)
		f.at = at
		f.duration = minFaultTime + time.Duration(rnd.Int64N(int64(maxFaultTime-minFaultTime)))
		count := 1
		if rnd.IntN(seriesRatio) == 0 {
			count = seriesLength
		}
		for n := range count {
			repeat := f
			repeat.at += time.Duration(n) * (f.duration/2 + minFaultTime)
			plan = append(plan, repeat)
		}
	}
	if rnd.IntN(2) == 0 {
		f := plannedWork[rnd.IntN(len(plannedWork))](rnd, s)
		f.at, f.duration = span+finalDelay, settleTime+maxFaultTime
		plan = append(plan, f)
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.at - b.at) })
	return plan
}

// meanPlannedInterval is the mean time between two series of planned work.
const meanPlannedInterval = 900 * time.Millisecond

// drawPlanned draws a plan of overlapping series of planned work.
func drawPlanned(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	generators := []generator{stopHost, stopHost, reloadHost, reconfigure, replaceWorker, pauseStreams, pauseStreams}
	var plan []fault
	for at := time.Duration(0); at < span; at += time.Duration(rnd.Int64N(int64(2 * meanPlannedInterval))) {
		f := generators[rnd.IntN(len(generators))](rnd, s)
		for n := range 1 + rnd.IntN(seriesLength) {
			repeat := f
			repeat.at, repeat.duration = at+time.Duration(n)*minFaultTime, maxFaultTime
			plan = append(plan, repeat)
		}
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.at - b.at) })
	return plan
}

// pauseStreams pauses the next streams at a target for longer than hosts wait for an event.
func pauseStreams(rnd *rand.Rand, s *deployment) fault {
	var ws []*target
	for _, w := range s.targets() {
		if w.service == "writers" {
			ws = append(ws, w)
		}
	}
	w, n := ws[rnd.IntN(len(ws))], 1+rnd.IntN(4)
	return fault{name: fmt.Sprintf("target %s: next %d pause", w.id, n), planned: true, begin: func(context.Context) { w.InjectFault(worker.Paused, n) }}
}

// runPlan runs a plan and returns when all its faults have ended.
func (s *deployment) runPlan(ctx context.Context, plan []fault) {
	var t tomb.Tomb
	began := time.Now()
	for _, f := range plan {
		p := &faultRun{deployment: s, fault: f, ctx: ctx, began: began}
		t.Go(p.run)
	}
	if len(plan) > 0 {
		_ = t.Wait()
	}
}

// faultRun runs one fault.
type faultRun struct {
	deployment *deployment
	fault      fault
	ctx        context.Context
	began      time.Time
}

func (p *faultRun) run() error {
	if !sleep(p.ctx, time.Until(p.began.Add(p.fault.at))) {
		return nil
	}
	if !p.fault.planned {
		p.deployment.recordFault(p.fault.target)
	}
	p.fault.begin(p.ctx)
	sleep(p.ctx, p.fault.duration)
	if p.fault.end != nil {
		p.fault.end(p.ctx)
	}
	if !p.fault.planned {
		p.deployment.recordFault(p.fault.target)
	}
	return nil
}

func randomHost(rnd *rand.Rand, s *deployment) (int, *host) {
	n := rnd.IntN(len(s.hosts))
	return n, s.hosts[n]
}

// restartAfterExit starts the host again once its process has ended.
func (h *host) restartAfterExit(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-ctx.Done():
		return
	}
	sleep(ctx, restartDelay)
	h.restart(done)
}

func stopHost(rnd *rand.Rand, s *deployment) fault {
	n, h := randomHost(rnd, s)
	return fault{name: fmt.Sprint("stop host ", n), planned: true, begin: func(ctx context.Context) { h.restartAfterExit(ctx, h.signal(syscall.SIGTERM)) }}
}

func killHost(rnd *rand.Rand, s *deployment) fault {
	n, h := randomHost(rnd, s)
	return fault{name: fmt.Sprint("kill host ", n), begin: func(ctx context.Context) { h.restartAfterExit(ctx, h.signal(syscall.SIGKILL)) }}
}

func pauseHost(rnd *rand.Rand, s *deployment) fault {
	n, h := randomHost(rnd, s)
	return fault{
		name: fmt.Sprint("pause host ", n), begin: func(context.Context) { h.signal(syscall.SIGSTOP) },
		end: func(context.Context) { h.signal(syscall.SIGCONT) },
	}
}

func reloadHost(rnd *rand.Rand, s *deployment) fault {
	n, h := randomHost(rnd, s)
	return fault{name: fmt.Sprint("settings of host ", n), planned: true, begin: func(context.Context) { h.signal(syscall.SIGHUP) }}
}

func faultStore(rnd *rand.Rand, s *deployment) fault {
	kinds := []kvstub.Failure{kvstub.Busy, kvstub.Silent, kvstub.Reset, kvstub.RateLimited, kvstub.ReplyLost}
	k := rnd.IntN(len(kinds) + 3)
	switch k - len(kinds) {
	case 0:
		return fault{name: "store is slow", begin: func(context.Context) { s.store.SetDelay(200 * time.Millisecond) }, end: func(context.Context) { s.store.SetDelay(0) }}
	case 1:
		return fault{name: "store drops its history", begin: func(context.Context) { s.store.Compact() }}
	case 2:
		return fault{name: "store forgets the watches that wait", begin: func(context.Context) { s.store.MuteWatches() }}
	}
	return fault{
		name: "store " + string(kinds[k]), begin: func(context.Context) { s.store.SetFailure(kinds[k]) },
		end: func(context.Context) { s.store.SetFailure(kvstub.None) },
	}
}

// linkFault makes a fault of a link that passes through a relay.
func linkFault(rnd *rand.Rand, link string, r func() *relay.Relay) fault {
	kinds := []struct {
		name string
		f    relay.Fault
	}{
		{"silent", relay.Fault{Stall: relay.Outbound | relay.Inbound}},
		{"silent outwards", relay.Fault{Stall: relay.Outbound}},
		{"silent inwards", relay.Fault{Stall: relay.Inbound}},
		{"refused", relay.Fault{Refuse: true}},
		{"delayed", relay.Fault{Delay: 150 * time.Millisecond}},
		{"reset", relay.Fault{}},
	}
	k := kinds[rnd.IntN(len(kinds))]
	return fault{
		name:  fmt.Sprintf("link %s %s", link, k.name),
		begin: func(context.Context) { r().SetFault(k.f); resetIf(r(), k.name == "reset") },
		end:   func(context.Context) { r().SetFault(relay.Fault{}) },
	}
}

func resetIf(r *relay.Relay, reset bool) {
	if reset {
		r.Reset()
	}
}

func faultStoreLink(rnd *rand.Rand, s *deployment) fault {
	n, h := randomHost(rnd, s)
	return linkFault(rnd, fmt.Sprint("of host ", n, " to the store"), func() *relay.Relay { return h.storeRelay })
}

func faultPeerLink(rnd *rand.Rand, s *deployment) fault {
	n, h := randomHost(rnd, s)
	return linkFault(rnd, fmt.Sprint("of peers to host ", n), func() *relay.Relay { return h.peerRelay })
}

func faultWorkerLink(rnd *rand.Rand, s *deployment) fault {
	ws := s.targets()
	w := ws[rnd.IntN(len(ws))]
	return linkFault(rnd, "to target "+w.id, func() *relay.Relay { return w.relay })
}

func faultWorker(rnd *rand.Rand, s *deployment) fault {
	kinds := []worker.Fault{
		worker.Crash, worker.Reset, worker.NoAnswer, worker.ServerError, worker.Shed, worker.Unsigned, worker.WrongID, worker.NoLength, worker.ExtraAnswer,
	}
	if s.cfg.Builds {
		// The plans of other seeds stay as they are.
		kinds = append(kinds, worker.Endless)
	}
	ws := s.targets()
	w, k, n := ws[rnd.IntN(len(ws))], kinds[rnd.IntN(len(kinds))], 1+rnd.IntN(6)
	return fault{name: fmt.Sprintf("target %s: next %d %s", w.id, n, k), begin: func(context.Context) { w.InjectFault(k, n) }}
}

func reconfigure(_ *rand.Rand, s *deployment) fault {
	return fault{name: "new configuration", planned: true, begin: func(context.Context) { s.configure() }}
}

func evacuate(rnd *rand.Rand, s *deployment) fault {
	region := s.regions()[rnd.IntN(len(s.regions()))]
	return fault{
		name: "empty " + centreOf(region), planned: true, begin: func(context.Context) { s.setEvacuated(region, true) },
		end: func(context.Context) { s.setEvacuated(region, false) },
	}
}

// replaceWorker replaces a worker: the new one is listed first, then the old one is listed as
// draining.
func replaceWorker(rnd *rand.Rand, s *deployment) fault {
	ws := s.targets()
	w, salt := ws[rnd.IntN(len(ws))], rnd.Uint32()
	return fault{name: "replace target " + w.id, planned: true, begin: func(context.Context) {
		if err := s.addWorker(fmt.Sprintf("%s.%x", w.id, salt+uint32(time.Since(s.began))), w.service, w.region); err == nil {
			s.drainWorker(w)
		}
	}, end: func(context.Context) { s.store.Remove(w.StoreKey()) }}
}
