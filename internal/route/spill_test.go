package route

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

var (
	west = event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	east = event.Place{DataCentre: "east-a", Region: "east", Reach: "east"}
)

// writersTable returns the table of a host with ten local engines, next to a region with as
// many. here and there are the demand of the callers of each; see event.PrefillDemand.
func writersTable(here, there event.PrefillDemand) (*member.Table, ident.Time) {
	now := ident.Time(time.Second)
	tb := member.New(event.Host{ID: "w1", Incarnation: 1, Place: west})
	ev := event.HostsRead{Version: 1, Complete: true}
	for i := range 10 {
		ev.Targets = append(ev.Targets, event.Target{
			ID: ident.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Kind: event.Service, Service: "writers", Place: west,
			URL: fmt.Sprintf("10.0.0.%d:80", i), Capacity: 64,
		})
	}
	tb.HostsRead(now, ev)
	for _, tg := range ev.Targets {
		tb.FirstTokenReceived(tg.ID, 10000, 0, 200*time.Millisecond)
	}
	tb.DigestReceived(now, event.Digest{Host: event.Host{ID: "w2", Incarnation: 1, Place: west}, Seq: 1, Demand: []event.PrefillDemand{here}})
	h := event.Host{ID: "e1", Incarnation: 1, Place: east}
	tb.SummaryReceived(now, event.Summary{
		From: h.ID, Place: east, Incarnation: 1, Seq: 1, Hosts: []event.Host{h},
		Pools: []event.Pool{{Service: "writers", Slots: 640, Free: 640, PrefillRate: 50000, Targets: 10, UnsharedPrefill: there.UnsharedPrefill, SharedPrefill: there.SharedPrefill}},
	})
	tb.Tick(now, member.LocalState{})
	return tb, now
}

// writersQuery returns a request for an engine. The first half of its prompt, shared blocks of
// 512 tokens with hashes from firstBlock on, is a prefix that other requests share.
func writersQuery(id string, firstBlock uint64, shared int) Query {
	prefix := make([]uint64, 2*shared)
	for i := range prefix {
		prefix[i] = firstBlock + uint64(i)
	}
	return Query{
		Request: event.Request{
			ID: ident.RequestID(id), Service: "writers", Prompt: ident.Tokens(2 * shared * 512), SharedBlocks: shared, Prefix: prefix,
		},
		Profile: rules.Profile{
			Service: "writers", MaxCrossings: 1, Weights: rules.Weights{Tail: 1, Crossing: 0.05},
			Route: &rules.Route{Kind: rules.Streaming, GoalMs: 1000},
		},
	}
}

// Guards against a region at its peak that keeps all its work until its streams are slow,
// because free slots and stream event rates lag behind the demand.
func TestPeakSpillsBeforeStreamsAreSlow(t *testing.T) {
	const numRequests = 400
	for name, c := range map[string]struct {
		here, there                event.PrefillDemand
		bound                      bool
		minForwarded, maxForwarded int
	}{
		"idle there":        {here: event.PrefillDemand{UnsharedPrefill: 1e6}, minForwarded: numRequests * 4 / 10, maxForwarded: numRequests * 6 / 10},
		"half as much":      {here: event.PrefillDemand{UnsharedPrefill: 1e6}, there: event.PrefillDemand{UnsharedPrefill: 5e5}, minForwarded: numRequests * 15 / 100, maxForwarded: numRequests * 35 / 100},
		"as much":           {here: event.PrefillDemand{UnsharedPrefill: 1e6}, there: event.PrefillDemand{UnsharedPrefill: 1e6}},
		"more there":        {here: event.PrefillDemand{UnsharedPrefill: 5e5}, there: event.PrefillDemand{UnsharedPrefill: 1e6}},
		"bound to a region": {here: event.PrefillDemand{UnsharedPrefill: 1e6}, bound: true},
	} {
		c.here.Service = "writers"
		tb, now := writersTable(c.here, c.there)
		rt := New()
		forwarded := 0
		for i := range numRequests {
			q := writersQuery(fmt.Sprint("r", i), uint64(i)<<20, 1)
			if c.bound {
				q.Profile.Regions = []ident.Region{"west"}
			}
			if dec := rt.Choose(now, q, tb); dec.Centre != "" {
				forwarded++
			}
		}
		if forwarded < c.minForwarded || forwarded > c.maxForwarded {
			t.Errorf("%s: %d of %d requests go to the other region, want %d to %d", name, forwarded, numRequests, c.minForwarded, c.maxForwarded)
		}
	}
}

