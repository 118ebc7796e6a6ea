package member

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// sentSummary records a summary that a table sent.
type sentSummary struct {
	After   time.Duration
	To      ident.EntryID
	InForce ident.Revision
	Highest ident.Revision
}

// summariesOf ticks a table for some seconds and returns its summaries to the other data
// centre.
func summariesOf(tb *Table, from ident.Time, seconds int, own LocalState) []sentSummary {
	var out []sentSummary
	for n := range seconds {
		now := from.Add(time.Duration(n) * HeartbeatInterval)
		for _, eff := range tb.Tick(now, own) {
			if e, ok := eff.(event.SendSummary); ok {
				out = append(out, sentSummary{time.Duration(n) * HeartbeatInterval, e.To.ID, e.Summary.InForce, e.Summary.Highest})
			}
		}
	}
	return out
}

// newRepresentative returns a table that represents its data centre and knows another data
// centre with two hosts at revision 1. The returned function delivers a digest of a draining
// peer with the given revision.
func newRepresentative(now ident.Time) (*Table, func(at ident.Time, rev ident.Revision)) {
	here := event.Place{DataCentre: "uvs", Region: "uvs"}
	there := event.Place{DataCentre: "khovd", Region: "khovd"}
	tb := New(event.Host{ID: "uvs-1", Incarnation: 1, Place: here})
	tb.SummaryReceived(now, event.Summary{
		From: "khovd-1", Place: there, Incarnation: 1, Seq: 1, InForce: 1, Highest: 1,
		Hosts: []event.Host{{ID: "khovd-1", Incarnation: 1, Place: there}, {ID: "khovd-2", Incarnation: 1, Place: there}},
	})
	var seq uint64
	return tb, func(at ident.Time, rev ident.Revision) {
		seq++
		tb.DigestReceived(at, event.Digest{Host: event.Host{ID: "uvs-0", Incarnation: 1, Place: here, Draining: true}, Seq: seq, Revision: rev})
	}
}

// Guards against a frozen recipient that delays a new revision in a data centre that is cut off
// from the platform. The revision is sent again to another host.
func TestUnconfirmedRevisionIsSentToNextHost(t *testing.T) {
	start := ident.Time(time.Hour)
	tb, _ := newRepresentative(start)
	got := summariesOf(tb, start, 4, LocalState{Revision: 2})
	if len(got) < 2 {
		t.Fatalf("got summaries %v, want at least two", got)
	}
	if diff := cmp.Diff([]time.Duration{0, fastSummaryInterval}, []time.Duration{got[0].After, got[1].After}); diff != "" {
		t.Errorf("times of the summaries (-want +got):\n%s", diff)
	}
	if got[0].To == got[1].To {
		t.Errorf("repeated summary was sent to %s again, want another host", got[0].To)
	}
}

// Guards against reporting seconds late that a change is in force everywhere, because the lowest
// revision is sent only with the next regular summary.
func TestLowestRevisionIsSentAtOnce(t *testing.T) {
	start := ident.Time(time.Hour)
	tb, peer := newRepresentative(start)
	peer(start, 1)
	first := summariesOf(tb, start, 1, LocalState{Revision: 2})
	peer(start.Add(HeartbeatInterval/2), 2)
	second := summariesOf(tb, start.Add(HeartbeatInterval), 1, LocalState{Revision: 2})
	got := [][2]ident.Revision{}
	for _, x := range append(first, second...) {
		got = append(got, [2]ident.Revision{x.InForce, x.Highest})
	}
	if diff := cmp.Diff([][2]ident.Revision{{1, 2}, {2, 2}}, got); diff != "" {
		t.Errorf("revisions sent (-want +got):\n%s", diff)
	}
}

// Guards against forwarding work to a region that has lost its targets, because their loss does not
// count as a change of the pools.
func TestPoolHashIncludesTargets(t *testing.T) {
	two := []event.Pool{{Service: "writers", Targets: 2, Slots: 256, Free: 200}}
	none := []event.Pool{{Service: "writers", Targets: 0, Slots: 256, Free: 200}}
	if hashPools(two) == hashPools(none) {
		t.Error("hash of a pool with two targets equals that of a pool with none")
	}
}
