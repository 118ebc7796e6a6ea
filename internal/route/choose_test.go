package route

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// TestMain fixes the seed of the property tests, so that every run checks the same
// cases. Set -rapid.seed and -rapid.checks for other or longer runs.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1000"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const start = ident.Time(time.Second)

var (
	home   = event.Place{DataCentre: "dc0", Region: "r0"}
	scribe = rules.Serve{Model: "scribe", Version: "1"}
	clerk  = rules.Serve{Model: "clerk", Version: "1"}
	self   = event.Host{ID: "dc0-e0", Incarnation: 1, Place: home}
)

// genTable generates a table with targets and other data centres in every state that
// the filters distinguish.
func genTable(rt *rapid.T) *member.Table {
	tb := member.New(self)
	tb.Advance(start)
	n := rapid.IntRange(0, 12).Draw(rt, "targets")
	var list event.HostsRead
	for i := range n {
		kind := rapid.SampledFrom([]event.TargetKind{event.Engine, event.Engine, event.Engine, event.Service}).Draw(rt, "kind")
		list.Targets = append(list.Targets, event.Target{
			ID: ident.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Kind: kind, Place: home, Price: 1,
			Service:  rapid.SampledFrom([]string{"booking", "mail"}).Draw(rt, "service"),
			Draining: rapid.IntRange(0, 7).Draw(rt, "leaving") == 0,
		})
	}
	tb.HostsRead(start, list)
	for _, t := range list.Targets {
		genLoad(rt, tb, t.ID)
	}
	for i := range rapid.IntRange(0, 4).Draw(rt, "centres") {
		genCentre(rt, tb, i)
	}
	return tb
}

func genLoad(rt *rapid.T, tb *member.Table, id ident.TargetID) {
	if rapid.IntRange(0, 7).Draw(rt, "silent") > 0 {
		serves := rapid.SampledFrom([][]rules.Serve{{scribe}, {clerk}, {clerk, scribe}, nil}).Draw(rt, "serves")
		tb.LoadReported(start, event.Load{
			Target: id, Incarnation: 1, Seq: 1, Slots: rapid.IntRange(1, 10).Draw(rt, "slots"),
			Running: rapid.IntRange(0, 12).Draw(rt, "running"), PrefillRate: 1000, DecodeRate: 50, Serves: serves,
		})
	}
	for range rapid.IntRange(0, 4).Draw(rt, "sent") {
		tb.RequestSent(id, 100, 100)
	}
	if rapid.IntRange(0, 5).Draw(rt, "fails") == 0 {
		for range 3 {
			tb.LoadFailed(start, id, 1)
		}
	}
}

func genCentre(rt *rapid.T, tb *member.Table, i int) {
	place := event.Place{
		DataCentre: ident.DataCentre(fmt.Sprint("far", i)),
		Region:     rapid.SampledFrom([]ident.Region{"r0", "r1", "r2"}).Draw(rt, "region"),
	}
	host := event.Host{
		ID: ident.EntryID(place.DataCentre + "-e0"), Incarnation: 1, Place: place,
		Draining: rapid.IntRange(0, 5).Draw(rt, "hostLeaves") == 0,
	}
	tb.SummaryReceived(start, event.Summary{
		From: host.ID, Place: place, Incarnation: 1, Seq: 1, Hosts: []event.Host{host},
		Age: rapid.SampledFrom([]time.Duration{0, time.Second, 6 * time.Second, time.Minute}).Draw(rt, "age"),
		Pools: []event.Pool{{
			Serve: rapid.SampledFrom([]rules.Serve{scribe, clerk}).Draw(rt, "pool"), Slots: 20, Free: 15,
			Offer: rapid.IntRange(0, 3).Draw(rt, "offer"), PrefillRate: 1000, DecodeRate: 50, Price: 1,
		}},
	})
}

func genQuery(rt *rapid.T) Query {
	q := Query{
		Request: event.Request{
			ID: ident.RequestID(rapid.StringMatching("[a-z]{4}").Draw(rt, "id")), Prompt: 500, MaxTokens: 100,
		},
		Profile: rules.Profile{
			HomeOnly: rapid.Bool().Draw(rt, "homeOnly"), MaxCrossings: ident.Hops(rapid.IntRange(0, 2).Draw(rt, "max")),
			Regions: rapid.SampledFrom([][]ident.Region{nil, nil, {"r0"}, {"r0", "r1"}, {"r1"}}).Draw(rt, "regions"),
			Weights: rules.Weights{Tail: 1, Cost: 0.1, Crossing: 0.3},
		},
		Client:       rules.Client{Home: rapid.SampledFrom([]ident.Region{"r0", "r0", "r1"}).Draw(rt, "home")},
		Crossings:    ident.Hops(rapid.IntRange(0, 2).Draw(rt, "crossings")),
		Forwarded:    rapid.Bool().Draw(rt, "forwarded"),
		TriedTargets: value.SetOf(rapid.SliceOfN(rapid.SampledFrom([]ident.TargetID{"t0", "t1", "t2"}), 0, 2).Draw(rt, "tried")...),
		TriedCentres: value.SetOf(rapid.SliceOfN(rapid.SampledFrom([]ident.DataCentre{"far0", "far1"}), 0, 1).Draw(rt, "triedCentres")...),
	}
	if rapid.IntRange(0, 3).Draw(rt, "service") == 0 {
		q.Profile.Service = "booking"
		return q
	}
	q.Profile.Models = rapid.SampledFrom([][]rules.Serve{{{Model: "scribe"}}, {{Model: "scribe", Version: "2"}, clerk}, {scribe}}).Draw(rt, "models")
	return q
}

