package relay_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/dev/relay"
)

// echo accepts connections and returns what each of them sends.
type echo struct{ ln net.Listener }

func (e *echo) run() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go (&echoConn{c}).run()
	}
}

type echoConn struct{ c net.Conn }

func (e *echoConn) run() {
	defer e.c.Close()
	_, _ = io.Copy(e.c, e.c)
}

const oneWayDelay = 30 * time.Millisecond

func startRelay(t *testing.T) *relay.Relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go (&echo{ln}).run()
	svc := clock.New()
	r, err := relay.Start(relay.Config{
		Listen: "127.0.0.1:0", To: ln.Addr().String(), Clock: svc,
		Delay: func(string) time.Duration { return oneWayDelay },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.Stop()
		ln.Close()
		svc.Stop()
	})
	return r
}

func roundTrip(t *testing.T, c net.Conn, text string) string {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	return string(buf)
}

func TestRelayDelaysBothWays(t *testing.T) {
	r := startRelay(t)
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for range 3 {
		start := time.Now()
		if d := cmp.Diff("a memory", roundTrip(t, c, "a memory")); d != "" {
			t.Fatal(d)
		}
		if elapsed := time.Since(start); elapsed < 2*oneWayDelay {
			t.Errorf("round trip took %v", elapsed)
		}
	}
}

// Guards against a fault of one sender that lets its traffic through, or holds back that of others.
func TestRelayHoldsBackOneSender(t *testing.T) {
	r := startRelay(t)
	dial := func(ip string) net.Conn {
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}).Dial("tcp", r.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	isolated, other := dial("127.0.0.2"), dial("127.0.0.3")
	roundTrip(t, isolated, "first")
	for _, dir := range []relay.Direction{relay.Outbound, relay.Inbound} {
		r.SetSenderFault("127.0.0.2", relay.Fault{Stall: dir})
		if _, err := io.WriteString(isolated, "late"); err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff("second", roundTrip(t, other, "second")); d != "" {
			t.Fatal(d)
		}
		_ = isolated.SetReadDeadline(time.Now().Add(4 * oneWayDelay))
		if n, _ := isolated.Read(make([]byte, 1)); n > 0 {
			t.Fatalf("direction %d: data of the sender came through", dir)
		}
		_ = isolated.SetReadDeadline(time.Time{})
		r.SetSenderFault("127.0.0.2", relay.Fault{})
		if d := cmp.Diff("late", roundTrip(t, isolated, "last")); d != "" {
			t.Fatal(d)
		}
		buf := make([]byte, len("last"))
		if _, err := io.ReadFull(isolated, buf); err != nil {
			t.Fatal(err)
		}
	}
	r.SetSenderFault("127.0.0.2", relay.Fault{Refuse: true})
	if _, err := isolated.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection of the sender is still open")
	}
	roundTrip(t, other, "third")
}

// Guards against a partition that lets traffic through.
func TestRelayPartitionsAndHeals(t *testing.T) {
	r := startRelay(t)
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	roundTrip(t, c, "first")
	r.SetPartitioned("127.0.0.1", true)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("connection still open during the partition")
	}
	refused, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer refused.Close()
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Fatal("new connection accepted during the partition")
	}
	r.SetPartitioned("127.0.0.1", false)
	healed, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer healed.Close()
	if d := cmp.Diff("second", roundTrip(t, healed, "second")); d != "" {
		t.Fatal(d)
	}
}
