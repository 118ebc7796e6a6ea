package peer

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
)

func newConfig(t *testing.T, id ident.EntryID, dc ident.DataCentre, ts Timing) Config {
	t.Helper()
	return Config{Self: newHost(id, dc, ports.Next()), Timing: ts}
}

// The link to a frozen host must be closed as silent; otherwise a forwarded request waits for
// the host until its deadline.
func TestFrozenPeerIsDisconnected(t *testing.T) {
	x := startNode(t, newConfig(t, "uvs-1", "uvs", Timing{
		TickInterval: 20 * time.Millisecond, PingInterval: 50 * time.Millisecond, SilenceTimeout: 500 * time.Millisecond,
	}), nil)
	frozen := newHost("uvs-2", "uvs", "127.0.0.1:1")
	mustConnect(t, x, frozen)
	eventually(t, "the link is up", func() bool { return x.hasEvent(isUp("uvs-2")) })
	y := &testNode{Mesh: New(Config{Self: frozen})}
	a, end := forward(t.Context(), x, y, "body", nil)
	if diff := cmp.Diff(event.ResultNotRun, end.Result); diff != "" {
		t.Errorf("result of a request whose body was not requested (-want +got):\n%s", diff)
	}
	if a.onSendCalls != 1 {
		t.Errorf("onSend was called %d times", a.onSendCalls)
	}
	eventually(t, "the link is down", func() bool { return x.hasEvent(isDown("uvs-2")) })
	if diff := cmp.Diff(int64(1), x.count("silent")); diff != "" {
		t.Errorf("silent sessions (-want +got):\n%s", diff)
	}
}

// A link without traffic must not be closed as silent: pings keep it up.
func TestPingsKeepIdleLinkUp(t *testing.T) {
	ts := Timing{TickInterval: 20 * time.Millisecond, PingInterval: 100 * time.Millisecond, SilenceTimeout: 2 * time.Second}
	x, y := startPair(t, newConfig(t, "uvs-1", "uvs", ts), newConfig(t, "uvs-2", "uvs", ts), nil)
	awaitLinked(t, x, y)
	before := y.count("bytesIn")
	eventually(t, "pings for several silence timeouts", func() bool { return y.count("bytesIn") >= before+30*15 })
	if x.hasEvent(isDown("uvs-2")) || y.hasEvent(isDown("uvs-1")) {
		t.Error("the link broke")
	}
}

// A peer that reads nothing must not block Send, and with it the reducer. The queue drops old
// digests instead.
func TestSlowPeerDoesNotBlockSend(t *testing.T) {
	x := startNode(t, newConfig(t, "uvs-1", "uvs", Timing{}), nil)
	slow := newHost("uvs-2", "uvs", "127.0.0.1:1")
	p := mustConnect(t, x, slow)
	eventually(t, "the link is up", func() bool { return x.hasEvent(isUp("uvs-2")) })
	dig := event.Digest{Host: x.cfg.Self}
	for range 1000 {
		dig.Use = append(dig.Use, event.TargetUse{Target: ident.TargetID(strings.Repeat("x", 100))})
	}
	for n := range 100 {
		dig.Seq = uint64(n + 1)
		x.Send(event.SendDigest{To: []event.Host{slow}, Digest: dig})
	}
	eventually(t, "old digests are dropped", func() bool { return x.count("digestsDropped") > 0 })

	last := uint64(0)
	for last != 100 {
		f := &wire.Frame{}
		if err := wire.Read(p.reader, f, wire.MaxFrame); err != nil {
			t.Fatalf("after digest %d: %v", last, err)
		}
		if d := f.GetDigest(); d != nil {
			last = d.GetSeq()
		}
	}
}

// A full queue must drop the oldest digest before a configuration change.
func TestQueueDropsTheOldestDigest(t *testing.T) {
	q := queue{maxItems: 3}
	name := func(s string, expires bool) item { return item{frame: []byte(s), expires: expires} }
	var lost []string
	for _, it := range []item{
		name("change 1", false), name("digest 1", true), name("digest 2", true),
		name("digest 3", true), name("change 2", false), name("change 3", false), name("change 4", false),
	} {
		if l, ok := q.push(it); ok {
			lost = append(lost, string(l.frame))
		}
	}
	if diff := cmp.Diff([]string{"digest 1", "digest 2", "digest 3", "change 4"}, lost); diff != "" {
		t.Errorf("dropped items (-want +got):\n%s", diff)
	}
	first, _ := q.pop()
	if diff := cmp.Diff("change 1", string(first.frame)); diff != "" {
		t.Errorf("first queued item (-want +got):\n%s", diff)
	}
}

