package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// fleet returns a table with idle engines of ten slots, and data centres that each
// offer capacity for ten requests.
func fleet(engines, centres int) *member.Table {
	tb := member.New(self)
	tb.Advance(start)
	var list event.HostsRead
	for i := range engines {
		id := ident.TargetID(fmt.Sprintf("t%03d", i))
		list.Targets = append(list.Targets, event.Target{ID: id, Incarnation: 1, Kind: event.Engine, Place: home, Price: 1 + float64(i)/10_000})
	}
	tb.HostsRead(start, list)
	for _, t := range list.Targets {
		reportLoad(tb, start, t.ID, 1, 2)
	}
	for i := range centres {
		place := event.Place{DataCentre: ident.DataCentre(fmt.Sprintf("far%02d", i)), Region: ident.Region(fmt.Sprint("r", i%12))}
		h := event.Host{ID: ident.EntryID(place.DataCentre + "-e0"), Incarnation: 1, Place: place}
		tb.SummaryReceived(start, event.Summary{
			From: h.ID, Place: place, Incarnation: 1, Seq: 1, Hosts: []event.Host{h},
			Pools: []event.Pool{
				{Serve: clerk, Slots: 20, Free: 15, Offer: 10, PrefillRate: 1000, DecodeRate: 50, Price: 1},
				{Serve: scribe, Slots: 20, Free: 15, Offer: 10, PrefillRate: 1000, DecodeRate: 50, Price: 1},
			},
		})
	}
	return tb
}

func reportLoad(tb *member.Table, now ident.Time, id ident.TargetID, seq uint64, running int) {
	tb.LoadReported(now, event.Load{
		Target: id, Incarnation: 1, Seq: seq, Slots: 10, Running: running,
		PrefillRate: 1000, DecodeRate: 50, Serves: []rules.Serve{scribe},
	})
}

// advance reports the load of each target once a second in the period from..to, as a
// running host receives it, and returns to.
func advance(tb *member.Table, from, to ident.Time) ident.Time {
	for now := from; now <= to; now = now.Add(time.Second) {
		for _, x := range tb.Targets() {
			tb.LoadReported(now, event.Load{
				Target: x.ID, Incarnation: x.Incarnation, Seq: uint64(now), Slots: 10, Running: 2,
				PrefillRate: 1000, DecodeRate: 50, Serves: []rules.Serve{scribe},
			})
		}
	}
	return to
}

func newQuery(id string) Query {
	return Query{
		Request: event.Request{ID: ident.RequestID(id), Prompt: 1000, MaxTokens: 200, Prefix: []uint64{1, 2, 3, 4}},
		Profile: rules.Profile{Models: []rules.Serve{{Model: "scribe"}}, MaxCrossings: 1, Weights: rules.Weights{Tail: 1, Cost: 0.1, Crossing: 0.5}},
	}
}

// Guards against counting blocks as cached that the engine has evicted, for example
// after lost, reordered or duplicate events or a restart.
func TestCacheMatchesNaiveModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb, r := fleet(1, 0), New()
		cached := make(map[uint64]bool)
		last, seen, inc := uint64(0), false, ident.Incarnation(1)
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			ev := event.CacheChanged{
				Target: "t000", Incarnation: ident.Incarnation(rapid.IntRange(1, 2).Draw(rt, "inc")),
				Seq:     last + uint64(rapid.SampledFrom([]int{1, 1, 1, 1, 1, 1, 0, 3}).Draw(rt, "step")),
				Stored:  rapid.SliceOfN(rapid.Uint64Range(1, 20), 0, 4).Draw(rt, "stored"),
				Dropped: rapid.SliceOfN(rapid.Uint64Range(1, 20), 0, 4).Draw(rt, "dropped"),
			}
			r.CacheChanged(start, ev, tb)
			if ev.Incarnation < inc || ev.Incarnation == inc && seen && ev.Seq <= last {
				continue
			}
			if ev.Incarnation > inc || seen && ev.Seq > last+1 {
				clear(cached)
			}
			inc, last, seen = ev.Incarnation, ev.Seq, true
			for _, b := range ev.Stored {
				cached[b] = true
			}
			for _, b := range ev.Dropped {
				delete(cached, b)
			}
			got := make(map[uint64]bool)
			for b, hs := range r.caches.holders {
				got[b] = len(hs) == 1
			}
			if d := cmp.Diff(cached, got); d != "" {
				rt.Fatal(d)
			}
		}
	})
}

