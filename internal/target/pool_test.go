package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/pkg/ident"
)

const testTimeout = 10 * time.Second

// testServer accepts connections and runs a function on each, which reads and
// writes raw bytes.
type testServer struct {
	ln    net.Listener
	conns atomic.Int32
}

func newTestServer(t *testing.T, serve func(n int, c net.Conn, br *bufio.Reader)) *testServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	p := &testServer{ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(p.conns.Add(1))
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

func newTestPool(t *testing.T) *Pool {
	t.Helper()
	svc := clock.New()
	p := NewPool(svc)
	t.Cleanup(svc.Stop)
	t.Cleanup(p.Stop)
	return p
}

// call sends one request with an id and returns the body of its answer.
func call(ctx context.Context, p *Pool, addr, id, body string) (string, error) {
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: "/x", Host: addr}, Host: "h", Header: http.Header{"Id": {id}}}
	if body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	res, err := p.Do(ctx, Exchange{Addr: addr, Request: req, ID: ident.RequestID(id), NamedBy: namedByID})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}

func namedByID(h http.Header) ident.RequestID { return ident.RequestID(h.Get("Id")) }

func reply(c net.Conn, id, text string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

// serveConnNumber answers each request with the number of its connection.
func serveConnNumber(n int, c net.Conn, br *bufio.Reader) {
	for {
		r, ok := readRequest(br)
		if !ok {
			return
		}
		reply(c, r.Header.Get("Id"), fmt.Sprint("conn ", n))
	}
}

func readRequest(br *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return nil, false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err == nil
}

func TestPoolReusesConnections(t *testing.T) {
	srv := newTestServer(t, serveConnNumber)
	p := newTestPool(t)
	for i := range 5 {
		got, err := call(t.Context(), p, srv.ln.Addr().String(), fmt.Sprint(i), "body")
		if diff := cmp.Diff("conn 1", got); diff != "" || err != nil {
			t.Fatalf("answer %d, %v (-want +got):\n%s", i, err, diff)
		}
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections were opened for five calls in a row", p.Opened())
	}
}

// Guards against closing a reusable connection because its last write has not returned
// when the answer is complete.
func TestPoolReusesConnectionsOfSlowWriters(t *testing.T) {
	srv := newTestServer(t, serveConnNumber)
	p := newTestPool(t)
	raw, err := net.Dial("tcp", srv.ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	slow := &slowWriteConn{Conn: raw}
	addr := srv.ln.Addr().String()
	head := &headReader{r: raw, left: unlimited}
	c := &conn{Conn: slow, p: p, addr: addr, head: head, br: bufio.NewReaderSize(head, connBufferBytes)}
	if !p.putIdle(c, time.Minute) {
		t.Fatal("the pool does not accept the connection")
	}
	for i := range 3 {
		got, err := call(t.Context(), p, addr, fmt.Sprint(i), "body")
		if diff := cmp.Diff("conn 1", got); diff != "" || err != nil {
			t.Fatalf("answer %d, %v (-want +got):\n%s", i, err, diff)
		}
	}
}

// Guards against an unlimited wait for the write of a request: a target that answers
// early and stops reading the request would delay the end of its answer.
func TestPoolBoundsWaitForRequestWrite(t *testing.T) {
	srv := newTestServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		reply(c, r.Header.Get("Id"), "early")
		time.Sleep(testTimeout)
	})
	p := newTestPool(t)
	began := time.Now()
	got, err := call(t.Context(), p, srv.ln.Addr().String(), "0", strings.Repeat("x", 64<<20))
	if diff := cmp.Diff("early", got); diff != "" || err != nil {
		t.Fatalf("%v (-want +got):\n%s", err, diff)
	}
	if took := time.Since(began); took > testTimeout/2 {
		t.Errorf("the end of the answer came after %v", took)
	}
	if c := p.popIdle(Exchange{Addr: srv.ln.Addr().String()}); c != nil {
		t.Error("a connection with a partly written request was kept")
	}
}

// slowWriteConn returns from a write long after its bytes were sent.
type slowWriteConn struct{ net.Conn }

func (s *slowWriteConn) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	time.Sleep(finalWriteTimeout / 4)
	return n, err
}

// Guards against delivering an extra answer of a target to an earlier request to the
// next caller on the same connection.
func TestExtraAnswersAreDiscarded(t *testing.T) {
	for name, late := range map[string]bool{"at once": false, "before the next": true} {
		t.Run(name, func(t *testing.T) {
			srv := newTestServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				for first := true; ; first = false {
					r, ok := readRequest(br)
					if !ok {
						return
					}
					if late && !first {
						reply(c, "0", "extra")
					}
					reply(c, r.Header.Get("Id"), "mine")
					if !late && first {
						reply(c, "0", "extra")
					}
				}
			})
			p := newTestPool(t)
			for i := range 4 {
				got, err := call(t.Context(), p, srv.ln.Addr().String(), fmt.Sprint(i), "")
				if diff := cmp.Diff("mine", got); diff != "" || err != nil {
					t.Fatalf("answer %d, %v (-want +got):\n%s", i, err, diff)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// Guards against sending a request on an idle connection that the target has closed.
func TestClosedConnectionsAreNotUsed(t *testing.T) {
	var seen atomic.Int32
	srv := newTestServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		r, ok := readRequest(br)
		if !ok {
			return
		}
		seen.Add(1)
		reply(c, r.Header.Get("Id"), "one")
	})
	p := newTestPool(t)
	for i := range 3 {
		if _, err := call(t.Context(), p, srv.ln.Addr().String(), fmt.Sprint(i), "b"); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if seen.Load() != 3 || p.Opened() != 3 {
		t.Errorf("%d requests on %d connections", seen.Load(), p.Opened())
	}
}

// Guards against retrying a request whose connection was closed without an answer.
func TestPoolSendsOnce(t *testing.T) {
	var seen atomic.Int32
	srv := newTestServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, ok := readRequest(br)
			if !ok {
				return
			}
			if seen.Add(1) == 2 {
				return
			}
			reply(c, r.Header.Get("Id"), "ok")
		}
	})
	p := newTestPool(t)
	if _, err := call(t.Context(), p, srv.ln.Addr().String(), "a", ""); err != nil {
		t.Fatal(err)
	}
	if _, err := call(t.Context(), p, srv.ln.Addr().String(), "b", ""); err == nil {
		t.Error("a lost answer is not reported as an error")
	}
	if seen.Load() != 2 {
		t.Errorf("%d requests were sent for two calls", seen.Load())
	}
}

