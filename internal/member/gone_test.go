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

// A target whose entry was removed is used.
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

// An older list of a peer ends an evacuation.
func TestOlderListOfAPeerOpensNothing(t *testing.T) {
	at := ident.Time(time.Second)
	closed := reachTarget("a")
	closed.Closed = true
	tb := New(reachHost("w1", "west-a", "west"))
	tb.HostsRead(at, listOf(5, closed))
	announce := func(seq, version uint64, tg event.Target) {
		tb.DigestReceived(at, event.Digest{Host: reachHost("w2", "west-a", "west"), Seq: seq, ListVersion: version, Targets: []event.Target{tg}})
	}
	announce(1, 4, reachTarget("a"))
	if usable(t, tb, at, "a") {
		t.Error("an older list of a peer opens an evacuated data centre")
	}
	announce(2, 6, reachTarget("a"))
	if !usable(t, tb, at, "a") {
		t.Error("a newer list of a peer is not taken")
	}
	tb.HostsRead(at, listOf(5, closed))
	if !usable(t, tb, at, "a") {
		t.Error("an older list that this host reads replaces a newer one of a peer")
	}
}

// Targets whose entries expired in an outage are dropped on its end.
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
	tb.Tick(at, LocalState{})
	if usable(t, tb, at, "a") {
		t.Error("a target that did not come back is still used")
	}
}

// A cold target is overloaded after an evacuation.
func TestTakenBackIsCold(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	tb.SetCold(Cold{PerSecond: func(string) float64 { return 6 }, Span: func(string) time.Duration { return 3 * time.Second }})
	closed := reachTarget("a")
	closed.Closed = true
	tb.HostsRead(at, listOf(1, reachTarget("a")))
	tb.HostsRead(at, listOf(2, closed))
	if usable(t, tb, at, "a") {
		t.Error("a target of an evacuated data centre is used")
	}
	tb.HostsRead(at, listOf(3, reachTarget("a")))
	tg, _ := tb.Target("a")
	if !tg.Cold(at) || tg.Cold(at.Add(3*time.Second)) {
		t.Error("a target that was taken back is not cold for as long as its service says")
	}
}

// Hosts with different views overload a cold target.
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

// A target stays unused by a load that is over.
func TestBriefCallsAreNotCountedForLong(t *testing.T) {
	at := ident.Time(time.Second)
	tb := New(reachHost("w1", "west-a", "west"))
	small := reachTarget("a")
	small.Capacity = 6
	tb.HostsRead(at, listOf(1, small))
	seen := func(running int) {
		at = at.Add(100 * time.Millisecond)
		tb.AnswerCompleted("a", 20*time.Millisecond)
		tb.LoadSeen(at, event.LoadSeen{Target: "a", Incarnation: 1, Running: running, Slots: 6})
	}
	for range 10 {
		seen(1)
	}
	seen(6)
	tg, _ := tb.Target("a")
	if got := tg.Outstanding(at); got != 6 {
		t.Errorf("%d requests at the target at once, 6 were announced", got)
	}
	if got := tg.Outstanding(at.Add(100 * time.Millisecond)); got > 3 {
		t.Errorf("%d requests of 20 ms are counted 100 ms later", got)
	}
}
