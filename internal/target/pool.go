package target

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/httpcl"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Timeouts and limits of a pool.
const (
	// poolDialTimeout bounds the time to connect. Targets are in this host's region,
	// a few milliseconds away; a target without power never answers.
	poolDialTimeout = time.Second
	// poolIdleTimeout is how long an idle connection is kept if the target's
	// Keep-Alive header names no timeout.
	poolIdleTimeout = 20 * time.Second
	// poolIdleMargin is subtracted from the timeout in the target's Keep-Alive
	// header, so that no request is sent while the target closes the connection.
	poolIdleMargin = 700 * time.Millisecond
	// poolMaxIdle bounds the idle connections to one target.
	poolMaxIdle = 64
	// poolSweepInterval is the interval at which expired idle connections are closed.
	poolSweepInterval = time.Second
	// userTimeout is how long the kernel waits for sent bytes to be acknowledged,
	// and roughly how long an unresponsive connection survives its keep-alive probes.
	// A connection may stop responding while new ones work; without this limit a
	// request on it would wait until its deadline.
	userTimeout       = 1500 * time.Millisecond
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	tcpUserTimeout    = 18 // TCP_USER_TIMEOUT of Linux
)

// Pool sends requests on persistent connections, one at a time on each. It
// never retries a request, which net/http does for some requests when a reused
// connection turns out to be closed: the pool does not know whether a request
// may be repeated.
//
//	p := target.NewPool(svc)
//	res, err := p.Do(ctx, target.Exchange{Addr: addr, Request: req, ID: id, NamedBy: namedBy, OnSend: onSend})
//
// A target in trouble may send an answer twice, the second time where the next answer on the connection is expected.
// Only the id that an answer names shows which request it belongs to. A connection is reused only after an answer that
// named its request, with no other before it: on all others it is unknown how many answers are still due.
type Pool struct {
	t     tomb.Tomb
	clock *clock.Service
	dial  *net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	// opened counts the connections opened since the start.
	opened int64
}

// NewPool returns an empty pool.
func NewPool(svc *clock.Service) *Pool {
	p := &Pool{clock: svc, idle: make(map[string][]*conn), dial: NewDialer(poolDialTimeout)}
	p.t.Go(p.run)
	return p
}

// NewDialer returns a dialer whose connections fail when the remote side stops
// responding without closing them.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// If the system lacks this option, the keep-alive probes still apply.
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
			})
		},
	}
}

// Stop stops the pool and closes its idle connections.
func (p *Pool) Stop() {
	p.t.Kill(nil)
	_ = p.t.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cs := range p.idle {
		for _, c := range cs {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

// Opened returns the number of connections opened since the start.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Do sends a request and returns once the headers of its answer have arrived. Answers to other requests are skipped.
// Closing the body before its end closes the connection.
//
// It fails with ErrConnection if the connection failed, with ErrDisconnected if the target closed it, and with
// ErrWrongAnswer if the target sent other answers only.
func (p *Pool) Do(ctx context.Context, x Exchange) (*http.Response, error) {
	c, err := p.acquire(ctx, x)
	if err != nil {
		return nil, errors.Wrap(ErrConnection, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if x.OnSend != nil {
		x.OnSend()
	}
	c.last = x.ID
	c.w = &writer{c: c, req: x.Request}
	c.w.t.Go(c.w.run)
	res, proven, err := c.readAnswer(x)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	res.Body = &body{ReadCloser: res.Body, c: c, stop: stop, reusable: proven && keepsAlive(res), idleTimeout: idleTimeoutFrom(res.Header)}
	return res, nil
}

// endedTimeout bounds the connection that shows whether a target still listens. Targets refuse or
// accept within a round trip; one that does neither may only be unreachable.
const endedTimeout = 100 * time.Millisecond

// Ended reports whether the process at an address has ended: nothing listens there. A target may also
// close a single connection and go on. The connection that it accepts joins the pool.
func (p *Pool) Ended(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	c, err := p.open(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if !p.putIdle(c, poolIdleTimeout) {
		_ = c.Close()
	}
	return false
}

// acquire returns an idle connection that can be reused, or a new one.
func (p *Pool) acquire(ctx context.Context, x Exchange) (*conn, error) {
	for !x.NewConn {
		c := p.popIdle(x)
		if c == nil {
			break
		}
		if c.isReusable(p.clock.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
	return p.open(ctx, x.Addr)
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.dial.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := httpcl.NewConn(raw)
	head := &headReader{r: c, left: unlimited}
	return &conn{Conn: c, p: p, addr: addr, head: head, br: bufio.NewReaderSize(head, connBufferBytes)}, nil
}

// popIdle removes and returns an idle connection, nil if there is none. Connections whose last request had the same id
// are left out: a late extra answer to that one would name this one too.
func (p *Pool) popIdle(x Exchange) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[x.Addr]
	for i, c := range slices.Backward(cs) {
		if x.ID == "" || c.last != x.ID {
			p.idle[x.Addr] = slices.Delete(cs, i, i+1)
			return c
		}
	}
	return nil
}

// Drop closes the idle connections to an address. It is used when a target has restarted during a
// network partition: this side never saw the connections to its previous incarnation close.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	cs := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
	}
}

func (p *Pool) putIdle(c *conn, idleTimeout time.Duration) bool {
	c.expires = p.clock.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.t.Alive() || len(p.idle[c.addr]) >= poolMaxIdle {
		return false
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
	return true
}

// run closes expired idle connections until the pool stops.
func (p *Pool) run() error {
	tick := p.clock.Every(poolSweepInterval)
	defer tick.Close()
	for {
		select {
		case now := <-tick.C():
			for _, c := range p.takeExpired(now) {
				_ = c.Close()
			}
		case <-p.t.Dying():
			return nil
		}
	}
}

func (p *Pool) takeExpired(now ident.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*conn
	for addr, cs := range p.idle {
		kept := cs[:0]
		for _, c := range cs {
			if now >= c.expires {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	return expired
}
