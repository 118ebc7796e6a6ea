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
// 6,000; unsharedPrompt returns one with 1,000 tokens and no long shared prefix.
func sharedPrompt() *event.Request {
	return &event.Request{Service: "writers", Prompt: 12000, SharedBlocks: 12, Prefix: make([]uint64, 24)}
}

func unsharedPrompt() *event.Request {
	return &event.Request{Service: "writers", Prompt: 1000, SharedBlocks: 1, Prefix: make([]uint64, 2)}
}

// sendDemand has callers send the given numbers of prompts to a host each second, and returns the
// time after the last one.
func sendDemand(tb *Table, at ident.Time, seconds, shared, unshared int) ident.Time {
	for range seconds {
		for range shared {
			tb.RecordDemand(at, sharedPrompt(), 0)
		}
		for range unshared {
			tb.RecordDemand(at, unsharedPrompt(), 0)
		}
		at = at.Add(time.Second)
		tb.Tick(at, LocalState{})
	}
	return at
}

// reportDemand has the other region report its engines and the demand of its callers.
func reportDemand(tb *Table, at ident.Time, seq uint64, targets int, unshared, shared float64) {
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: seq,
		Hosts: []event.Host{newHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers", Slots: 64 * targets, Free: 64 * targets, Targets: targets, UnsharedPrefill: unshared, SharedPrefill: shared}},
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
	share, allocs := tb.Spill(at, "writers", true, nil)
	if math.Abs(share-0.5) > 0.02 {
		t.Errorf("%.2f of the work goes to an idle region of the same size, want half", share)
	}
	if len(allocs) != 2 || allocs[0].Centre != nil || allocs[1].Work < 45000 || allocs[1].Work > 52000 {
		t.Errorf("allocations %+v, want about 50,000 tokens a second in the other region", allocs)
	}
	reportDemand(tb, at, 12, 2, 100000, 0)
	if share, _ := tb.Spill(at, "writers", true, nil); share > 0.02 {
		t.Errorf("%.2f of the work goes to a region with the same demand", share)
	}
	reportDemand(tb, at, 13, 2, 0, 100000)
	if share, _ := tb.Spill(at, "writers", true, nil); share > 0.02 {
		t.Errorf("%.2f of the work goes to a region although prompts with shared prefixes balance the load", share)
	}
}

// Guards against a region that gets more prompts with shared prefixes than its engines have
// capacity for.
func TestSharedPrefixesAreSplitByNumberOfEngines(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
	reportDemand(tb, at, 10, 6, 0, 0)
	at = sendDemand(tb, at, 10, 10, 0)
	reportDemand(tb, at, 11, 6, 0, 0)
	_, allocs := tb.Spill(at, "writers", true, nil)
	if ratio := allocs[1].Work / allocs[0].Work; math.Abs(ratio-3) > 0.01 {
		t.Errorf("six engines get %.2f times the work of two, want 3", ratio)
	}
}

// Guards against demand at peers that is ignored, or still counted after the peer has gone.
func TestDemandOfPeersIsCounted(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.DigestReceived(at, event.Digest{Host: newHost("w9", "west-a", "west"), Seq: 1, Demand: []event.PrefillDemand{{Service: "writers", UnsharedPrefill: 100, SharedPrefill: 50}}})
	if unshared, shared := tb.demand(at, "writers"); unshared != 100 || shared != 50 {
		t.Errorf("the demand at a peer counts as %v unshared and %v shared, want 100 and 50", unshared, shared)
	}
	if unshared, _ := tb.demand(at.Add(10*time.Second), "writers"); unshared != 0 {
		t.Errorf("the demand at a dead peer counts as %v", unshared)
	}
}

// Guards against regions that end up at different loads: the work that all regions may take must
// equal the work that can be moved.
func TestAllocationsEqualMovableWork(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		allocs := make([]CentreAllocation, rapid.IntRange(1, 12).Draw(rt, "regions"))
		for i := range allocs {
			allocs[i] = CentreAllocation{capacity: float64(rapid.IntRange(0, 40).Draw(rt, "engines")), unshared: rapid.Float64Range(0, 1e6).Draw(rt, "alone")}
		}
		allocs[0].capacity++
		shared := rapid.Float64Range(0, 1e6).Draw(rt, "shared")
		level := evenLevel(allocs, shared)
		allocated, sent := 0.0, 0.0
		for _, a := range allocs {
			allocated += max(0, level*a.capacity-a.unshared)
			sent += max(0, a.unshared-level*a.capacity)
		}
		if want := shared + sent; math.Abs(allocated-want) > 1e-6*(1+want) {
			rt.Errorf("regions may take %v, want %v as the work that can be moved", allocated, want)
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
	report := func(seq uint64, pending ident.Tokens) {
		tb.DigestReceived(at, event.Digest{
			Host: newHost("w9", "west-a", "west"), Seq: seq, Use: []event.TargetUse{{Target: "a", Running: 3, Tokens: 90000, PendingPrefill: pending}},
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
	share, allocs := tb.Spill(at, "writers", true, nil)
	if share > 0 || allocs[1].Work > 0 {
		t.Errorf("%.2f of the work goes to the other region, which may take %v", share, allocs[1].Work)
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
	share, allocs := tb.Spill(at, "writers", false, nil)
	if math.Abs(share-0.5) > 0.02 || len(allocs) != 2 || allocs[1].Work < 7 {
		t.Errorf("%.2f of the work of 16 slots goes to an idle region of the same size, want half: %+v", share, allocs)
	}
}
