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

// echo answers each connection with what it sends.
type echo struct{ ln net.Listener }

func (e *echo) run() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go (&echoed{c}).run()
	}
}

type echoed struct{ c net.Conn }

func (e *echoed) run() {
	defer e.c.Close()
	_, _ = io.Copy(e.c, e.c)
}

const oneWay = 30 * time.Millisecond

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
		Delay: func(string) time.Duration { return oneWay },
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

func say(t *testing.T, c net.Conn, text string) string {
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
		began := time.Now()
		if d := cmp.Diff("a memory", say(t, c, "a memory")); d != "" {
			t.Fatal(d)
		}
		if took := time.Since(began); took < 2*oneWay {
			t.Errorf("there and back took %v", took)
		}
	}
}

// A cut link lets traffic through, so that a partition is no partition.
func TestRelayCutsAndHeals(t *testing.T) {
	r := startRelay(t)
	c, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	say(t, c, "first")
	r.SetPartitioned("127.0.0.1", true)
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("the connection outlives the cut")
	}
	again, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if _, err := again.Read(make([]byte, 1)); err == nil {
		t.Fatal("a connection through a link that is cut")
	}
	r.SetPartitioned("127.0.0.1", false)
	healed, err := net.Dial("tcp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer healed.Close()
	if d := cmp.Diff("second", say(t, healed, "second")); d != "" {
		t.Fatal(d)
	}
}
