package member

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sharedPrompt returns a request with a prompt of 12,000 tokens, of which other prompts share
// 6,000; alonePrompt returns one with 1,000 tokens and no long shared prefix.
func sharedPrompt() *event.Request {
	return &event.Request{Service: "writers", Prompt: 12000, SharedBlocks: 12, Prefix: make([]uint64, 24)}
}

func alonePrompt() *event.Request {
	return &event.Request{Service: "writers", Prompt: 1000, SharedBlocks: 1, Prefix: make([]uint64, 2)}
}

// sendDemand has callers send the given numbers of prompts to a host each second, and returns the
// time after the last one.
func sendDemand(tb *Table, at ident.Time, seconds, shared, alone int) ident.Time {
	for range seconds {
		for range shared {
			tb.RecordDemand(at, sharedPrompt(), 0)
		}
		for range alone {
			tb.RecordDemand(at, alonePrompt(), 0)
		}
		at = at.Add(time.Second)
		tb.Tick(at, LocalState{})
	}
	return at
}

// reportDemand has the other region report its engines and the demand of its callers.
func reportDemand(tb *Table, at ident.Time, seq uint64, targets int, alone, shared float64) {
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: seq,
		Hosts: []event.Host{newHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers", Slots: 64 * targets, Free: 64 * targets, Targets: targets, UnsharedPrefill: alone, SharedPrefill: shared}},
	})
}

// Guards against prompts that queue up at the start of a peak while another region is idle.
func TestWorkIsBalancedByDemand(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
	reportDemand(tb, at, 10, 2, 0, 0)
	at = sendDemand(tb, at, 10, 0, 100)
	reportDemand(tb, at, 11, 2, 0, 0)
	part, rooms := tb.Spill(at, "writers", true, nil)
	if math.Abs(part-0.5) > 0.02 {
		t.Errorf("%.2f of the work goes to an idle region of the same size, want half", part)
	}
	if len(rooms) != 2 || rooms[0].Centre != nil || rooms[1].Work < 45000 || rooms[1].Work > 52000 {
		t.Errorf("rooms %+v, want about 50,000 tokens a second in the other region", rooms)
	}
	reportDemand(tb, at, 12, 2, 100000, 0)
	if part, _ := tb.Spill(at, "writers", true, nil); part > 0.02 {
		t.Errorf("%.2f of the work goes to a region with the same demand", part)
	}
	reportDemand(tb, at, 13, 2, 0, 100000)
	if part, _ := tb.Spill(at, "writers", true, nil); part > 0.02 {
		t.Errorf("%.2f of the work goes to a region although prompts with shared prefixes balance the load", part)
	}
}

// Guards against a region that gets more prompts with shared prefixes than its engines have
// capacity for.
func TestRoomForSharedPrefixesIsProportionalToEngines(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
	reportDemand(tb, at, 10, 6, 0, 0)
	at = sendDemand(tb, at, 10, 10, 0)
	reportDemand(tb, at, 11, 6, 0, 0)
	_, rooms := tb.Spill(at, "writers", true, nil)
	if ratio := rooms[1].Work / rooms[0].Work; math.Abs(ratio-3) > 0.01 {
		t.Errorf("six engines get %.2f times the work of two, want 3", ratio)
	}
}

// Guards against demand at peers that is ignored, or still counted after the peer has gone.
func TestDemandOfPeersIsCounted(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.DigestReceived(at, event.Digest{Host: newHost("w9", "west-a", "west"), Seq: 1, Demand: []event.PrefillDemand{{Service: "writers", UnsharedPrefill: 100, SharedPrefill: 50}}})
	if alone, shared := tb.demand(at, "writers"); alone != 100 || shared != 50 {
		t.Errorf("the demand at a peer counts as %v alone and %v shared, want 100 and 50", alone, shared)
	}
	if alone, _ := tb.demand(at.Add(10*time.Second), "writers"); alone != 0 {
		t.Errorf("the demand at a dead peer counts as %v", alone)
	}
}

// Guards against regions that end up at different loads: the room of all regions must equal the
// work that can be moved.
func TestRoomEqualsMovableWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rooms := make([]CentreRoom, rapid.IntRange(1, 12).Draw(rt, "regions"))
		for i := range rooms {
			rooms[i] = CentreRoom{capacity: float64(rapid.IntRange(0, 40).Draw(rt, "engines")), alone: rapid.Float64Range(0, 1e6).Draw(rt, "alone")}
		}
		rooms[0].capacity++
		shared := rapid.Float64Range(0, 1e6).Draw(rt, "shared")
		level := evenLevel(rooms, shared)
		room, sent := 0.0, 0.0
		for _, r := range rooms {
			room += max(0, level*r.capacity-r.alone)
			sent += max(0, r.alone-level*r.capacity)
		}
		if want := shared + sent; math.Abs(room-want) > 1e-6*(1+want) {
			rt.Errorf("room for %v, want %v as the work that can be moved", room, want)
		}
	})
}

// Guards against a target that looks idle although prompts of other hosts are queued there.
func TestPendingPrefillOfPeersIsCounted(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, listOf(1, newTarget("a")))
	tb.FirstTokenReceived("a", 10000, 0, time.Second)
	tb.AddPrefill("a", 5000)
	report := func(seq uint64, unread ident.Tokens) {
		tb.DigestReceived(at, event.Digest{
			Host: newHost("w9", "west-a", "west"), Seq: seq, Use: []event.TargetUse{{Target: "a", Running: 3, Tokens: 90000, PendingPrefill: unread}},
		})
	}
	tg, _ := tb.Target("a")
	report(1, 20000)
	if got := tg.Wait(at, 4, 1); got != 2500*time.Millisecond {
		t.Errorf("a wait of %v behind 25,000 tokens at 10,000 a second, want 2.5 s", got)
	}
	report(2, 0)
	tb.PrefillDone("a", 5000)
	if got := tg.Wait(at, 4, 1); got != 0 {
		t.Errorf("a wait of %v after all prompts are prefilled", got)
	}
}

// Guards against requests that cross regions at low load.
func TestLowLoadStaysLocal(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
	tb.FirstTokenReceived("a", 50000, 0, time.Second)
	reportDemand(tb, at, 10, 2, 0, 0)
	at = sendDemand(tb, at, 10, 1, 1)
	reportDemand(tb, at, 11, 2, 0, 0)
	part, rooms := tb.Spill(at, "writers", true, nil)
	if part > 0 || rooms[1].Work > 0 {
		t.Errorf("%.2f of the work goes to the other region, which gets room for %v", part, rooms[1].Work)
	}
}

// Guards against calls that queue for slots while another region has free ones.
func TestCallsAreBalancedBySlots(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, listOf(1, newTarget("a")))
	tb.AnswerCompleted("a", 40*time.Millisecond)
	for range 10 {
		for range 400 {
			tb.RecordDemand(at, &event.Request{Service: "writers"}, 0)
		}
		at = at.Add(time.Second)
		tb.Tick(at, LocalState{})
	}
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: 10,
		Hosts: []event.Host{newHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers", Slots: 8, Free: 8, Targets: 1}},
	})
	part, rooms := tb.Spill(at, "writers", false, nil)
	if math.Abs(part-0.5) > 0.02 || len(rooms) != 2 || rooms[1].Work < 7 {
		t.Errorf("%.2f of the work of 16 slots goes to an idle region of the same size, want half: %+v", part, rooms)
	}
}
