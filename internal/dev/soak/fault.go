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

// fault is one harm: begin does it, end mends it after a time.
type fault struct {
	name  string
	at    time.Duration
	lasts time.Duration
	begin func(ctx context.Context)
	end   func(ctx context.Context)
	// planned work is no harm: it cuts no request.
	planned bool
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2fs for %.2fs %s", f.at.Seconds(), f.lasts.Seconds(), f.name)
}

// Sizes of a plan.
const (
	// faultsEach is the usual time between two faults. Each lasts up to longest,
	// so that two or three are at work at once.
	faultsEach = 1200 * time.Millisecond
	shortest   = 300 * time.Millisecond
	longest    = 4 * time.Second
	// seriesOf is how often a fault comes again, one time in seriesPart.
	seriesOf   = 3
	seriesPart = 4
	// restartAfter is the pause before an ended process is started again.
	restartAfter = 300 * time.Millisecond
	// afterwards is when planned work comes alone in half of the plans: all faults
	// are over and forgotten by then, so that bounds without faults are checked.
	afterwards = 2*longest + longest + quiet
)

// maker makes one kind of fault from a source of chance.
type maker func(rnd *rand.Rand, s *site) fault

// planned is work that may cut nothing, and that is in force everywhere in time.
var planned = []maker{stopHost, evacuate, leaveWorker, reconfigure}

// draw makes the plan of a seed.
func draw(rnd *rand.Rand, span time.Duration, s *site) []fault {
	makers := []maker{stopHost, killHost, pauseHost, hupHost, harmStore, harmStore, linkStore, linkPeers, linkWorker, harmWorker, harmWorker, reconfigure, evacuate, leaveWorker}
	var plan []fault
	for at := time.Duration(0); at < span; at += time.Duration(rnd.Int64N(int64(2 * faultsEach))) {
		f := makers[rnd.IntN(len(makers))](rnd, s)
		f.at = at
		f.lasts = shortest + time.Duration(rnd.Int64N(int64(longest-shortest)))
		times := 1
		if rnd.IntN(seriesPart) == 0 {
			times = seriesOf
		}
		for n := range times {
			again := f
			again.at += time.Duration(n) * (f.lasts/2 + shortest)
			plan = append(plan, again)
		}
	}
	if rnd.IntN(2) == 0 {
		f := planned[rnd.IntN(len(planned))](rnd, s)
		f.at, f.lasts = span+afterwards, quiet+longest
		plan = append(plan, f)
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.at - b.at) })
	return plan
}

// plannedEach is the usual time between two series of planned work.
const plannedEach = 900 * time.Millisecond

// drawPlanned makes a plan of overlapping series of planned work.
func drawPlanned(rnd *rand.Rand, span time.Duration, s *site) []fault {
	makers := []maker{stopHost, stopHost, hupHost, reconfigure, leaveWorker, pauseStreams, pauseStreams}
	var plan []fault
	for at := time.Duration(0); at < span; at += time.Duration(rnd.Int64N(int64(2 * plannedEach))) {
		f := makers[rnd.IntN(len(makers))](rnd, s)
		for n := range 1 + rnd.IntN(seriesOf) {
			again := f
			again.at, again.lasts = at+time.Duration(n)*shortest, longest
			plan = append(plan, again)
		}
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.at - b.at) })
	return plan
}

// pauseStreams has the next streams at a target pause for longer than hosts wait for an event.
func pauseStreams(rnd *rand.Rand, s *site) fault {
	var ws []*target
	for _, w := range s.targets() {
		if w.service == "writers" {
			ws = append(ws, w)
		}
	}
	w, n := ws[rnd.IntN(len(ws))], 1+rnd.IntN(4)
	return fault{name: fmt.Sprintf("target %s: next %d pause", w.id, n), planned: true, begin: func(context.Context) { w.InjectFault(worker.Paused, n) }}
}

// play plays a plan and returns when all is mended.
func (s *site) play(ctx context.Context, plan []fault) {
	var t tomb.Tomb
	began := time.Now()
	for _, f := range plan {
		p := &player{site: s, fault: f, ctx: ctx, began: began}
		t.Go(p.run)
	}
	if len(plan) > 0 {
		_ = t.Wait()
	}
}

// player plays one fault.
type player struct {
	site  *site
	fault fault
	ctx   context.Context
	began time.Time
}

func (p *player) run() error {
	if !rest(p.ctx, time.Until(p.began.Add(p.fault.at))) {
		return nil
	}
	if !p.fault.planned {
		p.site.harmed()
	}
	p.fault.begin(p.ctx)
	rest(p.ctx, p.fault.lasts)
	if p.fault.end != nil {
		p.fault.end(p.ctx)
	}
	if !p.fault.planned {
		p.site.harmed()
	}
	return nil
}