// Guards against every region prefilling the same long prefixes, because requests are forwarded
// without regard to the prefix that they share.
func TestLongSharedPrefixesHaveOneRegion(t *testing.T) {
	tb, now := writersTable(event.PrefillDemand{Service: "writers", SharedPrefill: 5e5}, event.PrefillDemand{SharedPrefill: 5e5})
	rt := New()
	forwarded := 0
	for b := range 100 {
		first := ident.DataCentre("")
		for i := range 5 {
			dec := rt.Choose(now, writersQuery(fmt.Sprint("r", b, "-", i), uint64(b)<<20, 10), tb)
			if i == 0 {
				first = dec.Centre
			}
			if dec.Centre != first {
				t.Fatalf("requests with one prefix go to %q and %q", first, dec.Centre)
			}
		}
		if first != "" {
			forwarded++
		}
	}
	if forwarded < 35 || forwarded > 65 {
		t.Errorf("%d of 100 prefixes are assigned to the other region, which has half of the engines", forwarded)
	}
}

// Guards against prefilling a prefix again at another engine while the preferred one, which
// caches it, is busy.
func TestPrefixIsCopiedFromBusyEngine(t *testing.T) {
	tb, now := writersTable(event.PrefillDemand{Service: "writers"}, event.PrefillDemand{})
	q := writersQuery("first", 1<<20, 10)
	preferred := New().Choose(now, q, tb).Target
	if preferred == nil {
		t.Fatal("no engine is chosen")
	}
	tb.AddPrefill(preferred.ID, 200000)
	rt := New()
	for i := range 20 {
		q.Request.ID = ident.RequestID(fmt.Sprint("r", i))
		dec := rt.Choose(now, q, tb)
		if dec.Target == nil || dec.Target == preferred {
			t.Fatalf("the busy engine gets the request: %+v", dec)
		}
		if dec.CopyFrom != preferred {
			t.Fatalf("engine %s copies from %v, want %s", dec.Target.ID, dec.CopyFrom, preferred.ID)
		}
	}
	tb.MarkDraining(now, preferred.ID, preferred.Incarnation)
	if dec := rt.Choose(now, q, tb); dec.CopyFrom == preferred {
		t.Error("a request copies from an engine that is draining")
	}
}

// Guards against prefilling a prefix at its preferred engine although another engine caches
// it, which happens after the preferred one was busy.
func TestPreferredEngineCopiesFromHolder(t *testing.T) {
	tb, now := writersTable(event.PrefillDemand{Service: "writers"}, event.PrefillDemand{})
	q := writersQuery("first", 1<<20, 10)
	preferred := New().Choose(now, q, tb).Target
	rt := New()
	tb.AddPrefill(preferred.ID, 200000)
	other := rt.Choose(now, q, tb).Target
	rt.PrefixSent(now, other.ID, q.Request.Prefix)
	tb.PrefillDone(preferred.ID, 200000)
	tb.AddPrefill(other.ID, 200000)
	dec := rt.Choose(now, q, tb)
	if dec.Target != preferred {
		t.Fatalf("engine %v gets the request, want %s", dec.Target, preferred.ID)
	}
	if dec.CopyFrom != other {
		t.Errorf("it copies from %v, want %s", dec.CopyFrom, other.ID)
	}
}

// Guards against long prompts that fill the memory of an engine and evict the shared prefixes
// from its cache.
func TestLongPromptsWaitForMemory(t *testing.T) {
	tb, now := writersTable(event.PrefillDemand{Service: "writers"}, event.PrefillDemand{})
	for _, tg := range tb.Targets() {
		tb.MemoryReported(event.MemoryReported{Target: tg.ID, Incarnation: 1, Tokens: 100000})
		for range 5 {
			tb.RequestSent(tg.ID, 10000, 300)
		}
	}
	rt := New()
	if dec := rt.Choose(now, writersQuery("long", 1<<20, 10), tb); !dec.Full {
		t.Errorf("a long prompt goes to an engine without free memory: %+v", dec)
	}
	if dec := rt.Choose(now, writersQuery("short", 1<<21, 1), tb); dec.Target == nil {
		t.Errorf("a short prompt waits: %+v", dec)
	}
	for _, tg := range tb.Targets() {
		tb.RequestEnded(tg.ID, 10000, 300, true)
	}
	if dec := rt.Choose(now, writersQuery("long", 1<<20, 10), tb); dec.Target == nil {
		t.Errorf("a long prompt waits although engines have free memory: %+v", dec)
	}
}

