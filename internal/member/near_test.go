package member

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

func newPlace(dc, region string) event.Place {
	return event.Place{DataCentre: ident.DataCentre(dc), Region: ident.Region(region), Reach: ident.DataCentre(region)}
}

func newHost(id, dc, region string) event.Host {
	return event.Host{ID: ident.EntryID(id), Incarnation: 1, Place: newPlace(dc, region)}
}

// newNearbyTable is a host in the west that knows of another one in its data centre,
// of one in another data centre of its region, and of one in the east.
func newNearbyTable(at ident.Time) *Table {
	tb := New(newHost("w1", "west-a", "west"))
	tb.Advance(at)
	tb.PeerUp(at, newHost("w2", "west-a", "west"))
	tb.PeerUp(at, newHost("w3", "west-b", "west"))
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: 1,
		Hosts: []event.Host{newHost("e1", "east-a", "east")}, HostsHash: 7,
	})
	return tb
}

func entryIDs(hs []event.Host) []ident.EntryID {
	var out []ident.EntryID
	for _, h := range hs {
		out = append(out, h.ID)
	}
	return out
}

func TestNearbyGoesFromNearToFar(t *testing.T) {
	at := ident.Time(time.Second)
	for name, c := range map[string]struct {
		near  event.Place
		homes []ident.Region
		want  []ident.EntryID
	}{
		"own data centre":     {newPlace("west-a", "west"), nil, []ident.EntryID{"w1", "w2"}},
		"own region":          {newPlace("west-c", "west"), nil, []ident.EntryID{"w1", "w2", "w3"}},
		"another region":      {newPlace("east-b", "east"), nil, []ident.EntryID{"e1"}},
		"region that is away": {newPlace("north-a", "north"), nil, []ident.EntryID{"w1", "w2", "w3"}},
	} {
		if diff := cmp.Diff(c.want, entryIDs(newNearbyTable(at).Nearby(at, c.near, c.homes))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// A caller is sent to a region that is none of its homes.
func TestNearbyKeepsToHomes(t *testing.T) {
	at := ident.Time(time.Second)
	got := newNearbyTable(at).Nearby(at, newPlace("north-a", "north"), []ident.Region{"east"})
	if diff := cmp.Diff([]ident.EntryID{"e1"}, entryIDs(got)); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
}

// Callers are sent to hosts that are silent.
func TestNearbyLeavesOutTheSilent(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	for range 8 {
		at = at.Add(time.Second)
		tb.PeerUp(at, newHost("w2", "west-a", "west"))
	}
	if diff := cmp.Diff([]ident.EntryID{"w1", "w2"}, entryIDs(tb.Nearby(at, newPlace("east-a", "east"), nil))); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
}

// A new host that no summary names yet is not used.
func TestNearbyKnowsTheListed(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, event.HostsRead{Version: 1, Complete: true, Hosts: []event.Host{newHost("e2", "east-a", "east")}})
	want := []ident.EntryID{"e1", "e2"}
	if diff := cmp.Diff(want, entryIDs(tb.Nearby(at, newPlace("east-a", "east"), nil))); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
	tb.ListFailed(at)
	if diff := cmp.Diff(want[:1], entryIDs(tb.Nearby(at, newPlace("east-a", "east"), nil))); diff != "" {
		t.Errorf("hosts with the platform away (-want +got):\n%s", diff)
	}
}

// Callers of a draining region are sent to foreign regions.
func TestNearbyPrefersDrainingToForeign(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	leaving := newHost("e1", "east-a", "east")
	leaving.Draining = true
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: 2, Hosts: []event.Host{leaving}, HostsHash: 8,
	})
	homes := []ident.Region{"east", "north"}
	if diff := cmp.Diff([]ident.EntryID{"e1"}, entryIDs(tb.Nearby(at, newPlace("east-a", "east"), homes))); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
	if got := tb.Nearby(at, newPlace("north-a", "north"), []ident.Region{"north"}); got != nil {
		t.Errorf("callers of the north are led to %v, outside their homes", entryIDs(got))
	}
}
