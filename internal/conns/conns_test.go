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

const testTimeout = 10 * time.Second

// testServer is a server with tracked connections. The test itself runs the sweeps.
type testServer struct {
	t           *testing.T
	tracker     *Tracker
	clock       *clock.Service
	idleTimeout time.Duration
	srv         *httptest.Server
	// The handler of /held waits for release before it answers. If the connection ends first, the
	// handler sends the ending to ended.
	release chan struct{}
	arrived chan struct{}
	ended   chan event.Ending
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{
		t: t, clock: clock.New(), idleTimeout: time.Second,
		release: make(chan struct{}), arrived: make(chan struct{}, 8), ended: make(chan event.Ending, 8),
	}
	t.Cleanup(s.clock.Stop)
	s.tracker = newTracker(Config{Clock: s.clock, IdleTimeout: func() time.Duration { return s.idleTimeout }})
	s.srv = httptest.NewUnstartedServer(http.HandlerFunc(s.answer))
	s.srv.Config.ConnState = s.tracker.ConnState
	s.srv.Config.ConnContext = s.tracker.ConnContext
	s.srv.Listener = s.tracker.Listener(s.srv.Listener)
	s.srv.Start()
	t.Cleanup(s.srv.Close)
	return s
}

func (s *testServer) answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/held" {
		s.arrived <- struct{}{}
		select {
		case <-s.release:
		case <-r.Context().Done():
			s.ended <- EndingOf(r.Context())
			return
		}
	}
	fmt.Fprint(w, "whole")
}

// sweep runs a sweep at a time when every idle connection has exceeded the timeout.
func (s *testServer) sweep() { s.tracker.sweep(s.clock.Now().Add(time.Minute)) }

// testClient is a connection to the test server.
type testClient struct {
	*net.TCPConn
	t  *testing.T
	br *bufio.Reader
}

func (s *testServer) connect() *testClient {
	s.t.Helper()
	c, err := net.Dial("tcp", s.srv.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &testClient{c.(*net.TCPConn), s.t, bufio.NewReader(c)}
}

func (c *testClient) send(text string) {
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Errorf("send %q: %v", text, err)
	}
}

// answer returns the body of the next answer, or the error text.
func (c *testClient) answer() string {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
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

// waitClosed waits for the end of the connection and reports whether it was closed.
func (c *testClient) waitClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := c.br.ReadByte()
	return err == io.EOF
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

const heldRequest = "GET /held HTTP/1.1\r\nHost: a\r\n\r\n"

// waitIdle waits until n connections are idle.
func (s *testServer) waitIdle(n int) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		found := 0
		for _, c := range s.tracker.snapshot() {
			if c.idleFor(s.clock.Now().Add(time.Minute)) > 0 {
				found++
			}
		}
		if found == n {
			return
		}
	}
	s.t.Fatalf("there were never %d idle connections", n)
}

func check(t *testing.T, what string, want, have any) {
	t.Helper()
	if diff := cmp.Diff(want, have); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Guards against a shorter idle timeout that is ignored by open connections, or that closes a
// connection which serves a request.
func TestIdleTimeoutAppliesToOpenConnections(t *testing.T) {
	s := newTestServer(t)
	s.idleTimeout = time.Hour
	idle, busy := s.connect(), s.connect()
	idle.send(request)
	check(t, "answer", "whole", idle.answer())
	busy.send(heldRequest)
	<-s.arrived
	s.waitIdle(1)
	s.sweep()
	check(t, "open with a long limit", 2, s.tracker.Len())
	s.idleTimeout = time.Second
	s.sweep()
	check(t, "the idle connection is closed", true, idle.waitClosed())
	close(s.release)
	check(t, "the connection that serves", "whole", busy.answer())
}

// Guards against closing a connection as idle while the headers of a request are being read.
func TestPartialRequestKeepsConnection(t *testing.T) {
	s := newTestServer(t)
	c := s.connect()
	c.send(request)
	check(t, "first request", "whole", c.answer())
	s.waitIdle(1)
	c.send("GET / HTTP/1.1\r\nHo")
	s.waitIdle(0)
	s.sweep()
	c.send("st: a\r\n\r\n")
	check(t, "a request that had begun", "whole", c.answer())
	s.waitIdle(1)
	s.sweep()
	check(t, "a connection that has waited too long is closed", true, c.waitClosed())
}

// Guards against closing a connection as idle after net/http has read the first byte of the next
// request during the previous answer.
func TestFirstByteDuringAnswerKeepsConnection(t *testing.T) {
	s := newTestServer(t)
	c := s.connect()
	c.send(heldRequest)
	<-s.arrived
	c.send("G")
	time.Sleep(50 * time.Millisecond)
	close(s.release)
	check(t, "first request", "whole", c.answer())
	time.Sleep(50 * time.Millisecond)
	s.sweep()
	c.send(request[1:])
	check(t, "a request whose first byte was read", "whole", c.answer())
}

// hookedConn calls afterRead once after data has been read from the network and before Read returns
// it.
type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.afterRead != nil {
		c.afterRead()
		c.afterRead = nil
	}
	return n, err
}

