package worker

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Health is how a worker answers health checks.
type Health struct {
	// Failing makes the worker answer 503.
	Failing bool
	// Delay is the time before the answer, as if the check waited for a slot.
	Delay time.Duration
}

// SetHealth sets how the worker answers health checks.
func (k *Worker) SetHealth(h Health) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.health = h
}

// answerHealth answers a health check.
func (k *Worker) answerHealth(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	h := k.health
	k.mu.Unlock()
	if !sleep(r, h.Delay) {
		return
	}
	w.Header().Set("Verbenadale-Instance-Id", k.cfg.ID)
	if h.Failing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// recorder is an http.ResponseWriter that keeps the answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
	// conn is the connection of the request. hijacked is set once a handler has taken it over.
	conn     *lateConn
	hijacked bool
}

// Hijack implements http.Hijacker.
func (c *recorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c.hijacked = true
	return c.conn.c, bufio.NewReadWriter(c.conn.r, bufio.NewWriter(c.conn.c)), nil
}

func (c *recorder) Header() http.Header { return c.header }

func (c *recorder) WriteHeader(status int) {
	if c.status == 0 {
		c.status = status
	}
}

func (c *recorder) Write(b []byte) (int, error) {
	c.WriteHeader(http.StatusOK)
	return c.body.Write(b)
}

// bytes returns the whole answer as it is sent.
func (c *recorder) bytes() []byte {
	c.WriteHeader(http.StatusOK)
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", c.status, http.StatusText(c.status))
	_ = c.header.Write(&out)
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", c.body.Len())
	out.Write(c.body.Bytes())
	return out.Bytes()
}

// lateConn serves a connection from the first request whose answer is sent twice.
type lateConn struct {
	k *Worker
	c net.Conn
	r *bufio.Reader
	// extra is sent before the next answer.
	extra []byte
}

// answerLate sends an answer, and once more when the next request has arrived on its connection.
func (k *Worker) answerLate(w http.ResponseWriter, text string) {
	rec := &recorder{header: w.Header().Clone()}
	fmt.Fprint(rec, text)
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	l := &lateConn{k: k, c: c, r: rw.Reader, extra: rec.bytes()}
	if _, err := c.Write(l.extra); err != nil {
		_ = c.Close()
		return
	}
	go l.run()
}

// run serves the connection until either side closes it.
func (l *lateConn) run() {
	for l.serveNext() {
	}
}

// serveNext serves one request. It returns false if the connection is closed or taken over.
func (l *lateConn) serveNext() (goesOn bool) {
	rec := &recorder{header: make(http.Header), conn: l}
	defer func() {
		if v := recover(); v != nil {
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(v)
			}
		}
		if !goesOn && !rec.hijacked {
			_ = l.c.Close()
		}
	}()
	req, err := http.ReadRequest(l.r)
	if err != nil {
		return false
	}
	if _, err := l.c.Write(l.extra); err != nil {
		return false
	}
	l.extra = nil
	l.k.ServeHTTP(rec, req)
	if rec.hijacked {
		return false
	}
	_, err = l.c.Write(rec.bytes())
	return err == nil
}
