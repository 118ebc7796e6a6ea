package httpcl

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection whose Read returns io.EOF only after an orderly end. The system reports the failure of a connection, such as
// a reset, once, to the first of its Read and Write; a Read that comes second would see the end of the stream. The end of the stream also
// ends a Write that is still running: what the other side has to say is said.
type Conn struct {
	net.Conn

	// mu is held during a Write.
	mu sync.Mutex
	// failure is the first error of a Write, nil if there was none or if this side has stopped it.
	failure error
}

// NewConn returns a connection that uses another one, which must not be read or written to directly.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if c.failure == nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if failure := c.writeFailure(); failure != nil {
			return n, failure
		}
	}
	return n, err
}

// writeFailure ends the running Write, whose error could be the failure of the connection, and returns the failure.
func (c *Conn) writeFailure() error {
	if err := c.SetWriteDeadline(pastDeadline); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("httpcl: not a connection of the system")
	}
	return sc.SyscallConn()
}

// dialFunc opens connections.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// guarded returns a function that opens connections of the type Conn.
func (dial dialFunc) guarded(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}
