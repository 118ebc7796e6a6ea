package member

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sharedPrompt is a prompt of 12,000 tokens of which others share 6,000, alonePrompt
// one of 1,000 that shares little.
func sharedPrompt() *event.Request {
	return &event.Request{Service: "writers", Prompt: 12000, Shared: 12, Prefix: make([]uint64, 24)}
}

func alonePrompt() *event.Request {
	return &event.Request{Service: "writers", Prompt: 1000, Shared: 1, Prefix: make([]uint64, 2)}
}

// bring has callers of a host bring prompts for some seconds.
func bring(tb *Table, at ident.Time, seconds, shared, alone int) ident.Time {
	for range seconds {
		for range shared {
			tb.Brought(at, sharedPrompt(), 0)
		}
		for range alone {
			tb.Brought(at, alonePrompt(), 0)
		}
		at = at.Add(time.Second)
		tb.Tick(at, LocalState{})
	}
	return at
}

// reportWork has the other region report its engines and what its callers bring.
func reportWork(tb *Table, at ident.Time, seq uint64, targets int, alone, shared float64) {
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: reachPlace("east-a", "east"), Incarnation: 1, Seq: seq,
		Hosts: []event.Host{reachHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers", Slots: 64 * targets, Free: 64 * targets, Targets: targets, Alone: alone, Shared: shared}},
	})
}

// Prompts queue up at the start of a peak while another region is idle.
func TestWorkIsSharedOutByWhatCallersBring(t *testing.T) {
	at := ident.Time(time.Second)
	tb := nearWorld(at)
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
	reportWork(tb, at, 10, 2, 0, 0)
	at = bring(tb, at, 10, 0, 100)
	reportWork(tb, at, 11, 2, 0, 0)
	part, rooms := tb.Spill(at, "writers", true, nil)
	if math.Abs(part-0.5) > 0.02 {
		t.Errorf("%.2f of the work goes to a region that idles and is as large, want half", part)
	}
	if len(rooms) != 2 || rooms[0].Centre != nil || rooms[1].Room < 45000 || rooms[1].Room > 52000 {
		t.Errorf("rooms %+v, want about 50,000 tokens a second at the other", rooms)
	}
	reportWork(tb, at, 12, 2, 100000, 0)
	if part, _ := tb.Spill(at, "writers", true, nil); part > 0.02 {
		t.Errorf("%.2f of the work goes to a region that has as much", part)
	}
	reportWork(tb, at, 13, 2, 0, 100000)
	if part, _ := tb.Spill(at, "writers", true, nil); part > 0.02 {
		t.Errorf("%.2f of the work goes to a region while prompts that share prefixes even it out", part)
	}
}

// A region gets more shared prefixes than its engines have room for.
func TestRoomForSharedBeginningsFollowsTheEngines(t *testing.T) {
	at := ident.Time(time.Second)
	tb := nearWorld(at)
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
	reportWork(tb, at, 10, 6, 0, 0)
	at = bring(tb, at, 10, 10, 0)
	reportWork(tb, at, 11, 6, 0, 0)
	_, rooms := tb.Spill(at, "writers", true, nil)
	if ratio := rooms[1].Room / rooms[0].Room; math.Abs(ratio-3) > 0.01 {
		t.Errorf("six engines have %.2f times the room of two", ratio)
	}
}

// A host learns what callers of its peers bring, and forgets one that has gone.
func TestWorkOfPeersCounts(t *testing.T) {
	at := ident.Time(time.Second)
	tb := nearWorld(at)
	tb.DigestReceived(at, event.Digest{Host: reachHost("w9", "west-a", "west"), Seq: 1, Flows: []event.Flow{{Service: "writers", Alone: 100, Shared: 50}}})
	if alone, shared := tb.demand(at, "writers"); alone != 100 || shared != 50 {
		t.Errorf("a peer's work counts as %v and %v", alone, shared)
	}
	if alone, _ := tb.demand(at.Add(10*time.Second), "writers"); alone != 0 {
		t.Errorf("work of a peer that has gone counts as %v", alone)
	}
}

