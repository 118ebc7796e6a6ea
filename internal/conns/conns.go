// Package conns tracks the connections of callers: it closes those that have been idle for too long,
// without dropping a request that has begun to arrive, and records which side ended each.
//
// # Usage
//
//	t := conns.New(conns.Config{Clock: svc, IdleTimeout: func() time.Duration { return book().Limits().Idle() }})
//	srv := &http.Server{ConnState: t.ConnState, ConnContext: t.ConnContext}
//	go srv.Serve(t.Listener(ln))
//	...
//	ending := conns.EndingOf(r.Context()) // in a handler whose context has ended
//	...
//	t.Drain()                             // idle connections end from now on
//	defer t.Stop()
//
// # Closing an idle connection
//
// net/http reports a connection as active only once it has read all headers, so that its own
// state doesn't show whether a request has begun to arrive; its Shutdown closes such connections.
// Except in CloseAll, a Tracker does not close a connection itself. It expires the read that waits
// for the next request, and the goroutine of the connection closes it if that read returns no data.
// If a byte has been read before, its request is served.
package conns

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sweepInterval is the time between two checks for idle connections, and so the longest delay in
// closing one.
const sweepInterval = time.Second

// Config holds the dependencies and settings of a Tracker.
type Config struct {
	Clock *clock.Service
	// IdleTimeout returns how long a connection may wait for a request; zero or less means no
	// limit. It is called at each check, since operators change the limit while connections are
	// open.
	IdleTimeout func() time.Duration
	// Metrics registers the counters; nil means a registry of the tracker's own.
	Metrics metrics.Registry
}

// Tracker tracks the open connections of the servers of one host.
type Tracker struct {
	t          tomb.Tomb
	cfg        Config
	idleClosed metrics.Counter

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// New returns a running tracker.
func New(cfg Config) *Tracker {
	t := newTracker(cfg)
	t.t.Go(t.run)
	return t
}

func newTracker(cfg Config) *Tracker {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Tracker{
		cfg: cfg, conns: make(map[*conn]struct{}),
		idleClosed: metrics.GetOrRegisterCounter("callers.idleClosed", cfg.Metrics),
	}
}

// Stop stops the tracker and leaves the connections open.
func (t *Tracker) Stop() {
	t.t.Kill(nil)
	_ = t.t.Wait()
}

// Len returns the number of open connections.
func (t *Tracker) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Drain ends idle connections, and from then on each connection as soon as it becomes idle.
func (t *Tracker) Drain() {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	for _, c := range t.snapshot() {
		c.expire()
	}
}

// unwrap returns the tracked connection below a TLS connection. It returns nil for a connection
// that is not tracked, and for HTTP/2, which serves several requests at a time and is shut down by
// the server.
func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		if t.ConnectionState().NegotiatedProtocol == "h2" {
			return nil
		}
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// CloseAll closes the connections that are still open, records the reason, and returns their
// number.
func (t *Tracker) CloseAll(reason event.Reason) int {
	cs := t.snapshot()
	for _, c := range cs {
		c.closeWith(reason)
	}
	return len(cs)
}

func (t *Tracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

func (t *Tracker) snapshot() []*conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	cs := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		cs = append(cs, c)
	}
	return cs
}

// ConnState records the state of a connection. Use it as http.Server.ConnState.
func (t *Tracker) ConnState(nc net.Conn, st http.ConnState) {
	c := unwrap(nc)
	if c == nil {
		return
	}
	switch st {
	case http.StateActive:
		c.markServing()
	case http.StateIdle:
		c.markIdle(t.cfg.Clock.Now())
		if t.isDraining() {
			c.expire()
		}
	}
}

func (t *Tracker) run() error {
	tick := t.cfg.Clock.Every(sweepInterval)
	defer tick.Close()
	for {
		select {
		case now := <-tick.C():
			t.sweep(now)
		case <-t.t.Dying():
			return nil
		}
	}
}

func (t *Tracker) sweep(now ident.Time) {
	limit := t.cfg.IdleTimeout()
	if limit <= 0 {
		return
	}
	for _, c := range t.snapshot() {
		if c.idleFor(now) >= limit && c.expire() {
			t.idleClosed.Inc(1)
		}
	}
}

// listener returns tracked connections.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener { return listener{l, t} }

// Accept returns errors unchanged: the server retries after some of them.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, tracker: l.tracker, state: stateIdle, idleSince: l.tracker.cfg.Clock.Now()}
	l.tracker.mu.Lock()
	l.tracker.conns[c] = struct{}{}
	draining := l.tracker.draining
	l.tracker.mu.Unlock()
	if draining {
		c.expire()
	}
	return c, nil
}

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

type contextKey struct{}

// ConnContext returns the context for the requests of a connection. Use it as
// http.Server.ConnContext.
func (t *Tracker) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, nc)
}

// EndingOf returns which side ended the connection of a request, given the context of the request.
// It is zero for a connection that is not tracked.
func EndingOf(ctx context.Context) event.Ending {
	nc, _ := ctx.Value(contextKey{}).(net.Conn)
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	if c, ok := nc.(*conn); ok {
		return c.ending()
	}
	return event.Ending{}
}
