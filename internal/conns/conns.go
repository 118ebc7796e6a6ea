// Package conns owns the connections of callers: it closes those that have waited too long for a
// request, without dropping one that has begun to arrive, and records which side ended each.
//
// # Usage
//
//	k := conns.New(conns.Config{Clock: svc, Limit: func() time.Duration { return book().Limits().Idle() }})
//	srv := &http.Server{ConnState: k.State, ConnContext: k.Context}
//	go srv.Serve(k.Listener(ln))
//	...
//	ending := conns.EndingOf(r.Context()) // in a handler whose context has ended
//	...
//	k.Retire()                            // idle connections end from now on
//	defer k.Stop()
//
// # Closing an idle connection
//
// net/http reports a connection as active only once it has read all headers, so that its own
// state doesn't show whether a request has begun to arrive; its Shutdown closes such connections.
// A Keeper never closes an idle connection itself. It expires the read that waits for the next
// request, and the connection's goroutine closes it if that read has brought nothing. A byte
// that was read before is always served.
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

// sweepInterval is the time between two looks for idle connections, and so how late one is closed.
const sweepInterval = time.Second

// Config is what a Keeper needs.
type Config struct {
	Clock *clock.Service
	// IdleTimeout returns how long a connection may wait for a request; zero or less is no limit. It
	// is asked for each time, since operators change it while connections stand.
	IdleTimeout func() time.Duration
	// Metrics takes the counters; nil is a registry of the keeper's own.
	Metrics metrics.Registry
}

// Tracker knows the open connections of the servers of one host.
type Tracker struct {
	t          tomb.Tomb
	cfg        Config
	idleClosed metrics.Counter

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// New returns a running keeper.
func New(cfg Config) *Tracker {
	k := newTracker(cfg)
	k.t.Go(k.run)
	return k
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

// Stop ends the keeper and leaves the connections open.
func (k *Tracker) Stop() {
	k.t.Kill(nil)
	_ = k.t.Wait()
}

// Len returns the number of open connections.
func (k *Tracker) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.conns)
}

// Drain ends the connections that wait for a request, and from now on each as soon as it does.
func (k *Tracker) Drain() {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	for _, c := range k.snapshot() {
		c.expire()
	}
}

// unwrap returns the keeper's connection below one with TLS, nil for none and for one of HTTP/2,
// which serves several requests at a time and is ended by the server.
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

// CloseAll closes the connections that are still open and returns their number.
func (k *Tracker) CloseAll(why event.Reason) int {
	cs := k.snapshot()
	for _, c := range cs {
		c.closeWith(why)
	}
	return len(cs)
}

func (k *Tracker) isDraining() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.draining
}

func (k *Tracker) snapshot() []*conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	cs := make([]*conn, 0, len(k.conns))
	for c := range k.conns {
		cs = append(cs, c)
	}
	return cs
}

// ConnState records a connection's state. It fits http.Server.ConnState.
func (k *Tracker) ConnState(nc net.Conn, st http.ConnState) {
	c := unwrap(nc)
	if c == nil {
		return
	}
	switch st {
	case http.StateActive:
		c.markServing()
	case http.StateIdle:
		c.markIdle(k.cfg.Clock.Now())
		if k.isDraining() {
			c.expire()
		}
	}
}

func (k *Tracker) run() error {
	tick := k.cfg.Clock.Every(sweepInterval)
	defer tick.Close()
	for {
		select {
		case now := <-tick.C():
			k.sweep(now)
		case <-k.t.Dying():
			return nil
		}
	}
}

func (k *Tracker) sweep(now ident.Time) {
	limit := k.cfg.IdleTimeout()
	if limit <= 0 {
		return
	}
	for _, c := range k.snapshot() {
		if c.idleFor(now) >= limit && c.expire() {
			k.idleClosed.Inc(1)
		}
	}
}

// listener hands out connections that the keeper knows.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Listener returns a listener whose connections the keeper knows.
func (k *Tracker) Listener(l net.Listener) net.Listener { return listener{l, k} }

// Accept passes errors on as they are: the server tries again after some of them.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, tracker: l.tracker, state: stateIdle, idleSince: l.tracker.cfg.Clock.Now()}
	l.tracker.mu.Lock()
	l.tracker.conns[c] = struct{}{}
	retired := l.tracker.draining
	l.tracker.mu.Unlock()
	if retired {
		c.expire()
	}
	return c, nil
}

func (k *Tracker) remove(c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
}

type contextKey struct{}

// ConnContext returns the context of the requests of a connection. It fits http.Server.ConnContext.
func (k *Tracker) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, nc)
}

// EndingOf returns which side ended the connection of a request, by the request's context. It is
// zero for a connection that no keeper knows.
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
