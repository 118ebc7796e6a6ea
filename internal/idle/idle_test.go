package idle

import (
	"net"
	"net/http"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/pkg/ident"
)

// An operator shortens the time that a connection may wait while connections
// stand. Those that wait longer are closed; one that serves a request is not,
// however long that takes.
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
