package httpcl

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/pkg/errors"
)

const (
	testTimeout = 20 * time.Second
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 16 << 20
)

// endedConn is a connection whose Read returns io.EOF and whose Write returns err, after the write deadline has passed if blocks
// is set.
type endedConn struct {
	net.Conn
	err      error
	blocks   bool
	deadline chan struct{}
}

func (c *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *endedConn) Write([]byte) (int, error) {
	if c.blocks {
		<-c.deadline
	}
	return 0, c.err
}

func (c *endedConn) SetWriteDeadline(time.Time) error {
	close(c.deadline)
	return nil
}

// Guards against taking a failure that the system reports to Write for the end of the stream.
func TestFailureOfAWriteIsNotAnEnd(t *testing.T) {
	for name, c := range map[string]struct{ write, read error }{
		"written":         {nil, io.EOF},
		"reset":           {syscall.ECONNRESET, syscall.ECONNRESET},
		"timed out":       {syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		"no route":        {syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		"reset after end": {syscall.EPIPE, syscall.EPIPE},
		"stopped":         {os.ErrDeadlineExceeded, io.EOF},
		"closed":          {net.ErrClosed, io.EOF},
	} {
		for _, blocks := range []bool{false, true} {
			conn := NewConn(&endedConn{err: c.write, blocks: blocks, deadline: make(chan struct{})})
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = conn.Write([]byte("x"))
			}()
			if blocks {
				for conn.mu.TryLock() {
					conn.mu.Unlock()
				}
			} else {
				<-written
			}
			_, err := conn.Read(make([]byte, 1))
			if diff := cmp.Diff(c.read, err, cmpopts.EquateErrors()); diff != "" {
				t.Errorf("%s, blocks %v (-want +got):\n%s", name, blocks, diff)
			}
		}
	}
}

// serveConn accepts connections and runs a function on each after it has received its first byte.
func serveConn(t *testing.T, serve func(c *net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := c.Read(make([]byte, 1)); err == nil {
					serve(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// upload writes more than the other side reads, reads to the end and returns what came and how it ended.
func upload(t *testing.T, addr string) (string, error) {
	t.Helper()
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	c := NewConn(raw)
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = c.Write(make([]byte, uploadBytes)) }()
	text, err := io.ReadAll(c)
	return string(text), err
}

// Guards against a reset that looks like an orderly end because a running Write has received it.
func TestResetDuringAWriteIsNotAnEnd(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond} {
		addr := serveConn(t, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, "part")
			time.Sleep(wait)
			reset(c)
		})
		for range 20 {
			if text, err := upload(t, addr); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
				t.Fatalf("reset after %v: %q, %v", wait, text, err)
			}
		}
	}
}

// Guards against taking an orderly end for a failure because a Write is still running.
func TestOrderlyEndDuringAWriteIsAnEnd(t *testing.T) {
	for _, wait := range []time.Duration{0, 5 * time.Millisecond} {
		addr := serveConn(t, func(c *net.TCPConn) {
			defer c.Close()
			_, _ = io.WriteString(c, "whole")
			_ = c.CloseWrite()
			time.Sleep(wait)
			_, _ = io.Copy(io.Discard, c)
		})
		for range 20 {
			if text, err := upload(t, addr); text != "whole" || err != nil {
				t.Fatalf("end after %v: %q, %v", wait, text, err)
			}
		}
	}
}

// Guards against bodies of net/http that end as whole with the reset of their connection, and against heads and bodies that are lost
// with it although they are whole.
func TestBodiesOfATransport(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		end   func(c *net.TCPConn)
		whole bool
	}{
		"unframed, reset": {"", reset, false},
		"unframed, ends": {"", func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
		"a length, reset":       {"Content-Length: 4\r\n", reset, true},
		"a longer body, reset":  {"Content-Length: 5\r\n", reset, false},
		"a part of a chunk":     {"Transfer-Encoding: chunked\r\n", reset, false},
		"unframed, close named": {"Connection: close\r\n", reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			// net/http drops an answer whose head it has not read when a write fails.
			headRead := make(chan struct{})
			addr := serveConn(t, func(conn *net.TCPConn) {
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head+"\r\nbody")
				<-headRead
				c.end(conn)
			})
			cl := &http.Client{Timeout: testTimeout, Transport: NewTransport(&http.Transport{})}
			defer cl.CloseIdleConnections()
			for range 10 {
				res, err := cl.Post("http://"+addr+"/", "text/plain", strings.NewReader(strings.Repeat("u", uploadBytes)))
				if err != nil {
					t.Fatal(err)
				}
				headRead <- struct{}{}
				text, err := io.ReadAll(res.Body)
				_ = res.Body.Close()
				if whole := err == nil; whole != c.whole || whole && string(text) != "body" {
					t.Errorf("%q, %v", text, err)
				}
			}
		})
	}
}
