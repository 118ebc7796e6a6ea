package member

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// A region with slow streams offers its free slots.
func TestSlowStreamsLeaveNoFreeSlots(t *testing.T) {
	at := ident.Time(time.Second)
	tb := nearWorld(at)
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b")))
	id := PoolID{Service: "writers"}
	free := func() int {
		tb.countPools(at)
		p, _ := tb.pool(id)
		return p.Free
	}
	if got := free(); got != 16 {
		t.Errorf("%d slots are free where no pace is known, want 16", got)
	}
	for range 50 {
		tb.StreamEventReceived("a", 120*time.Millisecond)
	}
	if got := free(); got != 16 {
		t.Errorf("%d slots are free where no other pace is known, want 16", got)
	}
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: reachPlace("east-a", "east"), Incarnation: 1, Seq: 2,
		Hosts: []event.Host{reachHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers", Slots: 16, Free: 16, DecodeRate: 1 / 0.03}},
	})
	if got := free(); got != 0 {
		t.Errorf("%d slots count as room where streams take four times as long as elsewhere", got)
	}
}

// A region offers nothing until all work that it forwarded has ended.
func TestPoolWithPaceOffersWhileForwarding(t *testing.T) {
	at := ident.Time(time.Second)
	tb := nearWorld(at)
	tb.HostsRead(at, listOf(1, reachTarget("a")))
	id := PoolID{Service: "writers"}
	tb.countPools(at)
	tb.OfferTake("east", id)
	for range 50 {
		tb.StreamEventReceived("a", 30*time.Millisecond)
	}
	tb.countPools(at)
	if p, _ := tb.pool(id); !p.offering {
		t.Error("a region with room offers none while its own work runs elsewhere")
	}
}

// A region has no offer at the start of its peak.
func TestPoolsWithPaceOfferWithoutRequest(t *testing.T) {
	at := ident.Time(time.Second)
	tb := nearWorld(at)
	tb.HostsRead(at, listOf(1, reachTarget("a"), reachTarget("b"), reachTarget("c"), reachTarget("d")))
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: reachPlace("east-a", "east"), Incarnation: 1, Seq: 2,
		Hosts: []event.Host{reachHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers", Slots: 16, Free: 12, DecodeRate: 1 / 0.03}},
	})
	offer := func() int {
		tb.countPools(at)
		i, _ := tb.poolIndex(PoolID{Service: "writers"})
		return tb.offers(at)[i][0]
	}
	if got := offer(); got != 0 {
		t.Errorf("%d slots are offered to a region that does not ask, where streams have no pace", got)
	}
	for range 50 {
		tb.StreamEventReceived("a", 30*time.Millisecond)
	}
	if got := offer(); got < 1 || got > 4 {
		t.Errorf("%d of 32 slots are offered, want a small part", got)
	}
}
