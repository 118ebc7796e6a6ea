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

// connState is what a connection is in.
type connState int

// The uses of a connection.
const (
	// stateServing says that a byte of a request has been read whose answer is not whole yet.
	stateServing connState = iota
	// stateIdle says that no byte of another request has been read.
	stateIdle
	// stateExpired says that the read which waits for the next request is to bring nothing more.
	stateExpired
)

// expiredDeadline is a deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection that is closed as idle only if no byte of a request has been read.
type conn struct {
	net.Conn
	tracker *Tracker

	mu        sync.Mutex
	state     connState
	idleSince ident.Time
	// nextRequestBegun says that the last read took a single byte, as net/http does beside a request that
	// it serves: the byte is the first of the next request.
	nextRequestBegun bool
	// readDeadline is the one that the server has set for reads.
	readDeadline time.Time
	endedBy      event.Ending
}

// Read reads. What it brings is always part of a request that is served, also if the connection
// was to be closed as idle meanwhile.
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

// recordEnd records which side ended the connection. The first that is known stays.
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
		// A read is expired by the server when it takes back the one beside a request.
	default:
		c.endedBy = event.Ending{Side: event.SideCaller, Reason: event.ReasonFailed}
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
	if c.endedBy == (event.Ending{}) && errors.As(err, &ne) && ne.Timeout() {
		c.endedBy = event.Ending{Side: event.SideHost, Reason: event.ReasonWriteTimeout}
	}
	c.recordEnd(err)
	return n, err
}

// SetReadDeadline sets the deadline of reads. It does not revive a read that has expired.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.state == stateExpired {
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
	c.tracker.remove(c)
	c.mu.Lock()
	if c.endedBy == (event.Ending{}) {
		c.endedBy = event.Ending{Side: event.SideHost, Reason: event.ReasonClosed}
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// markIdle records that an answer is whole. Where the first byte of the next request has been
// read already, the connection serves on.
func (c *conn) markIdle(now ident.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextRequestBegun {
		return
	}
	c.state, c.idleSince = stateIdle, now
}

// markServing records that a request has been read whole, which the buffer of the server may have held.
func (c *conn) markServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateExpired {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.state = stateServing
}

// closeWith closes the connection for a reason of the host's.
func (c *conn) closeWith(why event.Reason) {
	c.mu.Lock()
	if c.endedBy == (event.Ending{}) {
		c.endedBy = event.Ending{Side: event.SideHost, Reason: why}
	}
	c.mu.Unlock()
	_ = c.Close()
}

// idleFor returns how long the connection has waited for a request.
func (c *conn) idleFor(now ident.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateServing {
		return 0
	}
	return now.Sub(c.idleSince)
}

// expire ends the read that waits for the next request, if there is one, and reports whether the
// connection is to end.
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
