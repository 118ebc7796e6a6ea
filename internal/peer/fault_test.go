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

// A forwarded request waits for a frozen host until its deadline.
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
		t.Errorf("result of a request whose body was not asked for (-want +got):\n%s", diff)
	}
	if a.sentCalls != 1 {
		t.Errorf("sent was called %d times", a.sentCalls)
	}
	eventually(t, "the link is down", func() bool { return x.hasEvent(isDown("uvs-2")) })
	if diff := cmp.Diff(int64(1), x.count("silent")); diff != "" {
		t.Errorf("silent sessions (-want +got):\n%s", diff)
	}
}

// A link without traffic is closed as silent.
func TestPingsKeepIdleLinkUp(t *testing.T) {
	ts := Timing{TickInterval: 20 * time.Millisecond, PingInterval: 100 * time.Millisecond, SilenceTimeout: 2 * time.Second}
	x, y := startPair(t, newConfig(t, "uvs-1", "uvs", ts), newConfig(t, "uvs-2", "uvs", ts), nil)
	awaitLinked(t, x, y)
	before := y.count("bytesIn")
	eventually(t, "several silence times of pings", func() bool { return y.count("bytesIn") >= before+30*15 })
	if x.hasEvent(isDown("uvs-2")) || y.hasEvent(isDown("uvs-1")) {
		t.Error("the link broke")
	}
}

// A peer that reads nothing blocks the control thread.
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

// A full queue drops a change of the configuration.
func TestQueueDropsTheOldestDigest(t *testing.T) {
	q := queue{maxItems: 3}
	name := func(s string, ages bool) item { return item{frame: []byte(s), expires: ages} }
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
		t.Errorf("lost (-want +got):\n%s", diff)
	}
	first, _ := q.pop()
	if diff := cmp.Diff("change 1", string(first.frame)); diff != "" {
		t.Errorf("first (-want +got):\n%s", diff)
	}
}

// An idle link to another data centre stays open, or loses the message that reopens it.
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

// Messages for a restarted host go to its former start.
func TestNewerIncarnationReplacesOlder(t *testing.T) {
	x := startNode(t, newConfig(t, "uvs-1", "uvs", Timing{}), nil)
	old := newHost("uvs-2", "uvs", "127.0.0.1:1")
	p := mustConnect(t, x, old)
	next := old
	next.Incarnation++
	q := mustConnect(t, x, next)
	if err := wire.Read(p.reader, &wire.Frame{}, wire.MaxFrame); err == nil {
		t.Error("the session of the older run goes on")
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
		t.Error("the older run came back")
	}
	if x.hasEvent(isDown("uvs-2")) {
		t.Error("the host was reported as down while one of its runs is linked")
	}
}

// Silent connections use up all places.
func TestSilentConnectionsAreClosed(t *testing.T) {
	cfg := newConfig(t, "uvs-1", "uvs", Timing{HelloTimeout: 300 * time.Millisecond})
	cfg.Bounds.MaxHandshakes = 1
	x := startNode(t, cfg, nil)
	for range 3 {
		conn := dialNode(t, x)
		t.Cleanup(func() { _ = conn.Close() })
	}
	eventually(t, "those beyond the bound are closed", func() bool { return x.count("full") > 0 })
	b := newConfig(t, "uvs-2", "uvs", Timing{})
	b.Seeds = append(b.Seeds, seedOf(x.cfg.Self))
	startNode(t, b, nil)
	eventually(t, "a host links", func() bool { return x.hasEvent(isUp("uvs-2")) })
}

// The announced length of a message is allocated.
func TestHugeMessageEndsTheSession(t *testing.T) {
	x := startNode(t, newConfig(t, "uvs-1", "uvs", Timing{}), nil)
	p := mustConnect(t, x, newHost("uvs-2", "uvs", "127.0.0.1:1"))
	if _, err := p.control.Write([]byte{0xff, 0xff, 0xff, 0xff, 0x0f}); err != nil && !errors.Is(err, yamux.ErrSessionShutdown) {
		t.Fatal(err)
	}
	eventually(t, "the link is down", func() bool { return x.hasEvent(isDown("uvs-2")) })
	if out := x.log.String(); !strings.Contains(out, "message size 4294967295 exceeded") {
		t.Errorf("the session has not ended by the size of the message:\n%s", out)
	}
	b := newConfig(t, "uvs-3", "uvs", Timing{})
	b.Seeds = append(b.Seeds, seedOf(x.cfg.Self))
	awaitLinked(t, x, startNode(t, b, nil))
}

// The digest of a host of another data centre is merged.
func TestRemoteDigestIsDropped(t *testing.T) {
	x, y := startPair(t, newConfig(t, "uvs-1", "uvs", Timing{}), newConfig(t, "khovd-1", "khovd", Timing{}), nil)
	awaitLinked(t, x, y)
	x.Send(event.SendDigest{To: []event.Host{y.cfg.Self}, Digest: event.Digest{Seq: 1}})
	eventually(t, "the digest is counted as rejected", func() bool { return y.count("rejected") == 1 })
	if y.hasEvent(func(ev event.Event) bool { _, ok := ev.(event.DigestReceived); return ok }) {
		t.Error("the reducer was notified")
	}
}

// All hosts dial at the same moments after a partition.
func TestBackoffIsSpreadAndBounded(t *testing.T) {
	ts := Timing{MinBackoff: 100 * time.Millisecond, MaxBackoff: 5 * time.Second}
	if diff := cmp.Diff(time.Duration(0), backoff(ts, 0)); diff != "" {
		t.Errorf("first dial (-want +got):\n%s", diff)
	}
	for fails := 1; fails < 100; fails++ {
		seen := make(map[time.Duration]bool)
		for range 20 {
			d := backoff(ts, fails)
			if d <= 0 || d > ts.MaxBackoff {
				t.Fatalf("wait %v after %d failures", d, fails)
			}
			seen[d] = true
		}
		if len(seen) < 2 {
			t.Errorf("no spread after %d failures", fails)
		}
	}
}
