package member

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

func reachTarget(id string) event.Target {
	return event.Target{
		ID: ident.TargetID(id), Incarnation: 1, Kind: event.Service, Service: "writers",
		Place: reachPlace("west-a", "west"), Capacity: 8,
	}
}

func listOf(v uint64, ts ...event.Target) event.HostsRead {
	return event.HostsRead{Version: v, Complete: true, Targets: ts}
}

func usable(t *testing.T, tb *Table, at ident.Time, id string) bool {
	t.Helper()
	tg, ok := tb.Target(ident.TargetID(id))
	return ok && tg.Usable(at)
}

// Some targets never say that they leave: their entry goes and they stop a few
// seconds later, with whatever was sent there meanwhile.
func TestUnlistedTargetIsGone(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
	tb.HostsRead(at, listOf(2, reachTarget("b")))
	if usable(t, tb, at, "a") {
		t.Error("a target that the list lacks is used")
	}
	tb.HostsRead(at, listOf(3, reachTarget("a"), reachTarget("b")))
	if !usable(t, tb, at, "a") {
		t.Error("a target that is listed again is not used")
	}
}

// A host restarts while the platform is away and learns the targets from a peer
// that has not yet heard that their data centre is emptied. It tells them to a
// host that has. Callers of that one would be sent to emptied targets.
func TestOlderListOfAPeerOpensNothing(t *testing.T) {
	at := ident.Time(time.Second)
	closed := reachTarget("a")
	closed.Closed = true
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(5, closed))
	tell := func(seq, version uint64, tg event.Target) {
		tb.DigestReceived(at, event.Digest{Host: reachHost("w2", "west-a", "west"), Seq: seq, ListVersion: version, Targets: []event.Target{tg}})
	}
	tell(1, 4, reachTarget("a"))
	if usable(t, tb, at, "a") {
		t.Error("an older list of a peer opens an emptied data centre")
	}
	tell(2, 6, reachTarget("a"))
	if !usable(t, tb, at, "a") {
		t.Error("a newer list of a peer is not taken")
	}
	tb.HostsRead(at, listOf(5, closed))
	if !usable(t, tb, at, "a") {
		t.Error("an older list that this host reads replaces a newer one of a peer")
	}
}

// The platform was away and entries lapsed though the targets live. They are
// written anew within two seconds of its return; dropped at once, a whole data
// centre would have nothing to serve with for as long.
func TestLapsedEntriesAreWaitedFor(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
	tb.ListFailed(at)
	at = at.Add(5 * time.Second)
	tb.HostsRead(at, listOf(2, reachTarget("b")))
	if !usable(t, tb, at, "a") {
		t.Error("a target whose entry lapsed is dropped at the platform's return")
	}
	at = at.Add(returnGrace)
	tb.Tick(at, Own{})
	if usable(t, tb, at, "a") {
		t.Error("a target that did not come back is still used")
	}
}

// An operator has a data centre emptied and takes that back. Its targets are
// mostly cold then, and crash under the load that waits for them.
func TestTakenBackIsCold(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	tb.SetCold(Cold{PerSecond: func(string) float64 { return 6 }, Span: func(string) time.Duration { return 3 * time.Second }})
	closed := reachTarget("a")
	closed.Closed = true
	tb.HostsRead(at, listOf(1, reachTarget("a")))
	tb.HostsRead(at, listOf(2, closed))
	if usable(t, tb, at, "a") {
		t.Error("a target of an emptied data centre is used")
	}
	tb.HostsRead(at, listOf(3, reachTarget("a")))
	tg, _ := tb.Target("a")
	if !tg.Cold(at) || tg.Cold(at.Add(3*time.Second)) {
		t.Error("a target that was taken back is not cold for as long as its service says")
	}
}

// Several hosts may send to a target that has just started, each with views of
// its own of who is there. Whatever they believe, what they send in any second
// stays under the bound; beyond it the target crashes with all it was sent.
func TestColdTargetsGetTheirShare(t *testing.T) {
	const bound = 6
	for name, know := range map[string]bool{"hosts that know each other": true, "a host that has lost another": false} {
		t.Run(name, func(t *testing.T) {
			at := ident.Time(time.Second)
			hosts := []event.Host{reachHost("w1", "west-a", "west"), reachHost("w2", "west-a", "west")}
			var tables []*Table
			for i, h := range hosts {
				tb := New(h)
				tb.SetCold(Cold{PerSecond: func(string) float64 { return bound }})
				tb.Advance(at)
				if know {
					tb.PeerUp(at, hosts[1-i])
				}
				tables = append(tables, tb)
			}
			at = at.Add(coldStart)
			cold := reachTarget("a")
			cold.ColdFor = time.Minute
			var sends []ident.Time
			for range 500 {
				at = at.Add(10 * time.Millisecond)
				for i, tb := range tables {
					tb.HostsRead(at, listOf(1, cold))
					if know {
						tb.PeerUp(at, hosts[1-i])
					}
					if tg, _ := tb.Target("a"); !tb.ColdFull(at, tg) {
						tb.Sent("a", 0, 0)
						sends = append(sends, at)
					}
				}
			}
			most := 0
			for i := range sends {
				n := 0
				for _, s := range sends[i:] {
					if s.Sub(sends[i]) < time.Second {
						n++
					}
				}
				most = max(most, n)
			}
			if most == 0 || most > bound {
				t.Errorf("%d sends in one second, of %d allowed", most, bound)
			}
		})
	}
}

// Calls of a few milliseconds come to a target with six places from many hosts.
// One answer happened to tell of six others; a moment later they are over. Taken
// for there still, the target would get nothing until the next answer, and
// callers would be refused before a target that is mostly idle.
func TestBriefCallsAreNotCountedForLong(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	small := reachTarget("a")
	small.Capacity = 6
	tb.HostsRead(at, listOf(1, small))
	seen := func(running int) {
		at = at.Add(100 * time.Millisecond)
		tb.Ran("a", 20*time.Millisecond)
		tb.LoadSeen(at, event.LoadSeen{Target: "a", Incarnation: 1, Running: running, Slots: 6})
	}
	for range 10 {
		seen(1)
	}
	seen(6)
	tg, _ := tb.Target("a")
	if got := tg.Outstanding(at); got != 6 {
		t.Errorf("%d requests at the target at once, 6 were told", got)
	}
	if got := tg.Outstanding(at.Add(100 * time.Millisecond)); got > 3 {
		t.Errorf("%d requests of 20 ms are counted 100 ms later", got)
	}
}