// Guards against cache state that grows without bound with the blocks, targets and
// holders that a host has seen.
func TestCacheMemoryIsBounded(t *testing.T) {
	r := New()
	for i := range uint64(3 * maxBlocksPerTarget) {
		r.PrefixSent(start, "a", []uint64{i})
	}
	for id := range 2 * maxHoldersPerBlock {
		r.PrefixSent(start, ident.TargetID(fmt.Sprint("b", id)), []uint64{3*maxBlocksPerTarget - 1})
	}
	if n := len(r.caches.byTarget["a"].blocks); n > maxBlocksPerTarget || len(r.caches.holders) > maxBlocksPerTarget {
		t.Errorf("%d blocks, %d with holders", n, len(r.caches.holders))
	}
	if hs := r.caches.holders[3*maxBlocksPerTarget-1]; len(hs) != maxHoldersPerBlock || hs[maxHoldersPerBlock-1] != "b7" {
		t.Errorf("holders are %v", hs)
	}
	for id := range 2 * maxTargets {
		r.PrefixSent(start, ident.TargetID(fmt.Sprint("c", id)), []uint64{1})
	}
	if n := len(r.caches.byTarget); n != maxTargets {
		t.Errorf("%d targets", n)
	}
	r.Forget("a")
	for _, hs := range r.caches.holders {
		for _, id := range hs {
			if id == "a" {
				t.Fatal("a forgotten target still counts as a holder of a block")
			}
		}
	}
}

// Guards against a popular prefix that sends all its requests to the one target which
// caches it, so that they queue there.
func TestWarmTargetIsIgnoredAboveBound(t *testing.T) {
	tb, r := fleet(8, 0), New()
	r.PrefixSent(start, "t003", []uint64{1, 2, 3, 4})
	countWarm := func() int {
		n := 0
		for i := range 200 {
			if r.Choose(start, newQuery(fmt.Sprint("q", i)), tb).Target.ID == "t003" {
				n++
			}
		}
		return n
	}
	if n := countWarm(); n != 200 {
		t.Errorf("%d of 200 go to the warm target", n)
	}
	reportLoad(tb, start, "t003", 2, 6)
	if n := countWarm(); n != 0 {
		t.Errorf("%d of 200 go to the warm target above its bound", n)
	}
	late := advance(tb, start, start.Add(sentTTL+time.Second))
	cold := 0
	for i := range 200 {
		if r.Choose(late, newQuery(fmt.Sprint("q", i)), tb).Target.ID != "t003" {
			cold++
		}
	}
	if cold < 100 {
		t.Errorf("an unconfirmed block still attracts %d of 200 requests after sentTTL", 200-cold)
	}
}

// Guards against herding: all hosts choose the target that was least loaded in the last
// report.
func TestNearEqualTargetsShareTheWork(t *testing.T) {
	tb, r := fleet(40, 0), New()
	counts := make(map[ident.TargetID]int)
	for i := range 4000 {
		q := newQuery(fmt.Sprint("q", i))
		q.Request.Prefix = nil
		counts[r.Choose(start, q, tb).Target.ID]++
	}
	for _, x := range tb.Targets() {
		if n := counts[x.ID]; n < 50 || n > 200 {
			t.Errorf("%s gets %d of 4000, its share is 100", x.ID, n)
		}
	}
}

// Guards against sending a restarted target its full load at once, because it looks
// idle.
func TestRecoveredTargetRamps(t *testing.T) {
	tb, r := fleet(4, 0), New()
	recovered := advance(tb, start, start.Add(20*time.Second))
	tb.HostsRead(recovered, event.HostsRead{Version: 1, Targets: []event.Target{
		{ID: "t000", Incarnation: 1, Kind: event.Engine, Place: home, Price: 1},
		{ID: "t001", Incarnation: 2, Kind: event.Engine, Place: home, Price: 1},
	}})
	// The list is not marked complete, so the two targets that it lacks stay in the table.
	countRecovered := func(now ident.Time) int {
		for _, x := range tb.Targets() {
			tb.LoadReported(now, event.Load{
				Target: x.ID, Incarnation: x.Incarnation, Seq: uint64(now) + 1, Slots: 10, Running: 4,
				PrefillRate: 1000, DecodeRate: 50, Serves: []rules.Serve{scribe},
			})
		}
		n := 0
		for i := range 400 {
			// The prompts differ, since requests with equal prompts all go to one target.
			q := newQuery(fmt.Sprint("q", i))
			q.Request.Prefix = []uint64{uint64(i), uint64(i) + 1000}
			if r.Choose(now, q, tb).Target.ID == "t001" {
				n++
			}
		}
		return n
	}
	if n := countRecovered(advance(tb, recovered, recovered.Add(time.Second))); n != 0 {
		t.Errorf("a cold target that already has work gets %d of 400 requests", n)
	}
	if n := countRecovered(advance(tb, recovered, recovered.Add(11*time.Second))); n < 50 {
		t.Errorf("a target gets only %d of 400 requests after the ramp", n)
	}
}