// Guards against dropping a request that was read while its connection expired.
func TestRequestReadDuringExpiryIsServed(t *testing.T) {
	s := newTestServer(t)
	near, far := net.Pipe()
	defer far.Close()
	in := &hookedConn{Conn: near}
	c := &conn{Conn: in, tracker: s.tracker, state: stateIdle}
	in.afterRead = func() { check(t, "expires", true, c.expire()) }
	go func() { _, _ = far.Write([]byte("GET / HTTP/1.1\r\n")); _, _ = far.Write([]byte("Host: a\r\n\r\n")) }()
	buf := make([]byte, 64)
	for _, want := range []string{"GET / HTTP/1.1\r\n", "Host: a\r\n\r\n"} {
		n, err := c.Read(buf)
		check(t, "read", want, string(buf[:n]))
		if err != nil {
			t.Errorf("read: %v", err)
		}
	}
	check(t, "expires while it serves", false, c.expire())
}

// Guards against a host that, when it stops, drops a request that has begun to arrive, or never
// closes an idle connection.
func TestDrainServesPartialRequests(t *testing.T) {
	s := newTestServer(t)
	idle, partial, unused := s.connect(), s.connect(), s.connect()
	for _, c := range []*testClient{idle, partial} {
		c.send(request)
		check(t, "answer", "whole", c.answer())
	}
	s.waitIdle(3)
	partial.send("GET / HTTP/1.1\r\nHo")
	s.waitIdle(2)
	s.tracker.Drain()
	check(t, "the idle connection is closed", true, idle.waitClosed())
	check(t, "the connection without a request is closed", true, unused.waitClosed())
	partial.send("st: a\r\n\r\n")
	check(t, "the request that had begun", "whole", partial.answer())
	check(t, "its connection is closed then", true, partial.waitClosed())
	late := s.connect()
	check(t, "a late connection is closed", true, late.waitClosed())
}

// Guards against attributing a cut by the host to the caller, or the reverse.
func TestEndingNamesTheSide(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(s *testServer, c *testClient)
		want event.Ending
	}{
		"caller closes": {func(_ *testServer, c *testClient) { _ = c.Close() }, event.Ending{Side: event.SideCaller, Reason: event.ReasonClosed}},
		"caller resets": {func(_ *testServer, c *testClient) { _ = c.SetLinger(0); _ = c.Close() }, event.Ending{Side: event.SideCaller, Reason: event.ReasonReset}},
		"host stops":    {func(s *testServer, _ *testClient) { s.tracker.CloseAll(event.ReasonStopped) }, event.Ending{Side: event.SideHost, Reason: event.ReasonStopped}},
		"server closes": {func(s *testServer, _ *testClient) { _ = s.srv.Config.Close() }, event.Ending{Side: event.SideHost, Reason: event.ReasonClosed}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			c := s.connect()
			c.send(heldRequest)
			<-s.arrived
			tc.end(s, c)
			check(t, "ending", tc.want, <-s.ended)
		})
	}
	check(t, "a connection that is not tracked", event.Ending{}, EndingOf(context.Background()))
}
