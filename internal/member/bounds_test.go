package member

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
)

// extremes are numbers at and beyond the bounds of what is read of messages.
var extremes = []int64{0, 1, 8, -1, event.MaxSlots, event.MaxSlots + 1, 1 << 30, 1<<30 + 1, 1 << 40, 1 << 53, 5e18, math.MaxInt64, math.MinInt64}

var extremeRates = []float32{0, 1, -1, 1 << 40, math.MaxFloat32, float32(math.Inf(1)), float32(math.Inf(-1)), float32(math.NaN())}

func drawNumber(rt *rapid.T) int64 { return rapid.SampledFrom(extremes).Draw(rt, "number") }

func drawCount(rt *rapid.T) uint64 { return uint64(drawNumber(rt)) }

func drawRate(rt *rapid.T) float32 { return rapid.SampledFrom(extremeRates).Draw(rt, "rate") }

// drawDigest returns a digest of a peer with numbers at and beyond the bounds.
func drawDigest(rt *rapid.T, seq uint64, targets ...string) *wire.Digest {
	d := &wire.Digest{
		Seq: seq, Flows: []*wire.Flow{{Service: "writers", Alone: drawRate(rt), Shared: drawRate(rt)}},
		Away:  []*wire.AwayUse{{DataCentre: "east-a", Service: "writers", Running: drawNumber(rt)}, {DataCentre: "east-a", Service: "writers", Running: drawNumber(rt)}},
		Rates: []*wire.ServiceRates{{Service: "writers", PrefillRate: drawRate(rt), RequestTimeUs: drawCount(rt), EventGapUs: drawCount(rt), MinEventGapUs: drawCount(rt)}},
	}
	for _, id := range targets {
		limit := float64(drawRate(rt))
		key := uint32(targetKey(ident.TargetID(id)))
		d.Use = append(d.Use, &wire.TargetUse{Target: id, Running: drawNumber(rt), Tokens: drawNumber(rt), Unread: drawNumber(rt)})
		d.Loads = append(d.Loads, &wire.Load{
			Target: id, Incarnation: 1, Seq: drawCount(rt), AgeMs: drawCount(rt), Slots: drawNumber(rt), Running: drawNumber(rt), Queued: drawNumber(rt),
			QueuedTokens: drawNumber(rt), PrefillRate: drawRate(rt), DecodeRate: drawRate(rt),
		})
		d.RateLimits = append(d.RateLimits, &wire.RateLimit{Key: key, Incarnation: 1, PerSecond: &limit, AgeMs: drawCount(rt)})
	}
	return d
}

// drawSummary returns a summary of another data centre with numbers at and beyond the bounds.
func drawSummary(rt *rapid.T, seq uint64) *wire.Summary {
	s := wire.FromSummary(event.Summary{
		From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: seq, Hosts: []event.Host{newHost("e1", "east-a", "east")},
		Pools: []event.Pool{{Service: "writers"}},
	})
	p := s.GetPools()[0]
	p.Slots, p.Free, p.Offer, p.Targets, p.WaitMs = drawNumber(rt), drawNumber(rt), drawNumber(rt), drawNumber(rt), drawCount(rt)
	p.PrefillRate, p.DecodeRate, p.Price, p.Alone, p.Shared = drawRate(rt), drawRate(rt), drawRate(rt), drawRate(rt), drawRate(rt)
	return s
}

func checkPools(rt *rapid.T, at ident.Time, tb *Table) {
	for _, t := range tb.Targets() {
		if n := t.Outstanding(at); n < 0 || t.PeerInFlightTokens < 0 || t.PeerPendingPrefill < 0 || t.Wait(at, n, 1) < 0 {
			rt.Errorf("%s: %d outstanding, %d tokens, %d pending, wait %v", t.ID, n, t.PeerInFlightTokens, t.PeerPendingPrefill, t.Wait(at, n, 1))
		}
	}
	for i, row := range tb.offers(at) {
		p, sum := tb.pools[i], 0
		for _, n := range row {
			sum += n
			if n < 0 {
				rt.Errorf("offers %v", row)
			}
		}
		if p.Slots < 0 || p.Free < 0 || sum > p.Free || p.Wait < 0 || math.IsNaN(p.PrefillRate) || math.IsInf(p.UnsharedPrefill, 0) {
			rt.Errorf("pool %+v offers %v", p.Pool, row)
		}
	}
	share, allocs := tb.Spill(at, "writers", false, nil)
	if !(share >= 0 && share <= 1) {
		rt.Errorf("share %v", share)
	}
	for _, a := range allocs {
		if !(a.Work >= 0) || math.IsInf(a.Work, 0) {
			rt.Errorf("work %v", a.Work)
		}
	}
	id := PoolID{Service: "writers"}
	if tb.RemainingOffer(at, "east-a", id) < 0 || tb.RemainingSpare(at, "east-a", id) < 0 {
		rt.Errorf("remaining offer %d, spare %d", tb.RemainingOffer(at, "east-a", id), tb.RemainingSpare(at, "east-a", id))
	}
	if p := tb.centres[0].Pool(id); p != nil && needsCapacity(p.Free, p.Slots) != (float64(p.Free)*percent <= float64(p.Slots)*requestPercent) {
		rt.Errorf("%d free of %d slots: requests capacity %v", p.Free, p.Slots, needsCapacity(p.Free, p.Slots))
	}
}

// Guards against sums and percentages that overflow because a host of another release sends numbers out of range.
func TestNumbersOfPeersStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		at := ident.Time(time.Hour)
		tb := newNearbyTable(at)
		tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b"), newTarget("c")))
		for seq := range uint64(4) {
			at = at.Add(time.Second)
			tb.DigestReceived(at, drawDigest(rt, seq+1, "a", "b", "c").ToEvent(newHost("w2", "west-a", "west")))
			tb.DigestReceived(at, drawDigest(rt, seq+1, "a", "b", "c").ToEvent(newHost("w4", "west-a", "west")))
			tb.SummaryReceived(at, drawSummary(rt, seq+2).ToEvent())
			tb.Tick(at, LocalState{})
			checkPools(rt, at, tb)
		}
	})
}

// Guards against a data centre that refuses everything because one host claims more requests than its targets hold.
func TestClaimsOfOneHostFillNoTarget(t *testing.T) {
	for _, claimed := range []int64{1 << 30, event.MaxSlots, 1000, 100} {
		at := ident.Time(time.Hour)
		tb := newNearbyTable(at)
		tb.HostsRead(at, listOf(1, newTarget("a"), newTarget("b")))
		d := &wire.Digest{Seq: 1, Use: []*wire.TargetUse{{Target: "a", Running: claimed, Tokens: 1 << 40, Unread: 1 << 40}, {Target: "b", Running: claimed}}}
		tb.DigestReceived(at, d.ToEvent(newHost("w2", "west-a", "west")))
		tb.Tick(at.Add(time.Second), LocalState{})
		if p, ok := tb.pool(PoolID{Service: "writers"}); !ok || p.Free != p.Slots {
			t.Errorf("%d claimed: %d of %d slots are free", claimed, p.Free, p.Slots)
		}
		d.Seq, d.Use = 2, []*wire.TargetUse{{Target: "a", Running: 3}}
		tb.DigestReceived(at.Add(2*time.Second), d.ToEvent(newHost("w2", "west-a", "west")))
		if tg, _ := tb.Target("a"); tg.PeerInFlight != 3 || tg.PeerInFlightTokens != 0 {
			t.Errorf("%d claimed before: %d requests, %d tokens", claimed, tg.PeerInFlight, tg.PeerInFlightTokens)
		}
	}
}
