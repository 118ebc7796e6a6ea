package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"verbenadale.example/verbenadale/pkg/ident"
)

// finalWriteTimeout is how long a complete answer waits for the last write of
// its request, at most connBufferBytes. It is a hundred times the scheduling delay
// of a goroutine on a busy machine, and too short for callers to notice.
const finalWriteTimeout = 20 * time.Millisecond

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
