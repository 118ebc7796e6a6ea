package proofs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/rules"
)

// floodLimits are small, so that a flood reaches them.
var floodLimits = config.Limits{
	MaxBufferedBytes: 16 << 20, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 32 << 10, MaxConnections: 600,
	MaxRequests: 500, HeaderMs: 2000, BodyMs: 4000, WriteMs: 5000, IdleMs: 5000,
}

// mostGrowth is by how much the memory of an entry host may grow in a flood: the
// bodies that it may hold, and some fifty kilobytes for each connection that it
// may have, three times over for what the collector has yet to free. The bodies
// of the flood are ten times as much.
const mostGrowth = 3 * (16<<20 + 600*50<<10)

// floodHost is one entry host before one engine.
type floodHost struct {
	*entry
	t      *testing.T
	before int
}

func startFloodHost(t *testing.T) *floodHost {
	t.Helper()
	place := event.Place{DataCentre: "uvs", Region: "uvs"}
	platform := startPlatform(t)
	eng := startEngine(t, "uvs-e1", place, "-model", "draft")
	putHosts(t, platform, store.Hosts{Targets: []event.Target{eng}})
	set := entrySettings(platform, "uvs-1", place)
	set.Limits = floodLimits
	h := &floodHost{entry: startSettings(t, set), t: t}
	applyItems(t, h.entry,
		item(t, rules.KindProfile, "draft", rules.Profile{Name: "draft", Models: []rules.Serve{{Model: "draft"}}}),
		item(t, rules.KindAccount, "foundation", rules.Client{Name: "foundation", KeyDigest: rules.Digest("key-1")}),
	)
	eventually(t, "an answer", h.serves)
	h.before = h.rss()
	return h
}

// serves reports whether an ordinary caller is served.
func (h *floodHost) serves() bool {
	ans := ask(context.Background(), h.callers(), "/v1/chat/completions", chatBody("draft", "hello", 4), nil)
	return ans.outcome == event.Done
}

// rss returns the resident memory of the process in bytes.
func (h *floodHost) rss() int {
	h.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			if err != nil {
				h.t.Fatal(err)
			}
			return kb << 10
		}
	}
	h.t.Fatal("no VmRSS")
	return 0
}

// bounded checks that ordinary callers are served in a flood, and the memory.
func (h *floodHost) bounded(t *testing.T, answers int) {
	t.Helper()
	most := 0
	for n := range answers {
		eventually(t, fmt.Sprintf("answer %d in the flood", n+1), h.serves)
		most = max(most, h.rss())
	}
	t.Logf("memory %d KB before, at most %d KB in the flood", h.before>>10, most>>10)
	if grown := most - h.before; grown > mostGrowth {
		t.Errorf("the memory grew by %d KB, at most %d KB expected", grown>>10, mostGrowth>>10)
	}
}

// raw opens a connection and writes the head of a request with a long body.
func (h *floodHost) raw(path string, length int) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", h.set.Callers.Listen, waitLimit)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key-1\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", path, length)
	return c, err
}

// flood runs senders until stop is closed, each again when its connection ends.
func (h *floodHost) flood(senders int, send func(stop <-chan struct{})) (end func()) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					send(stop)
				}
			}
		})
	}
	return func() { close(stop); wg.Wait() }
}

// drip sends a body a byte at a time until the connection ends.
func (h *floodHost) drip(stop <-chan struct{}) {
	c, err := h.raw("/v1/chat/completions", 1<<20-1)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if _, err := c.Write([]byte(" ")); err != nil {
			return
		}
	}
}

// stall sends all but the last byte of a long body and waits.
func (h *floodHost) stall(stop <-chan struct{}) {
	c, err := h.raw("/v1/chat/completions", 1<<20)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	if _, err := c.Write(bytes.Repeat([]byte(" "), 1<<20-1)); err != nil {
		return
	}
	gone := make(chan struct{})
	go func() { defer close(gone); _, _ = io.Copy(io.Discard, c) }()
	select {
	case <-stop:
	case <-gone:
	}
}

// Slow, endless or too many connections exhaust a host; runs alone since senders share the process.
func TestFloodIsBounded(t *testing.T) {
	h := startFloodHost(t)
	t.Run("dripping bodies", func(t *testing.T) {
		end := h.flood(300, h.drip)
		time.Sleep(500 * time.Millisecond)
		h.bounded(t, 20)
		end()
	})
	t.Run("dripping bodies are ended", h.testDripEnds)
	t.Run("endless bodies", h.testEndless)
	t.Run("stalled bodies", func(t *testing.T) {
		end := h.flood(480, h.stall)
		time.Sleep(time.Second)
		h.bounded(t, 20)
		end()
	})
	t.Run("connections", h.testConnections)
	eventually(t, "an answer after the flood", h.serves)
	if h.exited() {
		t.Error("the host has ended")
	}
}

// A body that comes too slowly is ended with an answer that says so.
func (h *floodHost) testDripEnds(t *testing.T) {
	c, err := h.raw("/v1/chat/completions", 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	b, _ := io.ReadAll(c)
	if !strings.Contains(string(b), "VB10") || !strings.HasPrefix(string(b), "HTTP/1.1 408") {
		t.Errorf("a body that never came was answered %q", b)
	}
}

// A body without end is refused at the limit, and no more of it is taken. Of
// many at once some are refused for want of memory.
func (h *floodHost) testEndless(t *testing.T) {
	body := &endless{stop: make(chan struct{})}
	// A sender that still writes may lose the answer with its connection.
	status := 0
	eventually(t, "an endless body is answered", func() bool {
		status = h.sendEndless(body)
		return status != 0
	})
	if diff := cmp.Diff(http.StatusRequestEntityTooLarge, status); diff != "" {
		t.Errorf("status of an endless body (-want +got):\n%s", diff)
	}
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			switch status := h.sendEndless(body); status {
			case 0, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
			default:
				t.Errorf("an endless body was answered %d", status)
			}
		})
	}
	h.bounded(t, 10)
	wg.Wait()
	close(body.stop)
}

// sendEndless returns the status of the answer, zero where the connection was
// broken off.
func (h *floodHost) sendEndless(body io.Reader) int {
	req, err := http.NewRequest(http.MethodPost, h.callers()+"/v1/chat/completions", body)
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer key-1")
	res, err := callerHTTP.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// endless is a body that goes on until it is stopped.
type endless struct{ stop chan struct{} }

func (e *endless) Read(p []byte) (int, error) {
	select {
	case <-e.stop:
		return 0, io.EOF
	default:
	}
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

// Far more connections come than the host may have, and say nothing. Those
// above the limit wait in the kernel, and silent ones are ended in time.
func (h *floodHost) testConnections(t *testing.T) {
	var cs []net.Conn
	for range 2000 {
		if c, err := net.DialTimeout("tcp", h.set.Callers.Listen, time.Second); err == nil {
			cs = append(cs, c)
		}
	}
	if len(cs) <= floodLimits.MaxConnections {
		t.Fatalf("only %d connections were made", len(cs))
	}
	if n := h.sockets(); n > floodLimits.MaxConnections+100 {
		t.Errorf("the host has %d files open, at most %d connections are allowed", n, floodLimits.MaxConnections)
	}
	h.bounded(t, 1)
	for _, c := range cs {
		c.Close()
	}
}

// sockets counts the files that the process has open.
func (h *floodHost) sockets() int {
	h.t.Helper()
	fs, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	return len(fs)
}
