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

// sweepEvery is the time between two looks for idle connections, and so how late one is closed.
const sweepEvery = time.Second

// Config is what a Keeper needs.
type Config struct {
	Clock *clock.Service
	// Limit returns how long a connection may wait for a request; zero or less is no limit. It
	// is asked for each time, since operators change it while connections stand.
	Limit func() time.Duration
	// Metrics takes the counters; nil is a registry of the keeper's own.
	Metrics metrics.Registry
}

// Keeper knows the open connections of the servers of one host.
type Keeper struct {
	t    tomb.Tomb
	cfg  Config
	idle metrics.Counter

	mu      sync.Mutex
	conns   map[*conn]struct{}
	retired bool
}

// New returns a running keeper.
func New(cfg Config) *Keeper {
	k := newKeeper(cfg)
	k.t.Go(k.run)
	return k
}

func newKeeper(cfg Config) *Keeper {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return &Keeper{
		cfg: cfg, conns: make(map[*conn]struct{}),
		idle: metrics.GetOrRegisterCounter("callers.idleClosed", cfg.Metrics),
	}
}

// Stop ends the keeper and leaves the connections open.
func (k *Keeper) Stop() {
	k.t.Kill(nil)
	_ = k.t.Wait()
}

// Open returns the number of open connections.
func (k *Keeper) Open() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.conns)
}

// Retire ends the connections that wait for a request, and from now on each as soon as it does.
func (k *Keeper) Retire() {
	k.mu.Lock()
	k.retired = true
	k.mu.Unlock()
	for _, c := range k.all() {
		c.expire()
	}
}

// plain returns the keeper's connection below one with TLS, nil for none and for one of HTTP/2,
// which serves several requests at a time and is ended by the server.
func plain(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		if t.ConnectionState().NegotiatedProtocol == "h2" {
			return nil
		}
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// Cut closes the connections that are still open and returns their number.
func (k *Keeper) Cut(why event.Reason) int {
	cs := k.all()
	for _, c := range cs {
		c.cut(why)
	}
	return len(cs)
}

func (k *Keeper) isRetired() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.retired
}

func (k *Keeper) all() []*conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	cs := make([]*conn, 0, len(k.conns))
	for c := range k.conns {
		cs = append(cs, c)
	}
	return cs
}

// State records a connection's state. It fits http.Server.ConnState.
func (k *Keeper) State(nc net.Conn, st http.ConnState) {
	c := plain(nc)
	if c == nil {
		return
	}
	switch st {
	case http.StateActive:
		c.serve()
	case http.StateIdle:
		c.waitForNext(k.cfg.Clock.Now())
		if k.isRetired() {
			c.expire()
		}
	}
}

func (k *Keeper) run() error {
	tick := k.cfg.Clock.Every(sweepEvery)
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

func (k *Keeper) sweep(now ident.Time) {
	limit := k.cfg.Limit()
	if limit <= 0 {
		return
	}
	for _, c := range k.all() {
		if c.idleFor(now) >= limit && c.expire() {
			k.idle.Inc(1)
		}
	}
}

// listener hands out connections that the keeper knows.
type listener struct {
	net.Listener
	k *Keeper
}

// Listener returns a listener whose connections the keeper knows.
func (k *Keeper) Listener(l net.Listener) net.Listener { return listener{l, k} }

// Accept passes errors on as they are: the server tries again after some of them.
func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, k: l.k, use: waits, since: l.k.cfg.Clock.Now()}
	l.k.mu.Lock()
	l.k.conns[c] = struct{}{}
	retired := l.k.retired
	l.k.mu.Unlock()
	if retired {
		c.expire()
	}
	return c, nil
}

func (k *Keeper) forget(c *conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
}

type contextKey struct{}

// Context returns the context of the requests of a connection. It fits http.Server.ConnContext.
func (k *Keeper) Context(ctx context.Context, nc net.Conn) context.Context {
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