// Guards against reusing a connection at once if the target answers before it has read
// the body: it would read the next request as a part of that body.
func TestEarlyAnswer(t *testing.T) {
	long := strings.Repeat("x", 4<<20)
	srv := newTestServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			reply(c, r.Header.Get("Id"), "early")
			time.Sleep(50 * time.Millisecond)
			b, _ := io.ReadAll(r.Body)
			if strings.Trim(string(b), "x") != "" {
				t.Error("the body contains another request")
			}
		}
	})
	p := newTestPool(t)
	for i := range 3 {
		got, err := call(t.Context(), p, srv.ln.Addr().String(), fmt.Sprint(i), long)
		if diff := cmp.Diff("early", got); diff != "" || err != nil {
			t.Fatalf("answer %d, %v (-want +got):\n%s", i, err, diff)
		}
	}
}

// Guards against treating an answer without a length as complete if its connection was
// reset.
func TestUnframedAnswers(t *testing.T) {
	for name, reset := range map[string]bool{"whole": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			srv := newTestServer(t, func(_ int, c net.Conn, br *bufio.Reader) {
				r, ok := readRequest(br)
				if !ok {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\npart", r.Header.Get("Id"))
				if reset {
					time.Sleep(20 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			got, err := call(t.Context(), newTestPool(t), srv.ln.Addr().String(), "a", "")
			if reset != (err != nil) {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

// Guards against taking an answer that ends inside its head, or before the end of a body whose length it states, for whole.
func TestCutAnswersAreNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		head, body string
	}{
		"length first":  {head: "Content-Length: 12\r\nId: a\r\n", body: "twelve bytes"},
		"length last":   {head: "Id: a\r\nContent-Length: 12\r\n", body: "twelve bytes"},
		"length, close": {head: "Id: a\r\nContent-Length: 12\r\nConnection: close\r\n", body: "twelve bytes"},
		"chunks":        {head: "Id: a\r\nTransfer-Encoding: chunked\r\n", body: "6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"},
		"unframed":      {head: "Id: a\r\n"},
	} {
		for _, status := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"} {
			for _, lineEnd := range []string{"\r\n", "\n"} {
				if name == "chunks" && strings.HasPrefix(status, "HTTP/1.0") {
					continue
				}
				t.Run(fmt.Sprintf("%s, %q, %q", name, status, lineEnd), func(t *testing.T) {
					whole := strings.ReplaceAll(status+c.head+"\r\n", "\r\n", lineEnd) + c.body
					srv := newTestServer(t, func(n int, conn net.Conn, br *bufio.Reader) {
						if _, ok := readRequest(br); ok {
							fmt.Fprint(conn, whole[:n-1])
						}
					})
					p := newTestPool(t)
					for n := range len(whole) {
						if got, err := call(t.Context(), p, srv.ln.Addr().String(), "a", ""); err == nil {
							t.Errorf("%q counts as a whole answer with the body %q", whole[:n], got)
						}
					}
					_, err := call(t.Context(), p, srv.ln.Addr().String(), "a", "")
					if err != nil {
						t.Errorf("%q: %v", whole, err)
					}
				})
			}
		}
	}
}

// Guards against a connection that stays open after the caller has disconnected, so
// that the target keeps working on the request.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	began := make(chan struct{})
	srv := newTestServer(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		if _, ok := readRequest(br); !ok {
			return
		}
		close(began)
		_, _ = br.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-began; cancel() }()
	if _, err := call(ctx, newTestPool(t), srv.ln.Addr().String(), "a", ""); err == nil {
		t.Error("a cancelled request got an answer")
	}
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the target's connection stays open after the cancellation")
	}
}

func TestKeepAliveIsRespected(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"timeout=5": 5*time.Second - poolIdleMargin, "max=3, timeout=2": 2*time.Second - poolIdleMargin, "timeout=0": 0, "": poolIdleTimeout, "timeout=x": poolIdleTimeout,
	} {
		if diff := cmp.Diff(want, idleTimeoutFrom(http.Header{"Keep-Alive": {text}})); diff != "" {
			t.Errorf("%q (-want +got):\n%s", text, diff)
		}
	}
}

// Guards against taking a target that accepts connections, or one that can't be reached, for one whose
// process has ended.
func TestEndedTargetsRefuseConnections(t *testing.T) {
	svc := clock.New()
	defer svc.Stop()
	p := NewPool(svc)
	defer p.Stop()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	if p.Ended(t.Context(), addr) {
		t.Error("a target that listens counts as ended")
	}
	if c := p.popIdle(Exchange{Addr: addr}); c == nil {
		t.Error("the connection is not kept for the next request")
	}
	_ = l.Close()
	if !p.Ended(t.Context(), addr) {
		t.Error("a target that refuses connections does not count as ended")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if p.Ended(ctx, addr) {
		t.Error("a target that was not reached counts as ended")
	}
}
