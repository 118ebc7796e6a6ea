package conns

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// use is what a connection is in.
type use int

// The uses of a connection.
const (
	// serves says that a byte of a request has been read whose answer is not whole yet.
	serves use = iota
	// waits says that no byte of another request has been read.
	waits
	// expired says that the read which waits for the next request is to bring nothing more.
	expired
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// conn is a connection that is closed as idle only if no byte of a request has been read.
type conn struct {
	net.Conn
	k *Keeper

	mu    sync.Mutex
	use   use
	since ident.Time
	// early says that the last read took a single byte, as net/http does beside a request that
	// it serves: the byte is the first of the next request.
	early bool
	// deadline is the one that the server has set for reads.
	deadline time.Time
	end      event.Ending
}

// Read reads. What it brings is always part of a request that is served, also if the connection
// was to be closed as idle meanwhile.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.early = len(b) == 1
		if c.use == expired {
			_ = c.Conn.SetReadDeadline(c.deadline)
		}
		c.use = serves
		return n, err
	}
	if err != nil && c.use != expired {
		c.note(err)
	}
	return n, err
}

// note records which side ended the connection. The first that is known stays.
func (c *conn) note(err error) {
	var ne net.Error
	switch {
	case c.end != (event.Ending{}):
	case errors.Is(err, io.EOF):
		c.end = event.Ending{Side: event.SideCaller, Reason: event.ReasonClosed}
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		c.end = event.Ending{Side: event.SideCaller, Reason: event.ReasonReset}
	case errors.Is(err, net.ErrClosed):
		c.end = event.Ending{Side: event.SideHost, Reason: event.ReasonClosed}
	case errors.As(err, &ne) && ne.Timeout():
		// A read is expired by the server when it takes back the one beside a request.
	default:
		c.end = event.Ending{Side: event.SideCaller, Reason: event.ReasonFailed}
	}
}

// Write writes.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var ne net.Error
	if c.end == (event.Ending{}) && errors.As(err, &ne) && ne.Timeout() {
		c.end = event.Ending{Side: event.SideHost, Reason: event.ReasonWriteTimeout}
	}
	c.note(err)
	return n, err
}

// SetReadDeadline sets the deadline of reads. It does not revive a read that has expired.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.use == expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the sending side, as net/http does after an answer behind which unread bytes
// may come: to close both sides would reset the connection and take the answer away.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *conn) Close() error {
	c.k.forget(c)
	c.mu.Lock()
	if c.end == (event.Ending{}) {
		c.end = event.Ending{Side: event.SideHost, Reason: event.ReasonClosed}
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// waitForNext records that an answer is whole. Where the first byte of the next request has been
// read already, the connection serves on.
func (c *conn) waitForNext(now ident.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.early {
		return
	}
	c.use, c.since = waits, now
}

// serve records that a request has been read whole, which the buffer of the server may have held.
func (c *conn) serve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == expired {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	c.use = serves
}

// cut closes the connection for a reason of the host's.
func (c *conn) cut(why event.Reason) {
	c.mu.Lock()
	if c.end == (event.Ending{}) {
		c.end = event.Ending{Side: event.SideHost, Reason: why}
	}
	c.mu.Unlock()
	_ = c.Close()
}

// idleFor returns how long the connection has waited for a request.
func (c *conn) idleFor(now ident.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use == serves {
		return 0
	}
	return now.Sub(c.since)
}

// expire ends the read that waits for the next request, if there is one, and reports whether the
// connection is to end.
func (c *conn) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use != waits {
		return false
	}
	c.use = expired
	_ = c.Conn.SetReadDeadline(past)
	return true
}

func (c *conn) ending() event.Ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}
