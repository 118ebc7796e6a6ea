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

// connState is the state of a connection.
type connState int

// States of a connection.
const (
	// stateServing: a byte of a request has been read, and its answer is not complete.
	stateServing connState = iota
	// stateIdle: no byte of another request has been read.
	stateIdle
	// stateExpired: the read that waits for the next request has been given a deadline in the past.
	stateExpired
)

// expiredDeadline is a deadline in the past.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection that is closed as idle only if no byte of a request has been read.
type conn struct {
	net.Conn
	tracker *Tracker

	mu        sync.Mutex
	state     connState
	idleSince ident.Time
	// nextRequestBegun is set if the last read that returned data asked for a single byte. net/http
	// reads one byte while it serves a request: it is the first byte of the next request.
	nextRequestBegun bool
	// readDeadline is the read deadline that the server has set.
	readDeadline time.Time
	endedBy      event.Ending
}

// Read reads from the connection. Data that it returns is always part of a request that is served,
// even if the connection expired meanwhile.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.nextRequestBegun = len(b) == 1
		if c.state == stateExpired {
			_ = c.Conn.SetReadDeadline(c.readDeadline)
		}
		c.state = stateServing
		return n, err
	}
	if err != nil && c.state != stateExpired {
		c.recordEnd(err)
	}
	return n, err
}

// recordEnd records which side ended the connection. The first known ending is kept.
func (c *conn) recordEnd(err error) {
	var ne net.Error
	switch {
	case c.endedBy != (event.Ending{}):
	case errors.Is(err, io.EOF):
		c.endedBy = event.Ending{Side: event.SideCaller, Reason: event.ReasonClosed}
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		c.endedBy = event.Ending{Side: event.SideCaller, Reason: event.ReasonReset}
	case errors.Is(err, net.ErrClosed):
		c.endedBy = event.Ending{Side: event.SideHost, Reason: event.ReasonClosed}
	case errors.As(err, &ne) && ne.Timeout():
		// The server expires its background read for the next request when a handler returns.
	default:
		c.endedBy = event.Ending{Side: event.SideCaller, Reason: event.ReasonFailed}
	}
}

// Write writes to the connection and records an error as its ending.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var ne net.Error
	if c.endedBy == (event.Ending{}) && errors.As(err, &ne) && ne.Timeout() {
		c.endedBy = event.Ending{Side: event.SideHost, Reason: event.ReasonWriteTimeout}
	}
	c.recordEnd(err)
	return n, err
}

// SetReadDeadline sets the read deadline. It does not revive a read that has expired.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.state == stateExpired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the read and write deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the sending side. net/http calls it after an answer if the caller may have sent
// bytes that were not read: closing both sides would reset the connection, and the caller would lose
// the answer.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and records the host as the side that ended it, unless an ending is
// known.
func (c *conn) Close() error {
	c.tracker.remove(c)
	c.mu.Lock()
	if c.endedBy == (event.Ending{}) {
		c.endedBy = event.Ending{Side: event.SideHost, Reason: event.ReasonClosed}
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// markIdle records that an answer is complete. If the first byte of the next request has already
// been read, the connection stays in stateServing.
func (c *conn) markIdle(now ident.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextRequestBegun {
		return
	}
	c.state, c.idleSince = stateIdle, now
}

// markServing records that the headers of a request have been read, possibly from the buffer of the
// server.
func (c *conn) markServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateExpired {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.state = stateServing
}

// closeWith closes the connection and records the host as the side that ended it, with the given
// reason.
func (c *conn) closeWith(reason event.Reason) {
	c.mu.Lock()
	if c.endedBy == (event.Ending{}) {
		c.endedBy = event.Ending{Side: event.SideHost, Reason: reason}
	}
	c.mu.Unlock()
	_ = c.Close()
}

// idleFor returns how long the connection has been waiting for a request.
func (c *conn) idleFor(now ident.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateServing {
		return 0
	}
	return now.Sub(c.idleSince)
}

// expire ends the read that waits for the next request, if the connection is idle, and reports
// whether it did.
func (c *conn) expire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != stateIdle {
		return false
	}
	c.state = stateExpired
	_ = c.Conn.SetReadDeadline(expiredDeadline)
	return true
}

func (c *conn) ending() event.Ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedBy
}
