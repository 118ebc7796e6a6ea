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

// maxMemoryGrowth bounds the growth of an entry host's memory in a flood: the bodies that it may
// buffer and 50 KB for each allowed connection, times three for garbage that is not yet collected.
// Without the factor of three, the stalled bodies of the flood are ten times as large.
const maxMemoryGrowth = 3 * (16<<20 + 600*50<<10)

// floodHost is one entry host in front of one engine.
type floodHost struct {
	*entry
	t         *testing.T
	rssBefore int
}

func startFloodHost(t *testing.T) *floodHost {
	t.Helper()
	place := event.Place{DataCentre: "uvs", Region: "uvs"}
	platform := startPlatform(t)
	eng := startEngine(t, "uvs-e1", place, "-model", "draft")
	putHosts(t, platform, store.Hosts{Targets: []event.Target{eng}})
	set := entrySettings(platform, "uvs-1", place)
	set.Limits = floodLimits
	h := &floodHost{entry: startEntryWith(t, set), t: t}
	applyItems(t, h.entry,
		item(t, rules.KindProfile, "draft", rules.Profile{Name: "draft", Models: []rules.Serve{{Model: "draft"}}}),
		item(t, rules.KindAccount, "foundation", rules.Client{Name: "foundation", KeyDigest: rules.Digest("key-1")}),
	)
	eventually(t, "an answer", h.serves)
	h.rssBefore = h.rss()
	return h
}

// serves reports whether an ordinary caller is served.
func (h *floodHost) serves() bool {
	ans := sendRequest(context.Background(), h.callers(), "/v1/chat/completions", chatBody("draft", "hello", 4), nil)
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

// checkBounded checks during a flood that ordinary callers are served and that memory is bounded.
func (h *floodHost) checkBounded(t *testing.T, answers int) {
	t.Helper()
	maxRSS := 0
	for n := range answers {
		eventually(t, fmt.Sprintf("answer %d in the flood", n+1), h.serves)
		maxRSS = max(maxRSS, h.rss())
	}
	t.Logf("memory %d KB before, at most %d KB in the flood", h.rssBefore>>10, maxRSS>>10)
	if grown := maxRSS - h.rssBefore; grown > maxMemoryGrowth {
		t.Errorf("the memory grew by %d KB, at most %d KB expected", grown>>10, maxMemoryGrowth>>10)
	}
}

// openRaw opens a connection and writes the head of a request with a body of the given length.
func (h *floodHost) openRaw(path string, length int) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", h.settings.Callers.Listen, testTimeout)
	if err != nil {
		return nil, err
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer key-1\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n", path, length)
	return c, err
}

// flood runs concurrent senders until end is called. Each sends again when its connection ends.
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

// sendSlowly sends a body one byte at a time until the connection ends.
func (h *floodHost) sendSlowly(stop <-chan struct{}) {
	c, err := h.openRaw("/v1/chat/completions", 1<<20-1)
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

// sendIncomplete sends all but the last byte of a long body and waits for the connection to end.
func (h *floodHost) sendIncomplete(stop <-chan struct{}) {
	c, err := h.openRaw("/v1/chat/completions", 1<<20)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.Write(bytes.Repeat([]byte(" "), 1<<20-1)); err != nil {
		return
	}
	closed := make(chan struct{})
	go func() { defer close(closed); _, _ = io.Copy(io.Discard, c) }()
	select {
	case <-stop:
	case <-closed:
	}
}

// Slow, endless or too many connections must not exhaust a host. The test does not run in
// parallel, since its senders share the test process.
func TestFloodIsBounded(t *testing.T) {
	h := startFloodHost(t)
	t.Run("dripping bodies", func(t *testing.T) {
		end := h.flood(300, h.sendSlowly)
		time.Sleep(500 * time.Millisecond)
		h.checkBounded(t, 20)
		end()
	})
	t.Run("dripping bodies are ended", h.testSlowBodyEnds)
	t.Run("endless bodies", h.testEndless)
	t.Run("stalled bodies", func(t *testing.T) {
		end := h.flood(480, h.sendIncomplete)
		time.Sleep(time.Second)
		h.checkBounded(t, 20)
		end()
	})
	t.Run("connections", h.testConnections)
	eventually(t, "an answer after the flood", h.serves)
	if h.exited() {
		t.Error("the host has exited")
	}
}

// A body that arrives too slowly is answered with 408 and its code.
func (h *floodHost) testSlowBodyEnds(t *testing.T) {
	c, err := h.openRaw("/v1/chat/completions", 1000)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	b, _ := io.ReadAll(c)
	if !strings.Contains(string(b), "VB10") || !strings.HasPrefix(string(b), "HTTP/1.1 408") {
		t.Errorf("a body that did not arrive was answered with %q", b)
	}
}

// An endless body is refused at the size limit, and no more of it is read. With many at once,
// some are refused for lack of memory.
func (h *floodHost) testEndless(t *testing.T) {
	body := &endlessBody{stop: make(chan struct{})}
	// The answer can be lost with the connection if the sender is still writing.
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
				t.Errorf("an endless body was answered with status %d", status)
			}
		})
	}
	h.checkBounded(t, 10)
	wg.Wait()
	close(body.stop)
}

// sendEndless returns the status of the answer, or zero if the connection was aborted.
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

// endlessBody is a request body that continues until it is stopped.
type endlessBody struct{ stop chan struct{} }

func (e *endlessBody) Read(p []byte) (int, error) {
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

// Far more connections arrive than the host allows, and send no data. Those above the limit wait
// in the kernel's backlog, and idle ones are closed on time-out.
func (h *floodHost) testConnections(t *testing.T) {
	var cs []net.Conn
	for range 2000 {
		if c, err := net.DialTimeout("tcp", h.settings.Callers.Listen, time.Second); err == nil {
			cs = append(cs, c)
		}
	}
	if len(cs) <= floodLimits.MaxConnections {
		t.Fatalf("only %d connections were made", len(cs))
	}
	if n := h.openFiles(); n > floodLimits.MaxConnections+100 {
		t.Errorf("the host has %d files open, at most %d connections are allowed", n, floodLimits.MaxConnections)
	}
	h.checkBounded(t, 1)
	for _, c := range cs {
		c.Close()
	}
}

// openFiles counts the open files of the process.
func (h *floodHost) openFiles() int {
	h.t.Helper()
	fs, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	if err != nil {
		h.t.Fatal(err)
	}
	return len(fs)
}
