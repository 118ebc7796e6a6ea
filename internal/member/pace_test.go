package member

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against a region with slow streams that offers its free slots.
func TestSlowStreamsLeaveNoFreeSlots(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
	id := PoolID{Service: "writers"}
	freeSlots := func() int {
		tb.countPools(at)
		p, _ := tb.pool(id)
		return p.Free
	}
	if got := freeSlots(); got != 16 {
		t.Errorf("%d slots are free without a known pace, want 16", got)
	}
	for range 50 {
		tb.StreamEventReceived("a", 120*time.Millisecond)
	}
	if got := freeSlots(); got != 16 {
		t.Errorf("%d slots are free without a known pace elsewhere, want 16", got)
	}
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: 2,
		Hosts: []event.Host{newHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers", Slots: 16, Free: 16, DecodeRate: 1 / 0.03}},
	})
	if got := freeSlots(); got != 0 {
		t.Errorf("%d slots are free although streams are four times slower than elsewhere, want 0", got)
	}
}

// Guards against a region that offers nothing until all requests that it forwarded have ended.
func TestPoolWithPaceOffersWhileForwarding(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, listOf(1, newTarget("a")))
	id := PoolID{Service: "writers"}
	tb.countPools(at)
	tb.ForwardStarted("east", id)
	for range 50 {
		tb.StreamEventReceived("a", 30*time.Millisecond)
	}
	tb.countPools(at)
	if p, _ := tb.pool(id); !p.offering {
		t.Error("a region with free slots offers none while its forwarded requests run elsewhere")
	}
}

// Guards against a region that has no offer when its peak load starts. If the pace is known, offers
// do not wait for a request.
func TestPoolsWithPaceOfferWithoutRequest(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b"), newTarget("c"), newTarget("d")))
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: 2,
		Hosts: []event.Host{newHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers", Slots: 16, Free: 12, DecodeRate: 1 / 0.03}},
	})
	offer := func() int {
		tb.countPools(at)
		i, _ := tb.poolIndex(PoolID{Service: "writers"})
		return tb.offers(at)[i][0]
	}
	if got := offer(); got != 0 {
		t.Errorf("%d slots are offered without a request or a known pace, want 0", got)
	}
	for range 50 {
		tb.StreamEventReceived("a", 30*time.Millisecond)
	}
	if got := offer(); got < 1 || got > 4 {
		t.Errorf("%d of 32 slots are offered, want 1 to 4", got)
	}
}