// An idle link to another data centre must be closed, and the message that reopens it must not
// be lost.
func TestIdleRemoteLinkIsClosed(t *testing.T) {
	ts := Timing{TickInterval: 20 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	x, y := startPair(t, newConfig(t, "uvs-1", "uvs", ts), newConfig(t, "khovd-1", "khovd", ts), nil)
	awaitLinked(t, x, y)
	eventually(t, "the link is closed", func() bool { return x.hasEvent(isDown("khovd-1")) && y.hasEvent(isDown("uvs-1")) })
	sum := event.Summary{From: "uvs-1", Seq: 5}
	x.Send(event.SendSummary{To: y.cfg.Self, Summary: sum})
	want := event.Event(event.SummaryReceived{Summary: sum})
	eventually(t, "the summary", func() bool {
		return y.hasEvent(func(ev event.Event) bool { return cmp.Equal(want, ev) })
	})
}

// A host that restarts while its old connection still seems open must receive messages on the
// new session. The old incarnation must not reconnect, and the host must not be reported as
// down.
func TestNewerIncarnationReplacesOlder(t *testing.T) {
	x := startNode(t, newConfig(t, "uvs-1", "uvs", Timing{}), nil)
	old := newHost("uvs-2", "uvs", "127.0.0.1:1")
	p := mustConnect(t, x, old)
	next := old
	next.Incarnation++
	q := mustConnect(t, x, next)
	if err := wire.Read(p.reader, &wire.Frame{}, wire.MaxFrame); err == nil {
		t.Error("the session of the older incarnation continues")
	}
	x.Send(event.AskChanges{To: next, After: 3})
	f := &wire.Frame{}
	for f.GetChangesWanted() == nil {
		f = &wire.Frame{}
		if err := wire.Read(q.reader, f, wire.MaxFrame); err != nil {
			t.Fatal(err)
		}
	}
	stale, err := connect(t, dialNode(t, x), old)
	if err == nil {
		err = wire.Read(stale.reader, &wire.Frame{}, wire.MaxFrame)
	}
	if err == nil {
		t.Error("the older incarnation reconnected")
	}
	if x.hasEvent(isDown("uvs-2")) {
		t.Error("the host was reported as down while one of its incarnations is connected")
	}
}

// Connections that never send a hello must not hold the handshake tokens that other hosts need.
func TestSilentConnectionsAreClosed(t *testing.T) {
	cfg := newConfig(t, "uvs-1", "uvs", Timing{HelloTimeout: 300 * time.Millisecond})
	cfg.Bounds.MaxHandshakes = 1
	x := startNode(t, cfg, nil)
	for range 3 {
		conn := dialNode(t, x)
		t.Cleanup(func() { _ = conn.Close() })
	}
	eventually(t, "connections beyond the bound are closed", func() bool { return x.count("full") > 0 })
	b := newConfig(t, "uvs-2", "uvs", Timing{})
	b.Seeds = append(b.Seeds, seedOf(x.cfg.Self))
	startNode(t, b, nil)
	eventually(t, "a host connects", func() bool { return x.hasEvent(isUp("uvs-2")) })
}

// A message length announced by a peer must not be allocated beyond the limit; it must end the
// session.
func TestHugeMessageEndsTheSession(t *testing.T) {
	x := startNode(t, newConfig(t, "uvs-1", "uvs", Timing{}), nil)
	p := mustConnect(t, x, newHost("uvs-2", "uvs", "127.0.0.1:1"))
	if _, err := p.control.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x0f}); err != nil && !errors.Is(err, yamux.ErrSessionShutdown) {
		t.Fatal(err)
	}
	eventually(t, "the link is down", func() bool { return x.hasEvent(isDown("uvs-2")) })
	if out := x.log.String(); !strings.Contains(out, "message size 4294967295 exceeded") {
		t.Errorf("the session was not ended because of the message size:\n%s", out)
	}
	b := newConfig(t, "uvs-3", "uvs", Timing{})
	b.Seeds = append(b.Seeds, seedOf(x.cfg.Self))
	awaitLinked(t, x, startNode(t, b, nil))
}

// A digest from another data centre must not reach the reducer, which would count its sender
// among the hosts that share its targets.
func TestRemoteDigestIsDropped(t *testing.T) {
	x, y := startPair(t, newConfig(t, "uvs-1", "uvs", Timing{}), newConfig(t, "khovd-1", "khovd", Timing{}), nil)
	awaitLinked(t, x, y)
	x.Send(event.SendDigest{To: []event.Host{y.cfg.Self}, Digest: event.Digest{Seq: 1}})
	eventually(t, "the digest is counted as rejected", func() bool { return y.count("rejected") == 1 })
	if y.hasEvent(func(ev event.Event) bool { _, ok := ev.(event.DigestReceived); return ok }) {
		t.Error("the reducer was notified")
	}
}

// Without jitter all hosts would dial each other at the same moments after a partition.
func TestBackoffIsSpreadAndBounded(t *testing.T) {
	ts := Timing{MinBackoff: 100 * time.Millisecond, MaxBackoff: 5 * time.Second}
	if diff := cmp.Diff(time.Duration(0), backoff(ts, 0)); diff != "" {
		t.Errorf("delay of the first dial (-want +got):\n%s", diff)
	}
	for fails := 1; fails < 100; fails++ {
		seen := make(map[time.Duration]bool)
		for range 20 {
			d := backoff(ts, fails)
			if d <= 0 || d > ts.MaxBackoff {
				t.Fatalf("delay %v after %d failures", d, fails)
			}
			seen[d] = true
		}
		if len(seen) < 2 {
			t.Errorf("no jitter after %d failures", fails)
		}
	}
}
