// Package idle closes callers' connections that have waited too long for a
// request.
//
// # Usage
//
//	k := idle.New(svc, func() time.Duration { return book().Limits().Idle() })
//	srv := &http.Server{ConnState: k.State}
//	go srv.Serve(k.Listener(ln))
//	defer k.Stop()
//
// net/http has a limit of its own, but one that is fixed when the server
// starts. Here it is asked for anew each time, since operators change it while
// connections stand.
package idle

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sweepEvery is the time between two looks, and so how late a connection may be
// closed.
const sweepEvery = time.Second

// Keeper knows the idle connections of one server.
type Keeper struct {
	t     tomb.Tomb
	clock *clock.Service
	limit func() time.Duration

	mu    sync.Mutex
	since map[net.Conn]ident.Time
}

// New returns a running keeper. A limit of zero or less is none.
func New(svc *clock.Service, limit func() time.Duration) *Keeper {
	k := &Keeper{clock: svc, limit: limit, since: make(map[net.Conn]ident.Time)}
	k.t.Go(k.run)
	return k
}

// Stop ends the keeper and leaves the connections open.
func (k *Keeper) Stop() {
	k.t.Kill(nil)
	_ = k.t.Wait()
}

// State records a connection's state. It fits http.Server.ConnState.
func (k *Keeper) State(c net.Conn, st http.ConnState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if st != http.StateIdle {
		delete(k.since, c)
		return
	}
	if w, ok := c.(*conn); ok {
		w.use.Store(waits)
	}
	k.since[c] = k.clock.Now()
}

func (k *Keeper) run() error {
	tick := k.clock.Every(sweepEvery)
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
	limit := k.limit()
	if limit <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for c, since := range k.since {
		if now.Sub(since) < limit {
			continue
		}
		delete(k.since, c)
		if w, ok := c.(*conn); ok && !w.use.CompareAndSwap(waits, closed) {
			continue
		}
		_ = c.Close()
	}
}

// The uses of a connection.
const (
	reads int32 = iota
	// waits says that no byte of another request has been read.
	waits
	// closed says that the keeper closes it, so that what comes is not read.
	closed
)

// conn is a connection that its keeper closes only while no byte of a request has been read.
// The server reports a connection as in use only once it has read all headers, when the request
// may have been sent to a target already.
type conn struct {
	*net.TCPConn
	use atomic.Int32
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 && !c.use.CompareAndSwap(waits, reads) && c.use.Load() == closed {
		return 0, net.ErrClosed
	}
	return n, err
}

// listener hands out connections that the keeper can close without a race.
type listener struct{ net.Listener }

// Listener returns a listener whose connections are closed only while no byte
// of a request has been read from them.
func (k *Keeper) Listener(l net.Listener) net.Listener { return listener{l} }

// Accept passes errors on as they are: the server tries again after some of them.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &conn{TCPConn: tcp}, nil
}