// Regions end at different levels of use.
func TestRoomIsWhatThereIsToGive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rooms := make([]Room, rapid.IntRange(1, 12).Draw(rt, "regions"))
		for i := range rooms {
			rooms[i] = Room{capacity: float64(rapid.IntRange(0, 40).Draw(rt, "engines")), alone: rapid.Float64Range(0, 1e6).Draw(rt, "alone")}
		}
		rooms[0].capacity++
		shared := rapid.Float64Range(0, 1e6).Draw(rt, "shared")
		level := levelOf(rooms, shared)
		room, sent := 0.0, 0.0
		for _, r := range rooms {
			room += max(0, level*r.capacity-r.alone)
			sent += max(0, r.alone-level*r.capacity)
		}
		if want := shared + sent; math.Abs(room-want) > 1e-6*(1+want) {
			rt.Errorf("room for %v, there is %v to give", room, want)
		}
	})
}

// A target with queued prompts of other hosts looks idle.
func TestUnreadPromptsOfPeersCount(t *testing.T) {
	at := ident.Time(time.Second)
	tb := nearWorld(at)
	tb.HostsRead(at, listOf(1, reachTarget("a")))
	tb.FirstTokenReceived("a", 10000, 0, time.Second)
	tb.Prefill("a", 5000)
	report := func(seq uint64, unread ident.Tokens) {
		tb.DigestReceived(at, event.Digest{
			Host: reachHost("w9", "west-a", "west"), Seq: seq, Use: []event.TargetUse{{Target: "a", Running: 3, Tokens: 90000, Unread: unread}},
		})
	}
	tg, _ := tb.Target("a")
	report(1, 20000)
	if got := tg.Wait(at, 4, 1); got != 2500*time.Millisecond {
		t.Errorf("a wait of %v before 25,000 tokens at 10,000 a second", got)
	}
	report(2, 0)
	tb.ReadDone("a", 5000)
	if got := tg.Wait(at, 4, 1); got != 0 {
		t.Errorf("a wait of %v where all has been read", got)
	}
}

// Requests cross regions at low load.
func TestLittleWorkStays(t *testing.T) {
	at := ident.Time(time.Second)
	tb := nearWorld(at)
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
	tb.FirstTokenReceived("a", 50000, 0, time.Second)
	reportWork(tb, at, 10, 2, 0, 0)
	at = bring(tb, at, 10, 1, 1)
	reportWork(tb, at, 11, 2, 0, 0)
	part, rooms := tb.Spill(at, "writers", true, nil)
	if part > 0 || rooms[1].Room > 0 {
		t.Errorf("%.2f of the work goes elsewhere, and there is room for %v there", part, rooms[1].Room)
	}
}

// Calls queue for slots while another region has free ones.
func TestCallsAreSharedOutBySlots(t *testing.T) {
	at := ident.Time(time.Second)
	tb := nearWorld(at)
	tb.HostsRead(at, listOf(1, reachTarget("a")))
	tb.AnswerCompleted("a", 40*time.Millisecond)
	for range 10 {
		for range 400 {
			tb.Brought(at, &event.Request{Service: "writers"}, 0)
		}
		at = at.Add(time.Second)
		tb.Tick(at, LocalState{})
	}
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: reachPlace("east-a", "east"), Incarnation: 1, Seq: 10,
		Hosts: []event.Host{reachHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers", Slots: 8, Free: 8, Targets: 1}},
	})
	part, rooms := tb.Spill(at, "writers", false, nil)
	if math.Abs(part-0.5) > 0.02 || len(rooms) != 2 || rooms[1].Room < 7 {
		t.Errorf("%.2f of 16 slots' work goes to a region with as many: %+v", part, rooms)
	}
}
