package httpcl

import (
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
// a reset, once: to whichever of Read and Write comes first. A Read that comes second sees the end of the stream.
//
// The end of the stream interrupts a running Write. That suits HTTP/1, where nothing is sent after the end of an answer.
type Conn struct {
	net.Conn

	// mu is held during a Write.
	mu sync.Mutex
	// failure is the first error of a Write that this side has not caused. It may also be a reset that followed an orderly end: what
	// came before is incomplete then as well (RFC 9112, section 8).
	failure error
}

// NewConn wraps a connection, which must not be read or written directly any more.
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

// writeFailure interrupts the running Write, which may be about to return the failure of the connection, and returns that failure.
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
