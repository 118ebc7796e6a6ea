package idle

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/pkg/ident"
)

// A shorter idle limit is ignored by standing connections, or closes one that serves a request.
func TestLimitHoldsForStandingConnections(t *testing.T) {
	svc := clock.New()
	defer svc.Stop()
	limit := time.Hour
	k := &Keeper{clock: svc, limit: func() time.Duration { return limit }, since: make(map[net.Conn]ident.Time)}
	waits, waitsEnd := net.Pipe()
	works, worksEnd := net.Pipe()
	defer worksEnd.Close()
	k.State(waits, http.StateIdle)
	k.State(works, http.StateIdle)
	k.State(works, http.StateActive)
	k.sweep(svc.Now().Add(time.Minute))
	limit = time.Second
	k.sweep(svc.Now().Add(time.Minute))
	_ = waitsEnd.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := waitsEnd.Read(make([]byte, 1)); err == nil || err.Error() != "EOF" {
		t.Errorf("a connection that waits too long is not closed: %v", err)
	}
	_ = works.SetReadDeadline(time.Now())
	if _, err := works.Read(make([]byte, 1)); err == nil || err.Error() == "io: read/write on closed pipe" {
		t.Errorf("a connection that serves a request is closed: %v", err)
	}
}

// A connection is closed as idle while the headers of a request are being read.
func TestRequestThatBeginsIsNotCut(t *testing.T) {
	svc := clock.New()
	defer svc.Stop()
	k := &Keeper{clock: svc, limit: func() time.Duration { return time.Second }, since: make(map[net.Conn]ident.Time)}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") }))
	srv.Config.ConnState = k.State
	srv.Listener = k.Listener(srv.Listener)
	srv.Start()
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	exchange := func(parts ...string) (string, error) {
		for i, part := range parts {
			if i > 0 {
				time.Sleep(50 * time.Millisecond)
				k.sweep(svc.Now().Add(time.Minute))
			}
			fmt.Fprint(c, part)
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return "", err
		}
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		return string(b), err
	}
	if got, err := exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil || got != "whole" {
		t.Fatalf("first request: %q %v", got, err)
	}
	for {
		k.mu.Lock()
		n := len(k.since)
		k.mu.Unlock()
		if n == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if got, err := exchange("GET / HTTP/1.1\r\nHo", "st: a\r\n\r\n"); err != nil || got != "whole" {
		t.Errorf("a request that had begun: %q %v", got, err)
	}
	time.Sleep(50 * time.Millisecond)
	k.sweep(svc.Now().Add(time.Minute))
	if got, err := exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err == nil {
		t.Errorf("a connection that has waited too long is still served: %q", got)
	}
}
