package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
)

// cutter passes on the bytes of one connection. Once left is set, it closes the connection after that many bytes of the
// answering side.
type cutter struct {
	ln   net.Listener
	to   string
	left atomic.Int64
}

func newCutter(t *testing.T, to string) *cutter {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	k := &cutter{ln: ln, to: to}
	go k.run()
	return k
}

func (k *cutter) run() {
	in, err := k.ln.Accept()
	if err != nil {
		return
	}
	defer in.Close()
	out, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		defer in.Close()
		buf := make([]byte, 1<<10)
		for {
			n, err := in.Read(buf)
			if err != nil {
				return
			}
			if _, err := out.Write(buf[:n]); err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 1<<10)
	for {
		n, err := out.Read(buf)
		if err != nil {
			return
		}
		left := k.left.Load()
		if left > 0 {
			n = int(min(int64(n), left))
			k.left.Store(max(left-int64(n), 1))
		}
		if _, err := in.Write(buf[:n]); err != nil || left > 0 && int64(n) == left {
			return
		}
	}
}

// Guards against a part of an event that counts as the whole one because the link broke between two messages of it: the
// stream would go on behind it at another target.
func TestBrokenLinkLeavesWholeEvents(t *testing.T) {
	for cut := int64(2_000); cut < 310_000; cut += 14_000 {
		t.Run(fmt.Sprint("after ", cut, " bytes"), func(t *testing.T) {
			t.Parallel()
			checkCut(t, cut, strings.Repeat("data: "+strings.Repeat("x", wire.PieceSize)+"\n", 3))
		})
	}
}

// Guards against an end of the link that counts as the end of the answer, at any place in and between its messages.
func TestBrokenLinkDoesNotEndAnAnswer(t *testing.T) {
	for cut := int64(1); cut < 200; cut += 3 {
		t.Run(fmt.Sprint("after ", cut, " bytes"), func(t *testing.T) {
			t.Parallel()
			checkCut(t, cut, "data: x\n")
		})
	}
}

// checkCut forwards a request, ends the link after some bytes of the answer, and checks that whole events were delivered
// and that the answer is complete only with all of them.
func checkCut(t *testing.T, cut int64, data string) {
	t.Helper()
	const events = 3
	text := func(n int) string { return fmt.Sprintf("id: %d\n%s\n", n, data) }
	var link *cutter
	y := startNode(t, Config{Self: newHost("uvs-2", "uvs", ports.Next())}, func(_ context.Context, c serve.Call, _ event.Request, sink serve.Sink) {
		_, _ = c.ReadBody()
		link.left.Store(cut)
		sink.Begin(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		for n := 1; n <= events; n++ {
			if sink.Data([]byte(text(n)), ident.Tokens(n)) != nil {
				return
			}
		}
		sink.Finish(event.Done)
	})
	link = newCutter(t, y.cfg.Self.PeerAddr)
	seed := seedOf(y.cfg.Self)
	seed.Addr = link.ln.Addr().String()
	x := startNode(t, Config{Self: newHost("uvs-1", "uvs", ports.Next()), Seeds: []config.Seed{seed}}, nil)
	awaitLinked(t, x, y)
	a, end := forward(t.Context(), x, y, "body", func(p *serve.ForwardedRequest) { p.Call.Engine, p.Call.Routed = false, true })
	want := ""
	for n := 1; n <= int(end.Delivered); n++ {
		want += text(n)
	}
	if diff := cmp.Diff(len(want), a.body.Len()); diff != "" {
		t.Errorf("bytes that came with %d events delivered, %s (-want +got):\n%s", end.Delivered, end.Result, diff)
	}
	result := event.ResultBroken
	if end.Delivered == events {
		result = end.Result
	}
	if diff := cmp.Diff(result, end.Result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
	t.Logf("%d events delivered, %s", end.Delivered, end.Result)
}