// Guards against forwarding the rest of a broken stream: the other region may refuse it, while
// here it could queue until its deadline.
func TestRequestThatMayHaveRunIsNotForwarded(t *testing.T) {
	tb, now := writersTable(event.PrefillDemand{Service: "writers", UnsharedPrefill: 2e6, SharedPrefill: 1e5}, event.PrefillDemand{})
	rt := New()
	for i := range 100 {
		for _, shared := range []int{1, 10} {
			q := writersQuery(fmt.Sprint("r", i), uint64(i)<<20, shared)
			q.MayHaveRun = true
			if dec := rt.Choose(now, q, tb); dec.Centre != "" {
				t.Fatalf("a request that may have run is passed on: %+v", dec)
			}
		}
	}
}

// Guards against idle slots while short calls are refused, because with many hosts and few
// slots a host does not see when a slot becomes free.
func TestShortCallsMayQueueAtTarget(t *testing.T) {
	for name, c := range map[string]struct {
		run      time.Duration
		accepted bool
	}{
		"brief": {30 * time.Millisecond, true},
		// Calls take a seventh of their goal, as they do at a busy target.
		"not quite brief": {70 * time.Millisecond, true},
		"long":            {200 * time.Millisecond, false},
	} {
		now := ident.Time(time.Second)
		tb := member.New(event.Host{ID: "w1", Incarnation: 1, Place: west})
		tb.HostsRead(now, event.HostsRead{Version: 1, Complete: true, Targets: []event.Target{
			{ID: "b", Incarnation: 1, Kind: event.Service, Service: "board", Place: west, Capacity: 6},
		}})
		for range 9 {
			tb.RequestSent("b", 0, 0)
		}
		tb.AnswerCompleted("b", c.run)
		dec := New().Choose(now, Query{
			Request: event.Request{ID: "r", Service: "board"},
			Profile: rules.Profile{Service: "board", Route: &rules.Route{Kind: rules.Idempotent, GoalMs: 500}},
		}, tb)
		if accepted := dec.Target != nil; accepted != c.accepted {
			t.Errorf("%s: accepted %v, want %v (%+v)", name, accepted, c.accepted, dec)
		}
	}
}

// Guards against forwarding further requests to a region that has just refused one: at its peak, it
// refuses each of them until its next summary.
func TestRefusingRegionIsSkippedBriefly(t *testing.T) {
	tb, now := writersTable(event.PrefillDemand{Service: "writers", UnsharedPrefill: 1e6}, event.PrefillDemand{})
	countForwarded := func(at ident.Time) int {
		rt, n := New(), 0
		for i := range 200 {
			if dec := rt.Choose(at, writersQuery(fmt.Sprint("q", i), uint64(1000*i), 4), tb); dec.Centre != "" {
				n++
			}
		}
		return n
	}
	before := countForwarded(now)
	tb.RecordRefusal(now, "east", "writers")
	if got := countForwarded(now.Add(100 * time.Millisecond)); got > 0 || before == 0 {
		t.Errorf("%d of 200 were passed on before, %d just after one was refused", before, got)
	}
	if got := countForwarded(now.Add(500 * time.Millisecond)); got == 0 {
		t.Error("nothing is passed on half a second later")
	}
}

// Guards against forwarding a request a second time to a region that has refused it, which happens
// if the choice by prefix ignores TriedCentres.
func TestRefusingRegionIsNotRetried(t *testing.T) {
	tb, now := writersTable(event.PrefillDemand{Service: "writers", UnsharedPrefill: 1e6}, event.PrefillDemand{})
	rt := New()
	forwarded := 0
	for i := range 200 {
		q := writersQuery(fmt.Sprint("q", i), uint64(1000*i), 4)
		dec := rt.Choose(now, q, tb)
		if dec.Centre == "" {
			continue
		}
		forwarded++
		q.TriedCentres = value.SetOf(dec.Centre)
		if again := rt.Choose(now, q, tb); again.Centre != "" {
			t.Fatalf("passed on to %q after %q had refused it", again.Centre, dec.Centre)
		}
	}
	if forwarded == 0 {
		t.Error("nothing was passed on")
	}
}
