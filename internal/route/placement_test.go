package route

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Guards against refusing all requests of a service after three failures of its only target,
// although most requests may still succeed there.
func TestOnlyTargetIsUsedWhenSuspect(t *testing.T) {
	place := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	tb := member.New(event.Host{ID: "w1", Incarnation: 1, Place: place})
	now := ident.Time(time.Second)
	list := func(n uint64, ids ...ident.TargetID) {
		ev := event.HostsRead{Version: n, Complete: true}
		for _, id := range ids {
			ev.Targets = append(ev.Targets, event.Target{ID: id, Incarnation: 1, Kind: event.Service, Service: "board", Place: place, Capacity: 6})
		}
		tb.HostsRead(now, ev)
	}
	list(1, "a")
	for range 3 {
		tb.RequestSent("a", 0, 0)
		tb.RequestEnded("a", 0, 0, false)
	}
	q := Query{
		Request: event.Request{ID: "r"},
		Profile: rules.Profile{Service: "board", MaxCrossings: 1, Route: &rules.Route{Kind: rules.Idempotent}},
	}
	rt := New()
	if dec := rt.Choose(now, q, tb); dec.Target == nil || dec.Target.ID != "a" {
		t.Errorf("the only target is not used: %+v", dec)
	}
	list(2, "a", "b")
	for i := range 20 {
		q.Request.ID = ident.RequestID(rune('a' + i))
		if dec := rt.Choose(now, q, tb); dec.Target == nil || dec.Target.ID != "b" {
			t.Fatalf("a suspect target is used although a healthy one exists: %+v", dec)
		}
	}
}

// Guards against hosts that each choose a different engine for a shared prefix, so that many
// engines prefill it.
func TestHostsAgreeOnEnginesForSharedPrefix(t *testing.T) {
	place := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	now := ident.Time(time.Second)
	chosen := make(map[ident.TargetID]int)
	for h := range 20 {
		tb := member.New(event.Host{ID: ident.EntryID(rune('a' + h)), Incarnation: 1, Place: place})
		ev := event.HostsRead{Version: 1, Complete: true}
		for i := range 30 {
			ev.Targets = append(ev.Targets, event.Target{
				ID: ident.TargetID(rune('A' + i)), Incarnation: 1, Kind: event.Service, Service: "writers", Place: place, Capacity: 64,
			})
		}
		tb.HostsRead(now, ev)
		for _, tg := range ev.Targets {
			tb.FirstTokenReceived(tg.ID, 10000, 0, 200*time.Millisecond)
		}
		rt := New()
		for r := range 5 {
			own := uint64(1000 + 100*h + r)
			dec := rt.Choose(now, Query{
				Request: event.Request{ID: ident.RequestID(rune('a' + 5*h + r)), Prompt: 10000, SharedBlocks: 10, Prefix: []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, own, own + 50}},
				Profile: rules.Profile{Service: "writers", MaxCrossings: 1, Route: &rules.Route{Kind: rules.Streaming}},
			}, tb)
			chosen[dec.Target.ID]++
		}
	}
	if len(chosen) > 2 {
		t.Errorf("prompts with one prefix went to %d engines: %v", len(chosen), chosen)
	}
}
