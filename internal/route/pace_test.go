package route

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// pacedTable returns the table of a host whose local engines have free slots. Their
// streams have an event every here, and those of another region, which offers capacity,
// every there.
func pacedTable(here, there time.Duration) (*member.Table, ident.Time) {
	now := ident.Time(time.Second)
	west := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	east := event.Place{DataCentre: "east-a", Region: "east", Reach: "east"}
	tb := member.New(event.Host{ID: "w1", Incarnation: 1, Place: west})
	ev := event.HostsRead{Version: 1, Complete: true}
	for i := range 10 {
		ev.Targets = append(ev.Targets, event.Target{
			ID: ident.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Kind: event.Service, Service: "writers", Place: west, Capacity: 64,
		})
	}
	tb.HostsRead(now, ev)
	h := event.Host{ID: "e1", Incarnation: 1, Place: east}
	for seq := range uint64(20) {
		now = now.Add(time.Second)
		for range 100 {
			tb.StreamEventReceived("t0", here)
		}
		tb.SummaryReceived(now, event.Summary{
			From: h.ID, Place: east, Incarnation: 1, Seq: seq + 1, Hosts: []event.Host{h},
			Pools: []event.Pool{{Service: "writers", Slots: 640, Free: 600, Offer: 10000, PrefillRate: 50000, DecodeRate: 1 / there.Seconds()}},
		})
		tb.Tick(now, member.LocalState{})
	}
	return tb, now
}

// Guards against streams that stay slow in a busy region while another is idle, and
// against a move of all work at once, after which the other region is the slow one.
func TestSlowStreamsForwardPartOfTheWork(t *testing.T) {
	const numRequests = 400
	for name, c := range map[string]struct {
		here, there                time.Duration
		minForwarded, maxForwarded int
	}{
		"slow here":       {120 * time.Millisecond, 30 * time.Millisecond, numRequests / 2, numRequests * 9 / 10},
		"slower here":     {120 * time.Millisecond, 45 * time.Millisecond, numRequests / 4, numRequests * 3 / 4},
		"a little slower": {120 * time.Millisecond, 90 * time.Millisecond, 0, 0},
		"alike":           {120 * time.Millisecond, 120 * time.Millisecond, 0, 0},
		"slow there":      {30 * time.Millisecond, 120 * time.Millisecond, 0, 0},
	} {
		tb, now := pacedTable(c.here, c.there)
		rt := New()
		forwarded := 0
		for i := range numRequests {
			dec := rt.Choose(now, Query{
				Request: event.Request{ID: ident.RequestID(fmt.Sprint("r", i)), Prompt: 1000}, ExpectedEvents: 40,
				Profile: rules.Profile{
					Service: "writers", MaxCrossings: 1, Weights: rules.Weights{Tail: 1, Crossing: 0.05},
					Route: &rules.Route{Kind: rules.Streaming, GoalMs: 1000},
				},
			}, tb)
			if dec.Centre != "" {
				forwarded++
			}
		}
		if forwarded < c.minForwarded || forwarded > c.maxForwarded {
			t.Errorf("%s: %d of %d requests go to the other region, want %d to %d", name, forwarded, numRequests, c.minForwarded, c.maxForwarded)
		}
	}
}

// Guards against refusing the callers of an evacuated region although another region,
// which counts its slow targets as full, could still finish their streams in time.
func TestEvacuatedRegionUsesSlowTargets(t *testing.T) {
	for name, c := range map[string]struct {
		there     time.Duration
		forwarded bool
	}{
		"slow":     {100 * time.Millisecond, true},
		"too slow": {400 * time.Millisecond, false},
	} {
		tb, now := pacedTable(30*time.Millisecond, c.there)
		var evacuated []event.Target
		for _, x := range tb.Targets() {
			d := x.Target
			d.Evacuated = true
			evacuated = append(evacuated, d)
		}
		tb.HostsRead(now, event.HostsRead{Version: 2, Complete: true, Targets: evacuated})
		place := event.Place{DataCentre: "east-a", Region: "east", Reach: "east"}
		tb.SummaryReceived(now, event.Summary{
			From: "e1", Place: place, Incarnation: 1, Seq: 100, Hosts: []event.Host{{ID: "e1", Incarnation: 1, Place: place}},
			Pools: []event.Pool{{Service: "writers", Slots: 640, PrefillRate: 50000, DecodeRate: 1 / c.there.Seconds()}},
		})
		dec := New().Choose(now, Query{
			Request: event.Request{ID: "r", Prompt: 1000}, ExpectedEvents: 40,
			Profile: rules.Profile{
				Service: "writers", MaxCrossings: 1, Weights: rules.Weights{Tail: 1},
				Route: &rules.Route{Kind: rules.Streaming, GoalMs: 1000, TimeoutMs: 12000},
			},
		}, tb)
		if forwarded := dec.Centre != ""; forwarded != c.forwarded {
			t.Errorf("%s: passed on %v, want %v (%+v)", name, forwarded, c.forwarded, dec)
		}
	}
}
