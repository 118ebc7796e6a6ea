// Package daemon assembles and runs the parts of an entry host.
//
// # Usage
//
//	d, err := daemon.Start(daemon.Config{Settings: set, Log: log, Level: lvl})
//	<-d.Drained()
//	d.Stop()
package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/admin"
	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/conns"
	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/group"
	"verbenadale.example/verbenadale/internal/halt"
	"verbenadale.example/verbenadale/internal/httpsv"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/peer"
	"verbenadale.example/verbenadale/internal/revlog"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/internal/trace"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Config configures a daemon.
type Config struct {
	Settings config.Settings
	Log      logr.Logger
	Level    *logs.Level
	// Metrics registers the metrics, which the operators' API serves; nil means
	// a new registry.
	Metrics metrics.Registry
	// Step, if set, replaces the reducer, for comparisons.
	Step func(now ident.Time, ev event.Event) []event.Effect
	// Record, if set, is called with this host and returns a function that is
	// called with each event and its effects, to record them for a replay.
	Record func(self event.Host) func(now ident.Time, ev event.Event, effs []event.Effect)
	// BeforeStep, if set, is called with the reducer before each of its steps,
	// on the control thread; it may change the router's policy.
	BeforeStep func(red *core.Reducer)
}

// Daemon is a running entry host.
type Daemon struct {
	t       group.Group
	cfg     Config
	self    event.Host
	clock   *clock.Service
	loop    *loop.Loop
	store   *store.Client
	revs    *revlog.Log
	targets *target.Client
	// platform is set before the loop starts, because the loop calls it.
	platform *platform
	metrics  metrics.Registry
	book     atomic.Pointer[rules.Book]
	answers  *serve.AnswerCache
	mesh     *peer.Mesh
	work     chan event.Effect
	conns    *conns.Tracker
	halt     *halt.Sequence
	servers  []*httpsv.Listener
	runner   *serve.Runner
	budget   *serve.Budget
	trace    *trace.Tracer
}

// Sizes of the worker pool that polls the targets for load reports.
const (
	workQueueSize = 1024
	workers       = 8
)

// Start starts an entry host and returns once it listens.
func Start(cfg Config) (*Daemon, error) {
	set := cfg.Settings
	d := &Daemon{
		cfg: cfg, self: hostFromSettings(set), clock: clock.New(),
		targets: target.New(), answers: &serve.AnswerCache{}, metrics: cfg.Metrics,
		work: make(chan event.Effect, workQueueSize),
	}
	if d.metrics == nil {
		d.metrics = metrics.NewRegistry()
	}
	d.conns = conns.New(conns.Config{Clock: d.clock, IdleTimeout: noIdleTimeout, Metrics: d.metrics})
	d.halt = &halt.Sequence{Clock: d.clock, Log: cfg.Log, FinalTimeout: finalTimeout, Running: d.Requests, Post: d.post, Conns: d.conns}
	var err error
	if d.trace, err = newTracer(set); err != nil {
		return nil, err
	}
	d.store = store.New(store.Config{
		URL: set.Platform.URL, Timeout: config.Millis(set.Platform.TimeoutMs),
		CallsPerSecond: set.Platform.CallsPerSecond, Metrics: d.metrics, Now: d.clock.Now,
	})
	d.revs = revlog.New(d.store)
	d.platform = newPlatform(d)
	d.budget = serve.NewBudget(cfg.Settings.Limits.MaxBufferedBytes)
	mesh, err := newMesh(cfg, d.self, d.clock, d.confined, d.budget)
	if err != nil {
		d.conns.Stop()
		d.clock.Stop()
		return nil, err
	}
	d.mesh = mesh
	lcfg := loop.Config{Step: d.stepFunc(), Clock: d.clock, Log: cfg.Log, Execute: d.execute}
	if cfg.Record != nil {
		lcfg.Record = cfg.Record(d.self)
	}
	d.loop = loop.New(lcfg)
	for range workers {
		d.t.Go(d.run)
	}
	d.platform.start()
	if err := d.listen(); err != nil {
		d.Stop()
		return nil, err
	}
	d.loop.Post(event.Tick{})
	return d, nil
}

func (d *Daemon) post(ev event.Event) { d.loop.Post(ev) }

