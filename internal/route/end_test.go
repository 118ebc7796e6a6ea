package route

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/length"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// lengthOf returns the estimate of a stream of about the given number of events.
func lengthOf(events float64) length.Estimate {
	b := length.New()
	for i := range 60 {
		b.Complete("draft", 0, events*(0.8+float64(i%5)/10))
	}
	est, _ := b.Estimate("draft", 0)
	return est
}

// Guards against long answers that are broken off at their deadline at an engine with slow streams,
// while others run faster, and against short ones that leave a slow engine idle.
func TestLongAnswersGoWhereTheyEnd(t *testing.T) {
	const engines, fast = 8, 3
	place := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	now := ident.Time(time.Second)
	tb := member.New(event.Host{ID: "w1", Incarnation: 1, Place: place})
	ev := event.HostsRead{Version: 1, Complete: true}
	for i := range engines {
		ev.Targets = append(ev.Targets, event.Target{
			ID: ident.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Kind: event.Service, Service: "writers", Place: place, Capacity: 64,
		})
	}
	tb.HostsRead(now, ev)
	for i, tg := range ev.Targets {
		gap := 140 * time.Millisecond
		if i < fast {
			gap = 50 * time.Millisecond
		}
		for range 30 {
			tb.StreamEventReceived(tg.ID, gap)
		}
	}
	tb.Tick(now, member.LocalState{})
	toFast := func(events float64) int {
		rt := New()
		n := 0
		for i := range 400 {
			dec := rt.Choose(now, Query{
				Request: event.Request{ID: ident.RequestID(fmt.Sprint("r", i)), Prompt: 600},
				Profile: rules.Profile{Service: "writers", Route: &rules.Route{Kind: rules.Streaming}},
				Length:  lengthOf(events), ExpectedEvents: events, Deadline: now.Add(10 * time.Second),
			}, tb)
			if dec.Target == nil {
				t.Fatalf("no target for %v events: %+v", events, dec)
			}
			if dec.Target.ID < ident.TargetID(fmt.Sprint("t", fast)) {
				n++
			}
		}
		return n
	}
	if n := toFast(100); n < 360 {
		t.Errorf("%d of 400 long answers go to engines at which they end in time", n)
	}
	if n := toFast(10); n > 400*fast/engines+80 {
		t.Errorf("%d of 400 short answers go to the %d fast engines of %d", n, fast, engines)
	}
}
