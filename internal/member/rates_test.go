package member

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against a host that has just started and takes every target for one that prefills any prompt
// in no time, until it has measured the rates of each service itself.
func TestNewHostAdoptsRates(t *testing.T) {
	now := ident.Time(time.Second)
	old, fresh := New(newHost("old", "west-a", "west")), New(newHost("new", "west-a", "west"))
	target := event.Target{ID: "t", Incarnation: 1, Kind: event.Service, Service: "writers", Capacity: 8, Place: old.self.Place}
	list := event.HostsRead{Version: 1, Complete: true, Targets: []event.Target{target}}
	old.HostsRead(now, list)
	fresh.HostsRead(now, list)
	old.FirstTokenReceived("t", 10000, 0, 250*time.Millisecond)
	old.StreamEventReceived("t", 40*time.Millisecond)
	old.AnswerCompleted("t", 3*time.Second)
	old.PeerUp(now, fresh.self)
	fresh.PeerUp(now, old.self)
	exchange(now, old, []*Table{fresh})
	if diff := cmp.Diff(old.serviceStats.Rates(now), fresh.serviceStats.Rates(now)); diff != "" {
		t.Errorf("rates of the service (-host that measured +host that started):\n%s", diff)
	}
	fresh.FirstTokenReceived("t", 10000, 0, 500*time.Millisecond)
	measured := fresh.serviceStats.PrefillRate("writers")
	now = now.Add(HeartbeatInterval)
	old.PeerUp(now, fresh.self)
	d := event.Digest{Host: old.self, Seq: 1 << 20, Rates: []event.ServiceRates{{Service: "writers", PrefillRate: 9}}}
	fresh.DigestReceived(now, d)
	if got := fresh.serviceStats.PrefillRate("writers"); got != measured {
		t.Errorf("a rate of %.0f replaces the measured %.0f", got, measured)
	}
}