// Guards against requests that are forwarded more often than their profile allows, and
// so circulate between data centres.
func TestNoRequestCirculates(t *testing.T) {
	for crossings := range ident.Hops(4) {
		for _, forwarded := range []bool{false, true} {
			tb, r := fleet(0, 24), New()
			q := newQuery("q")
			q.Crossings, q.Forwarded, q.Profile.MaxCrossings = crossings, forwarded, 2
			dec := r.Choose(start, q, tb)
			far := dec.Centre != "" && dec.Host.Place.Region != home.Region
			near := dec.Centre != "" && !far
			if far && crossings >= 2 || near && forwarded {
				t.Errorf("after %d crossings, forwarded %v: passed on to %s", crossings, forwarded, dec.Centre)
			}
			if dec.Centre == "" && (crossings < 2 || !forwarded) {
				t.Errorf("after %d crossings, forwarded %v: not passed on", crossings, forwarded)
			}
		}
	}
}

// Guards against forwarding to another region without a gain, or more often than its
// offer allows.
func TestCrossingNeedsAGainAndAnOffer(t *testing.T) {
	tb, r := fleet(2, 2), New()
	q := newQuery("q")
	q.Request.Prefix = nil
	if dec := r.Choose(start, q, tb); dec.Target == nil {
		t.Fatalf("with idle targets: %+v", dec)
	}
	for _, x := range tb.Targets() {
		reportLoad(tb, start, x.ID, 2, 20)
	}
	// Both data centres are new, so only a tenth of each offer may be used.
	var forwarded []ident.DataCentre
	for {
		dec := r.Choose(start, q, tb)
		if dec.Centre == "" {
			if !dec.Full || dec.Wait <= 0 {
				t.Errorf("at the end: %+v", dec)
			}
			break
		}
		forwarded = append(forwarded, dec.Centre)
		tb.ForwardStarted(dec.Centre, dec.Pool)
	}
	if d := cmp.Diff([]ident.DataCentre{"far00", "far01"}, forwarded); d != "" {
		t.Error(d)
	}
	tb.ForwardEnded("far00", member.PoolID{Serve: scribe})
	if dec := r.Choose(start, q, tb); dec.Centre != "far00" {
		t.Errorf("a returned offer is not used: %+v", dec)
	}
	q.Profile.Weights.Crossing = 100
	tb.ForwardEnded("far01", member.PoolID{Serve: scribe})
	if dec := r.Choose(start, q, tb); dec.Centre == "far01" {
		t.Error("a request crosses although the crossing costs more than it gains")
	}
}

// Guards against forwarded requests from other regions that fill all slots, so that
// home-bound requests find none.
func TestSpillLeavesAReserveForHomeWork(t *testing.T) {
	tb, r := fleet(1, 0), New()
	forwarded, homeBound := newQuery("s"), newQuery("b")
	forwarded.Crossings, forwarded.Forwarded = 1, true
	homeBound.Profile.HomeOnly, homeBound.Client.Home = true, home.Region
	for n := 2; n < 20; n++ {
		reportLoad(tb, start, "t000", uint64(n), n)
		if got, want := r.Choose(start, forwarded, tb).Target != nil, n < 8; got != want {
			t.Errorf("with %d of 10 slots taken, forwarded requests are accepted: %v", n, got)
		}
		if got, want := r.Choose(start, homeBound, tb).Target != nil, n < 12; got != want {
			t.Errorf("with %d of 10 slots taken, home-bound requests are accepted: %v", n, got)
		}
	}
}

// Guards against crossing that starts and stops with every small change of load,
// because starting needs no larger gain than continuing.
func TestCrossingHasHysteresis(t *testing.T) {
	tb, r := fleet(1, 1), New()
	tb.SummaryReceived(start, event.Summary{
		From: "far-e0", Place: event.Place{DataCentre: "far", Region: "r9"}, Incarnation: 1, Seq: 1, Hosts: []event.Host{{ID: "far-e0"}},
		Pools: []event.Pool{{Serve: scribe, Slots: 20, Free: 20, Offer: 10, PrefillRate: 1000, DecodeRate: 50, Price: 1}},
	})
	reportLoad(tb, start, "t000", 2, 30)
	q := newQuery("q")
	q.TriedCentres = map[ident.DataCentre]struct{}{"far00": {}}
	// maxWeight returns the crossing weight above which no request crosses.
	maxWeight := func() float64 {
		low, high := 0.0, 1000.0
		for high-low > 1e-6 {
			q.Profile.Weights.Crossing = (low + high) / 2
			if choices, i := r.Explain(start, q, tb); i >= 0 && choices[i].DataCentre == "far" {
				low = q.Profile.Weights.Crossing
			} else {
				high = q.Profile.Weights.Crossing
			}
		}
		return low
	}
	before := maxWeight()
	q.Profile.Weights.Crossing = 0
	if dec := r.Choose(start, q, tb); dec.Centre != "far" {
		t.Fatalf("%+v", dec)
	}
	after := maxWeight()
	if ratio := after / before; before <= 0 || ratio < 1.249 || ratio > 1.251 {
		t.Errorf("requests start to cross up to a weight of %v and continue up to %v", before, after)
	}
}
