package route

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// The one target of a service in a region resets three calls in a row and
// serves the rest. Taken for dead, it would get nothing until a probe, and every
// caller of the region would be refused for that second.
func TestLastTargetIsUsedThoughSuspect(t *testing.T) {
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
		tb.Sent("a", 0, 0)
		tb.Ended("a", 0, 0, false)
	}
	q := Query{
		Request: event.Request{ID: "r"},
		Profile: rules.Profile{Service: "board", MaxCrossings: 1, Route: &rules.Route{Kind: rules.Idempotent}},
	}
	rt := New()
	if dec := rt.Choose(now, q, tb); dec.Target == nil || dec.Target.ID != "a" {
		t.Errorf("the last target is not used: %+v", dec)
	}
	list(2, "a", "b")
	for i := range 20 {
		q.Request.ID = ident.RequestID(rune('a' + i))
		if dec := rt.Choose(now, q, tb); dec.Target == nil || dec.Target.ID != "b" {
			t.Fatalf("a suspect target is used beside a sound one: %+v", dec)
		}
	}
}
