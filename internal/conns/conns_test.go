package conns

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
)

const waitLimit = 10 * time.Second

// site is a server whose connections a keeper knows. Its sweeps are the test's.
type site struct {
	t     *testing.T
	k     *Keeper
	clock *clock.Service
	limit time.Duration
	srv   *httptest.Server
	// hold is read by each request of the path /held before its answer ends; ended gets the
	// ending of its connection.
	hold  chan struct{}
	began chan struct{}
	ended chan event.Ending
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{
		t: t, clock: clock.New(), limit: time.Second,
		hold: make(chan struct{}), began: make(chan struct{}, 8), ended: make(chan event.Ending, 8),
	}
	t.Cleanup(s.clock.Stop)
	s.k = newKeeper(Config{Clock: s.clock, Limit: func() time.Duration { return s.limit }})
	s.srv = httptest.NewUnstartedServer(http.HandlerFunc(s.answer))
	s.srv.Config.ConnState = s.k.State
	s.srv.Config.ConnContext = s.k.Context
	s.srv.Listener = s.k.Listener(s.srv.Listener)
	s.srv.Start()
	t.Cleanup(s.srv.Close)
	return s
}

func (s *site) answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/held" {
		s.began <- struct{}{}
		select {
		case <-s.hold:
		case <-r.Context().Done():
			s.ended <- EndingOf(r.Context())
			return
		}
	}
	fmt.Fprint(w, "whole")
}

// sweep has all connections that wait be idle for too long.
func (s *site) sweep() { s.k.sweep(s.clock.Now().Add(time.Minute)) }

// caller is a connection to the site.
type caller struct {
	*net.TCPConn
	t  *testing.T
	br *bufio.Reader
}

func (s *site) connect() *caller {
	s.t.Helper()
	c, err := net.Dial("tcp", s.srv.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &caller{c.(*net.TCPConn), s.t, bufio.NewReader(c)}
}

func (c *caller) send(text string) {
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Errorf("send %q: %v", text, err)
	}
}

// answer returns the body of the next answer, or what went wrong.
func (c *caller) answer() string {
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	res, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// closed waits for the end of the connection.
func (c *caller) closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	_, err := c.br.ReadByte()
	return err == io.EOF
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

const held = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n"

// waiting waits until so many connections wait for a request.
func (s *site) waiting(n int) {
	s.t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		found := 0
		for _, c := range s.k.all() {
			if c.idleFor(s.clock.Now().Add(time.Minute)) > 0 {
				found++
			}
		}
		if found == n {
			return
		}
	}
	s.t.Fatalf("it never came about that %d connections wait", n)
}

func check(t *testing.T, what string, want, have any) {
	t.Helper()
	if diff := cmp.Diff(want, have); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// A shorter idle limit is ignored by standing connections, or closes one that serves a request.
func TestLimitHoldsForStandingConnections(t *testing.T) {
	s := newSite(t)
	s.limit = time.Hour
	waits, works := s.connect(), s.connect()
	waits.send(request)
	check(t, "answer", "whole", waits.answer())
	works.send(held)
	<-s.began
	s.waiting(1)
	s.sweep()
	check(t, "open with a long limit", 2, s.k.Open())
	s.limit = time.Second
	s.sweep()
	check(t, "the connection that waits is closed", true, waits.closed())
	close(s.hold)
	check(t, "the connection that serves", "whole", works.answer())
}

// A connection is closed as idle while the headers of a request are being read.
func TestRequestThatBeginsIsNotCut(t *testing.T) {
	s := newSite(t)
	c := s.connect()
	c.send(request)
	check(t, "first request", "whole", c.answer())
	s.waiting(1)
	c.send("GET / HTTP/1.1\r\nHo")
	s.waiting(0)
	s.sweep()
	c.send("st: a\r\n\r\n")
	check(t, "a request that had begun", "whole", c.answer())
	s.waiting(1)
	s.sweep()
	check(t, "a connection that has waited too long is closed", true, c.closed())
}

// A connection is closed as idle after the first byte of the next request was read beside the answer
// before it.
func TestByteReadBesideAnAnswerIsNotCut(t *testing.T) {
	s := newSite(t)
	c := s.connect()
	c.send(held)
	<-s.began
	c.send("G")
	time.Sleep(50 * time.Millisecond)
	close(s.hold)
	check(t, "first request", "whole", c.answer())
	time.Sleep(50 * time.Millisecond)
	s.sweep()
	c.send(request[1:])
	check(t, "a request whose first byte was read", "whole", c.answer())
}

// between is a connection on which something happens between the arrival of bytes and the return
// of the read that takes them.
type between struct {
	net.Conn
	do func()
}

func (b *between) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if n > 0 && b.do != nil {
		b.do()
		b.do = nil
	}
	return n, err
}

// A request that was read while its connection was closed as idle is dropped.
func TestRequestReadWhileItsConnectionExpiresIsServed(t *testing.T) {
	s := newSite(t)
	near, far := net.Pipe()
	defer far.Close()
	in := &between{Conn: near}
	c := &conn{Conn: in, k: s.k, use: waits}
	in.do = func() { check(t, "it is to end", true, c.expire()) }
	go func() { _, _ = far.Write([]byte("GET / HTTP/1.1\r\n")); _, _ = far.Write([]byte("Host: a\r\n\r\n")) }()
	buf := make([]byte, 64)
	for _, want := range []string{"GET / HTTP/1.1\r\n", "Host: a\r\n\r\n"} {
		n, err := c.Read(buf)
		check(t, "read", want, string(buf[:n]))
		if err != nil {
			t.Errorf("read: %v", err)
		}
	}
	check(t, "it ends while it serves", false, c.expire())
}

// A host that stops drops a request that has begun to arrive, or never ends an idle connection.
func TestRetireServesWhatHasBegun(t *testing.T) {
	s := newSite(t)
	idle, begun, fresh := s.connect(), s.connect(), s.connect()
	for _, c := range []*caller{idle, begun} {
		c.send(request)
		check(t, "answer", "whole", c.answer())
	}
	s.waiting(3)
	begun.send("GET / HTTP/1.1\r\nHo")
	s.waiting(2)
	s.k.Retire()
	check(t, "the idle connection is closed", true, idle.closed())
	check(t, "the connection without a request is closed", true, fresh.closed())
	begun.send("st: a\r\n\r\n")
	check(t, "the request that had begun", "whole", begun.answer())
	check(t, "its connection is closed then", true, begun.closed())
	late := s.connect()
	check(t, "a late connection is closed", true, late.closed())
}

// A cut by the host is logged as a caller that left, or the other way round.
func TestEndingNamesTheSide(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(s *site, c *caller)
		want event.Ending
	}{
		"caller closes": {func(_ *site, c *caller) { _ = c.Close() }, event.Ending{Side: event.SideCaller, Reason: event.ReasonClosed}},
		"caller resets": {func(_ *site, c *caller) { _ = c.SetLinger(0); _ = c.Close() }, event.Ending{Side: event.SideCaller, Reason: event.ReasonReset}},
		"host stops":    {func(s *site, _ *caller) { s.k.Cut(event.ReasonStopped) }, event.Ending{Side: event.SideHost, Reason: event.ReasonStopped}},
		"server closes": {func(s *site, _ *caller) { _ = s.srv.Config.Close() }, event.Ending{Side: event.SideHost, Reason: event.ReasonClosed}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			c := s.connect()
			c.send(held)
			<-s.began
			tc.end(s, c)
			check(t, "ending", tc.want, <-s.ended)
		})
	}
	check(t, "a connection that no keeper knows", event.Ending{}, EndingOf(context.Background()))
}