// naiveTarget reports by a direct reading of the rules whether a target may serve a
// request, and whether it lacks only capacity.
func naiveTarget(q Query, t *member.Target) (may, lacksCapacity bool) {
	may = t.Kind == event.Service && t.Service == q.Profile.Service
	if q.Profile.Service == "" && t.Kind == event.Engine {
		for _, m := range q.Profile.Models {
			for _, s := range t.Load.Serves {
				may = may || m.Model == s.Model && m.Adapter == s.Adapter && (m.Version == "" || m.Version == s.Version)
			}
		}
	}
	may = may && naiveRegion(q, t.Place.Region) && !t.KnownDraining && t.ConsecutiveFailures < 3 && !q.TriedTargets.Has(t.ID)
	slots := 4
	if t.HasLoad {
		slots = t.Load.Slots
	}
	limit := slots + max(1, slots/4)
	if q.Crossings > 0 {
		limit = slots - slots/5
	}
	// Load reports and sends have the same time, so Outstanding may count a send twice.
	return may && t.Outstanding(start) < limit, may && t.Outstanding(start) >= limit
}

func naiveRegion(q Query, r ident.Region) bool {
	if q.Profile.HomeOnly && q.Client.Home != r {
		return false
	}
	return q.Profile.Regions == nil || slices.Contains(q.Profile.Regions, r)
}

// naiveCentre reports by a direct reading of the rules whether a request may be forwarded.
func naiveCentre(q Query, c *member.Centre) bool {
	s := c.Summary
	if !naiveRegion(q, s.Place.Region) || s.Hosts[0].Draining || s.Age > 5*time.Second || q.TriedCentres.Has(s.Place.DataCentre) {
		return false
	}
	if s.Place.Region == home.Region && q.Forwarded || s.Place.Region != home.Region && q.Crossings >= q.Profile.MaxCrossings {
		return false
	}
	for _, m := range q.Profile.Models {
		p := s.Pools[0]
		if p.Offer > 0 && m.Model == p.Serve.Model && (m.Version == "" || m.Version == p.Serve.Version) {
			return true
		}
	}
	return false
}

// Guards against a request that is sent where the rules forbid it, or refused although
// they allow a choice. A filter that is missing or too strict causes this.
func TestChooseAgreesWithTheNaiveRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb, q := genTable(rt), genQuery(rt)
		var allowed, full []ident.TargetID
		var centres []ident.DataCentre
		for _, x := range tb.Targets() {
			may, lacks := naiveTarget(q, x)
			if may {
				allowed = append(allowed, x.ID)
			}
			if lacks {
				full = append(full, x.ID)
			}
		}
		for _, c := range tb.Centres(start) {
			if naiveCentre(q, c) {
				centres = append(centres, c.Place.DataCentre)
			}
		}
		r := New()
		choices, chosen := r.Explain(start, q, tb)
		dec := r.Choose(start, q, tb)
		var shown []ident.TargetID
		var shownCentres []ident.DataCentre
		for _, ch := range choices {
			if ch.RuledOut == "" && ch.Target != "" {
				shown = append(shown, ch.Target)
			}
			if ch.RuledOut == "" && ch.Target == "" {
				shownCentres = append(shownCentres, ch.DataCentre)
			}
		}
		if d := cmp.Diff(allowed, shown); d != "" {
			rt.Fatalf("targets: %s", d)
		}
		if d := cmp.Diff(centres, shownCentres); d != "" {
			rt.Fatalf("data centres: %s", d)
		}
		checkDecision(rt, dec, allowed, full, centres)
		switch {
		case dec.Target != nil && choices[chosen].Target != dec.Target.ID, dec.Centre != "" && choices[chosen].DataCentre != dec.Centre:
			rt.Fatalf("explained %v, chose %+v", choices[chosen], dec)
		}
	})
}

func checkDecision(rt *rapid.T, dec Decision, allowed, full []ident.TargetID, centres []ident.DataCentre) {
	switch {
	case dec.Centre != "":
		if !slices.Contains(centres, dec.Centre) || dec.Host.Draining || dec.Host.Place.DataCentre != dec.Centre {
			rt.Fatalf("passed on to %s, allowed are %v", dec.Centre, centres)
		}
	case dec.Target != nil:
		if !slices.Contains(allowed, dec.Target.ID) {
			rt.Fatalf("sent to %s, allowed are %v", dec.Target.ID, allowed)
		}
	case dec.Full:
		if len(allowed) > 0 || len(full) == 0 || dec.Code != codes.Overloaded.ID {
			rt.Fatalf("reported full with %v allowed and %v full", allowed, full)
		}
	default:
		if len(allowed)+len(full)+len(centres) > 0 || dec.Code != codes.NoTarget.ID {
			rt.Fatalf("refused with %v, %v, %v allowed", allowed, full, centres)
		}
	}
}

// Guards against choosing a target that costs clearly more than the cheapest one, for
// example if the hash decides between targets whose costs differ too much.
func TestChooseIsNearCheapest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb, q := genTable(rt), genQuery(rt)
		if len(tb.Targets()) > sampleSize {
			return
		}
		r := New()
		choices, chosen := r.Explain(start, q, tb)
		if chosen < 0 || choices[chosen].Target == "" {
			return
		}
		least := choices[chosen].Cost
		for _, ch := range choices {
			if ch.RuledOut == "" && ch.Target != "" {
				least = min(least, ch.Cost)
			}
		}
		if got := choices[chosen].Cost; got > least*1.05+0.005+1e-9 {
			rt.Fatalf("chose a cost of %v, the least is %v", got, least)
		}
	})
}
