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

// newNearbyTable returns the table of a host in the west that knows another host in its data
// centre, one in another data centre of its region, and one in the east.
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

func TestNearbyPrefersClosestHosts(t *testing.T) {
	at := ident.Time(time.Second)
	for name, c := range map[string]struct {
		near  event.Place
		homes []ident.Region
		want  []ident.EntryID
	}{
		"own data centre": {newPlace("west-a", "west"), nil, []ident.EntryID{"w1", "w2"}},
		"own region":      {newPlace("west-c", "west"), nil, []ident.EntryID{"w1", "w2", "w3"}},
		"another region":  {newPlace("east-b", "east"), nil, []ident.EntryID{"e1"}},
		"unknown region":  {newPlace("north-a", "north"), nil, []ident.EntryID{"w1", "w2", "w3"}},
	} {
		if diff := cmp.Diff(c.want, entryIDs(newNearbyTable(at).Nearby(at, c.near, c.homes))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against directing a caller to a region that is none of its homes.
func TestNearbyStaysWithinHomes(t *testing.T) {
	at := ident.Time(time.Second)
	got := newNearbyTable(at).Nearby(at, newPlace("north-a", "north"), []ident.Region{"east"})
	if diff := cmp.Diff([]ident.EntryID{"e1"}, entryIDs(got)); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
}

// Guards against directing callers to silent hosts.
func TestNearbyExcludesSilentHosts(t *testing.T) {
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

// Guards against ignoring a new host that no summary names yet.
func TestNearbyIncludesListedHosts(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	tb.HostsRead(at, event.HostsRead{Version: 1, Complete: true, Hosts: []event.Host{newHost("e2", "east-a", "east")}})
	want := []ident.EntryID{"e1", "e2"}
	if diff := cmp.Diff(want, entryIDs(tb.Nearby(at, newPlace("east-a", "east"), nil))); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
	tb.ListFailed(at)
	if diff := cmp.Diff(want[:1], entryIDs(tb.Nearby(at, newPlace("east-a", "east"), nil))); diff != "" {
		t.Errorf("hosts while the platform is unreachable (-want +got):\n%s", diff)
	}
}

// Guards against directing callers of a draining region to regions outside their homes.
func TestNearbyPrefersDrainingToForeign(t *testing.T) {
	at := ident.Time(time.Second)
	tb := newNearbyTable(at)
	draining := newHost("e1", "east-a", "east")
	draining.Draining = true
	tb.SummaryReceived(at, event.Summary{
		From: "e1", Place: newPlace("east-a", "east"), Incarnation: 1, Seq: 2, Hosts: []event.Host{draining}, HostsHash: 8,
	})
	homes := []ident.Region{"east", "north"}
	if diff := cmp.Diff([]ident.EntryID{"e1"}, entryIDs(tb.Nearby(at, newPlace("east-a", "east"), homes))); diff != "" {
		t.Errorf("hosts (-want +got):\n%s", diff)
	}
	if got := tb.Nearby(at, newPlace("north-a", "north"), []ident.Region{"north"}); got != nil {
		t.Errorf("callers of the north are directed to %v, outside their homes", entryIDs(got))
	}
}