func anyHost(rnd *rand.Rand, s *site) (int, *host) {
	n := rnd.IntN(len(s.hosts))
	return n, s.hosts[n]
}

// again starts the host anew once its process has ended.
func (h *host) again(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-ctx.Done():
		return
	}
	rest(ctx, restartAfter)
	h.mu.Lock()
	same := h.done == done
	h.mu.Unlock()
	if same {
		_ = h.boot()
	}
}

func stopHost(rnd *rand.Rand, s *site) fault {
	n, h := anyHost(rnd, s)
	return fault{name: fmt.Sprint("stop host ", n), planned: true, begin: func(ctx context.Context) { h.again(ctx, h.signal(syscall.SIGTERM)) }}
}

func killHost(rnd *rand.Rand, s *site) fault {
	n, h := anyHost(rnd, s)
	return fault{name: fmt.Sprint("kill host ", n), begin: func(ctx context.Context) { h.again(ctx, h.signal(syscall.SIGKILL)) }}
}

func pauseHost(rnd *rand.Rand, s *site) fault {
	n, h := anyHost(rnd, s)
	return fault{
		name: fmt.Sprint("pause host ", n), begin: func(context.Context) { h.signal(syscall.SIGSTOP) },
		end: func(context.Context) { h.signal(syscall.SIGCONT) },
	}
}

func hupHost(rnd *rand.Rand, s *site) fault {
	n, h := anyHost(rnd, s)
	return fault{name: fmt.Sprint("settings of host ", n), planned: true, begin: func(context.Context) { h.signal(syscall.SIGHUP) }}
}

func harmStore(rnd *rand.Rand, s *site) fault {
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

// link makes a fault of a relay.
func link(rnd *rand.Rand, what string, r func() *relay.Relay) fault {
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
		name:  fmt.Sprintf("link %s %s", what, k.name),
		begin: func(context.Context) { r().SetFault(k.f); resetIf(r(), k.name == "reset") },
		end:   func(context.Context) { r().SetFault(relay.Fault{}) },
	}
}

func resetIf(r *relay.Relay, yes bool) {
	if yes {
		r.Reset()
	}
}

func linkStore(rnd *rand.Rand, s *site) fault {
	n, h := anyHost(rnd, s)
	return link(rnd, fmt.Sprint("of host ", n, " to the store"), func() *relay.Relay { return h.toStore })
}

func linkPeers(rnd *rand.Rand, s *site) fault {
	n, h := anyHost(rnd, s)
	return link(rnd, fmt.Sprint("of peers to host ", n), func() *relay.Relay { return h.before })
}

func linkWorker(rnd *rand.Rand, s *site) fault {
	ws := s.targets()
	w := ws[rnd.IntN(len(ws))]
	return link(rnd, "to target "+w.id, func() *relay.Relay { return w.relay })
}

func harmWorker(rnd *rand.Rand, s *site) fault {
	kinds := []worker.Fault{
		worker.Crash, worker.Reset, worker.NoAnswer, worker.ServerError, worker.Shed, worker.Unsigned, worker.WrongID, worker.NoLength, worker.ExtraAnswer,
	}
	ws := s.targets()
	w, k, n := ws[rnd.IntN(len(ws))], kinds[rnd.IntN(len(kinds))], 1+rnd.IntN(6)
	return fault{name: fmt.Sprintf("target %s: next %d %s", w.id, n, k), begin: func(context.Context) { w.InjectFault(k, n) }}
}

func reconfigure(_ *rand.Rand, s *site) fault {
	return fault{name: "new configuration", planned: true, begin: func(context.Context) { s.configure() }}
}

func evacuate(rnd *rand.Rand, s *site) fault {
	region := regions[rnd.IntN(len(regions))]
	return fault{
		name: "empty " + centreOf(region), planned: true, begin: func(context.Context) { s.empty(region, true) },
		end: func(context.Context) { s.empty(region, false) },
	}
}

// leaveWorker replaces a worker: the new one is listed first, the old one leaves.
func leaveWorker(rnd *rand.Rand, s *site) fault {
	ws := s.targets()
	w, salt := ws[rnd.IntN(len(ws))], rnd.Uint32()
	return fault{name: "replace target " + w.id, planned: true, begin: func(context.Context) {
		if err := s.addWorker(fmt.Sprintf("%s.%x", w.id, salt+uint32(time.Since(s.began))), w.service, w.region); err == nil {
			s.leave(w)
		}
	}, end: func(context.Context) { s.store.Remove(w.StoreKey()) }}
}