// noIdleTimeout disables the idle timeout of the connection tracker; the HTTP servers
// bound idle connections themselves.
func noIdleTimeout() time.Duration { return 0 }

// stepFunc returns the function that applies an event to the reducer.
func (d *Daemon) stepFunc() func(ident.Time, event.Event) []event.Effect {
	if d.cfg.Step != nil {
		return d.cfg.Step
	}
	red := core.New(d.self)
	if d.cfg.BeforeStep == nil {
		return red.Step
	}
	return func(now ident.Time, ev event.Event) []event.Effect {
		d.cfg.BeforeStep(red)
		return red.Step(now, ev)
	}
}

func hostFromSettings(set config.Settings) event.Host {
	peerAddr := set.Peers.Advertise
	if peerAddr == "" {
		peerAddr = set.Peers.Listen
	}
	return event.Host{
		ID:          set.Entry,
		Incarnation: ident.Incarnation(time.Now().UnixNano()),
		Place:       event.Place{DataCentre: set.DataCentre, Region: set.Region},
		CallerURL:   set.Callers.BaseURL(),
		PeerAddr:    peerAddr,
	}
}

// maxAnswerBytes bounds an answer that is buffered until it is complete.
const maxAnswerBytes = 16 << 20

func (d *Daemon) listen() error {
	lim := d.cfg.Settings.Limits
	d.runner = &serve.Runner{
		Loop: d.loop, Clock: d.clock, Log: d.cfg.Log, Targets: d.targets, Forward: d.forward,
		Answers: d.answers, MaxAnswer: maxAnswerBytes, Budget: d.budget, Trace: d.trace,
	}
	ad := admin.New(admin.Config{
		Loop: d.loop, Clock: d.clock, Log: d.cfg.Log, Level: d.cfg.Level, Revs: d.revs,
		Book: d.book.Load, Operators: d.cfg.Settings.Operators.Known,
		Metrics: d.metrics, Drain: d.Drain,
	})
	ops := &http.Server{Handler: ad, ReadHeaderTimeout: config.Millis(lim.HeaderMs)}
	if err := d.mesh.Start(d.loop.Post, d.runForwarded); err != nil {
		return errors.Wrap(err, "daemon: peers")
	}
	if err := d.serveCallers(); err != nil {
		return err
	}
	l, err := httpsv.Listen(d.cfg.Settings.Operators.Listen, ops)
	if err != nil {
		return errors.Wrap(err, "daemon")
	}
	d.serve(l)
	return nil
}

// serve registers a server with the connection tracker and runs it.
func (d *Daemon) serve(l *httpsv.Listener) {
	l.Server.ConnState, l.Server.ConnContext = d.conns.ConnState, d.conns.ConnContext
	l.Net = d.conns.Listener(l.Net)
	d.servers = append(d.servers, l)
	d.t.Go(l.Run)
}

// Drain starts a graceful stop. The channel that Drained returns is closed at its end.
func (d *Daemon) Drain() {
	d.platform.reg.withdraw()
	d.mesh.SetDraining()
	d.loop.Post(event.DrainAsked{})
	d.t.Go(d.runHalt)
}

func (d *Daemon) runHalt() error {
	d.halt.Run(d.t.Context(context.Background()))
	return nil
}

// Drained returns a channel that is closed at the end of the drain: every request has had its final
// answer, finalTimeout has passed, or the daemon is being stopped.
func (d *Daemon) Drained() <-chan struct{} { return d.halt.Done() }

// finalTimeout bounds each of three waits: for the last answers after a drain, for the connections
// to end and for the HTTP/2 shutdown of each listener. stopTimeout, counted from the start of Stop,
// bounds the time to close the links to other hosts and to flush spans.
const (
	finalTimeout = 2 * time.Second
	stopTimeout  = 5 * time.Second
)

// Stop closes the servers and peer links and waits for all goroutines to end.
func (d *Daemon) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.halt.Close(d.servers...)
	d.mesh.Stop(ctx)
	d.t.Kill(nil)
	_ = d.t.Wait()
	d.loop.Stop()
	d.conns.Stop()
	d.clock.Stop()
	_ = d.trace.Stop(ctx)
}
