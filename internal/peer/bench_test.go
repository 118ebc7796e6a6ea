package peer

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/ident"
)

// tokenInterval is the time between two tokens of a stream, shorter than with a real engine.
const tokenInterval = 2 * time.Millisecond

// BenchmarkForwardedToken measures the time that a token of a stream takes from the serving
// host to the caller's host, over TLS on the loopback interface.
func BenchmarkForwardedToken(b *testing.B) {
	produced := make([]time.Time, b.N)
	text := []byte(fmt.Sprintf("id: 1\ndata: %0160d\n\n", 0))
	x, y := startBenchPair(b, func(_ context.Context, c serve.Call, _ event.Request, sink serve.Sink) {
		_, _ = c.ReadBody()
		sink.Begin(200, nil)
		for n := range produced {
			time.Sleep(tokenInterval)
			produced[n] = time.Now()
			_ = sink.Data(text, ident.Tokens(n+1))
		}
		sink.Finish(event.Done)
	})
	p := newForwarded(y.cfg.Self, "body")
	p.Forward.Envelope.Attempt.Incarnation = x.cfg.Self.Incarnation
	delays := make([]time.Duration, 0, b.N)
	before := x.count("bytesIn")
	b.ResetTimer()
	end := x.Forward(b.Context(), p, func() {}, serve.Relay{
		Begin: func(int, http.Header) {},
		Data: func(_ []byte, upto ident.Tokens) error {
			delays = append(delays, time.Since(produced[upto-1]))
			return nil
		},
	})
	if end.Result != event.ResultDone || len(delays) != b.N {
		b.Fatalf("%+v after %d tokens", end, len(delays))
	}
	slices.Sort(delays)
	b.ReportMetric(float64(delays[len(delays)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(x.count("bytesIn")-before)/float64(b.N), "wireB/token")
}

// BenchmarkDigest measures a digest from the effect to the event, and its bytes on the wire
// including the overhead of yamux and TLS.
func BenchmarkDigest(b *testing.B) {
	x, y := startBenchPair(b, nil)
	dig := event.Digest{Host: x.cfg.Self, Revision: 8400}
	for n := range 5 {
		id := ident.TargetID(fmt.Sprintf("uvs-e%d", n))
		dig.Use = append(dig.Use, event.TargetUse{Target: id, Running: 3, Tokens: 2100})
		dig.Accounts = append(dig.Accounts, event.AccountUse{Account: ident.Account(fmt.Sprintf("account-%d", n)), Requests: 9, Tokens: 4096})
	}
	before := x.count("bytesOut")
	b.ResetTimer()
	for n := range b.N {
		dig.Seq = uint64(n + 1)
		x.Send(event.SendDigest{To: []event.Host{y.cfg.Self}, Digest: dig})
		for !y.takeDigest(dig.Seq) {
			time.Sleep(20 * time.Microsecond)
		}
	}
	b.ReportMetric(float64(x.count("bytesOut")-before)/float64(b.N), "wireB/digest")
}

// takeDigest reports whether the latest event is the digest with the given sequence number, and
// discards all events.
func (n *testNode) takeDigest(seq uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.events) == 0 {
		return false
	}
	d, ok := n.events[len(n.events)-1].(event.DigestReceived)
	n.events = n.events[:0]
	return ok && d.Digest.Seq == seq
}

func startBenchPair(b *testing.B, run ServeFunc) (*testNode, *testNode) {
	b.Helper()
	ca := newCA(b)
	keyed := func(id ident.EntryID) Config {
		return Config{Self: newHost(id, "uvs", ports.Next()), Keys: issueKeys(b, ca, id)}
	}
	x, y := startPair(b, keyed("uvs-1"), keyed("uvs-2"), run)
	awaitLinked(b, x, y)
	return x, y
}
