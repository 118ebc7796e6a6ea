package member

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// withRemoteHosts returns the table of a host and a remote data centre of n hosts that it knows.
func withRemoteHosts(now ident.Time, id string, n int) (*Table, *Centre) {
	tb := New(newHost(id, "west-a", "west"))
	tb.Advance(now)
	s := event.Summary{From: "e000", Place: newHost("e000", "east-a", "east").Place, Incarnation: 1, Seq: 1}
	for i := range n {
		s.Hosts = append(s.Hosts, newHost(fmt.Sprintf("e%03d", i), "east-a", "east"))
	}
	s.HostsHash = hashHosts(s.Hosts)
	tb.SummaryReceived(now, s)
	return tb, tb.centres[0]
}

// Guards against links of each host to each host of other data centres, whose number grows with the
// square of the fleet, and against partners that make some hosts relay far more than others.
func TestPartnersAreBoundedAndSpread(t *testing.T) {
	const hosts, requests = 100, 200
	now := ident.Time(time.Second)
	got := make(map[ident.EntryID]int)
	for i := range hosts {
		tb, c := withRemoteHosts(now, fmt.Sprint("w", i), hosts)
		used := value.SetOf[ident.EntryID]()
		for r := range requests {
			h, ok := tb.ForwardHost(now, c, rank.Hash(fmt.Sprint("request", r)))
			if !ok {
				t.Fatal("no host to forward to")
			}
			used.Add(h.ID)
			got[h.ID]++
		}
		if len(used) != partnerCount {
			t.Fatalf("host w%d forwards to %d hosts, want %d", i, len(used), partnerCount)
		}
	}
	for id, n := range got {
		if n > 4*requests {
			t.Errorf("host %s gets %d of %d requests", id, n, hosts*requests)
		}
	}
	if len(got) < hosts*9/10 {
		t.Errorf("%d of %d hosts get requests", len(got), hosts)
	}
}

// Guards against requests that are forwarded again and again to hosts that have just stopped, while
// their data centre still names them.
func TestUnreachablePartnerIsReplaced(t *testing.T) {
	now := ident.Time(time.Second)
	tb, c := withRemoteHosts(now, "w", 20)
	key := rank.Hash("request")
	first, _ := tb.ForwardHost(now, c, key)
	tb.HostUnreachable(now, c.Place.Group(), first)
	for r := range 100 {
		if h, _ := tb.ForwardHost(now, c, rank.Hash(fmt.Sprint("request", r))); h.ID == first.ID {
			t.Fatalf("unreachable host %s is used", h.ID)
		}
	}
	tb.PeerUp(now, first)
	if h, _ := tb.ForwardHost(now, c, key); h.ID != first.ID {
		t.Errorf("host %s is used after the link to %s is up again", h.ID, first.ID)
	}
	tb.PeerDown(now, first.ID)
	if h, _ := tb.ForwardHost(now, c, key); h.ID == first.ID {
		t.Errorf("host %s is used after its link has failed", h.ID)
	}
	if h, _ := tb.ForwardHost(now.Add(unreachableTTL), c, key); h.ID != first.ID {
		t.Errorf("host %s is left out for longer than %v", first.ID, unreachableTTL)
	}
	for _, h := range c.Summary.Hosts {
		tb.HostUnreachable(now, c.Place.Group(), h)
	}
	if _, ok := tb.ForwardHost(now, c, key); !ok {
		t.Error("no host is tried after each has failed once")
	}
}

// Guards against requests to the earlier incarnation of a host that has restarted and is connected
// again, until the next summary of its data centre.
func TestRestartedPartnerIsUsed(t *testing.T) {
	now := ident.Time(time.Second)
	tb, c := withRemoteHosts(now, "w", 5)
	key := rank.Hash("request")
	h, _ := tb.ForwardHost(now, c, key)
	tb.HostUnreachable(now, c.Place.Group(), h)
	h.Incarnation++
	tb.PeerUp(now, h)
	if got, _ := tb.ForwardHost(now, c, key); got.ID != h.ID || got.Incarnation != h.Incarnation {
		t.Errorf("a request is forwarded to %s, incarnation %d, want %s, incarnation %d", got.ID, got.Incarnation, h.ID, h.Incarnation)
	}
	old := h
	old.Incarnation--
	tb.PeerUp(now, old)
	if got, _ := tb.ForwardHost(now, c, key); got.Incarnation != h.Incarnation {
		t.Errorf("incarnation %d replaces %d", got.Incarnation, h.Incarnation)
	}
}
