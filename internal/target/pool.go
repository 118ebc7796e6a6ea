package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/pkg/ident"
)

// ErrWrongAnswer is returned if an answer is not the target's answer to this request.
var ErrWrongAnswer = errors.New("target: not the answer to this request")

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
	// finalWriteTimeout is how long a complete answer waits for the last write of
	// its request, at most connBufferBytes. It is a hundred times the scheduling delay
	// of a goroutine on a busy machine, and too short for callers to notice.
	finalWriteTimeout = 20 * time.Millisecond
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
	// maxAnswersRead bounds the answers that are read for one request, interim (1xx)
	// answers included, and maxSkippedBytes the body of each skipped answer.
	maxAnswersRead  = 2
	maxSkippedBytes = 1 << 20
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

// conn is one connection to a target.
type conn struct {
	net.Conn
	p    *Pool
	addr string
	head *headReader
	br   *bufio.Reader
	// expires is the time from which the idle connection is no longer used.
	expires ident.Time
	w       *writer
	// last is the id of the last request on the connection.
	last ident.RequestID
}

// Exchange is one request to a target and what identifies its answer.
type Exchange struct {
	Addr    string
	Request *http.Request
	// ID is the id that the answer names. It is empty if the target names none in answers to such a request; then the first
	// answer that names none is returned.
	ID ident.RequestID
	// NamedBy returns the id of the request that an answer names, empty if it names none.
	NamedBy func(h http.Header) ident.RequestID
	// OnSend, if set, is called before the first byte can leave.
	OnSend func()
	// OnOther, if set, is called for each answer that is not the one to this request.
	OnOther func(res *http.Response)
}

// isOwn reports whether an answer is the one to this request.
func (x Exchange) isOwn(res *http.Response) bool {
	if x.NamedBy(res.Header) == x.ID {
		return true
	}
	if x.OnOther != nil {
		x.OnOther(res)
	}
	return false
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
	for {
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
	head := &headReader{r: raw, left: unlimited}
	return &conn{Conn: raw, p: p, addr: addr, head: head, br: bufio.NewReaderSize(head, connBufferBytes)}, nil
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

// isReusable reports whether an idle connection can be used: it has not expired,
// the target has not closed it, and no unsolicited bytes have arrived on it.
func (c *conn) isReusable(now ident.Time) bool {
	if now >= c.expires || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	var got int
	var readErr error
	err = rc.Read(func(fd uintptr) bool {
		got, readErr = syscall.Read(int(fd), b[:])
		return true
	})
	return err == nil && got <= 0 && errors.Is(readErr, syscall.EAGAIN)
}

// writer writes a request while its answer is read: a target may answer before
// it has read a long body, and writing first and reading afterwards would
// deadlock both sides.
type writer struct {
	t   tomb.Tomb
	c   *conn
	req *http.Request
	// requestRead is set once the whole request is in the write buffer or has been
	// written.
	requestRead atomic.Bool
}

func (w *writer) run() error {
	bw := bufio.NewWriterSize(w.c, connBufferBytes)
	if err := w.req.Write(bw); err != nil {
		return errors.Wrap(ErrConnection, err.Error())
	}
	w.requestRead.Store(true)
	return errors.Wrap(bw.Flush(), "target: write")
}

// awaitWritten reports whether the whole request has been written. The target may have answered
// before the writer's goroutine returns from its last write, so awaitWritten waits for it, for at
// most finalWriteTimeout.
func (w *writer) awaitWritten() bool {
	if !w.requestRead.Load() {
		return false
	}
	if err := w.c.SetWriteDeadline(time.Now().Add(finalWriteTimeout)); err != nil {
		return false
	}
	<-w.t.Dead()
	return w.t.Err() == nil && w.c.SetWriteDeadline(time.Time{}) == nil
}

// unlimited is the value of headReader.left outside of heads.
const unlimited = -1

// headReader bounds the bytes that are read while the head of an answer arrives: a target in trouble may
// send bytes without end.
type headReader struct {
	r    io.Reader
	left int
}

func (h *headReader) Read(b []byte) (int, error) {
	if h.left == unlimited {
		return h.r.Read(b)
	}
	if h.left == 0 {
		return 0, errors.Wrapf(ErrWrongAnswer, "its head is longer than %d bytes", maxHeaderBytes)
	}
	n, err := h.r.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}

// readHead reads the head of one answer.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.head.left = maxHeaderBytes
	res, err := http.ReadResponse(c.br, req)
	c.head.left = unlimited
	return res, err
}

// readAnswer reads answers until it reaches the one to this request. proven reports whether it named the request and
// came first.
func (c *conn) readAnswer(x Exchange) (res *http.Response, proven bool, err error) {
	skippedAny := false
	for range maxAnswersRead {
		res, err := c.readHead(x.Request)
		if errors.Is(err, ErrWrongAnswer) {
			return nil, false, err
		}
		if err != nil {
			return nil, false, connectionError(err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if x.isOwn(res) {
			return res, !skippedAny && x.ID != "", nil
		}
		if x.NamedBy(res.Header) == "" {
			return nil, false, errors.Wrap(ErrWrongAnswer, "it names no request")
		}
		if x.Request.Method == http.MethodHead {
			// Whether a body follows depends on the method of the other request.
			return nil, false, ErrWrongAnswer
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes))
		if err != nil || n == maxSkippedBytes || res.Close {
			return nil, false, ErrWrongAnswer
		}
		skippedAny = true
	}
	return nil, false, ErrWrongAnswer
}

func keepsAlive(res *http.Response) bool { return !res.Close }

// idleTimeoutFrom returns how long a connection may stay idle by the target's
// Keep-Alive header, poolIdleTimeout if it names no shorter timeout.
func idleTimeoutFrom(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		val, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(val)
		if err == nil && n >= 0 && n < int(poolIdleTimeout/time.Second) {
			return max(time.Duration(n)*time.Second-poolIdleMargin, 0)
		}
	}
	return poolIdleTimeout
}

// body returns the connection to the pool when the answer has been read to its end.
type body struct {
	io.ReadCloser
	c           *conn
	stop        func() bool
	reusable    bool
	idleTimeout time.Duration
	once        sync.Once
}

func (b *body) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		b.finish(b.reusable)
	} else if err != nil {
		b.finish(false)
	}
	return n, err
}

func (b *body) Close() error {
	b.finish(false)
	return nil
}

func (b *body) finish(keep bool) {
	b.once.Do(func() {
		// If the context has ended, the connection's deadline has passed and it
		// cannot be reused.
		keep = b.stop() && keep && b.c.w.awaitWritten()
		if !keep || !b.c.p.putIdle(b.c, b.idleTimeout) {
			_ = b.c.Close()
		}
	})
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
