package core_test

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// testHost is the reducer of one host with a few targets. The test posts each event and advances
// the time.
type testHost struct {
	t   *testing.T
	red *core.Reducer
	now ident.Time
	n   int
	// silentSince is when the streams last received an event.
	silentSince ident.Time
}

func routeProfile(name string, kind rules.RouteKind, attempts int) rules.Profile {
	return rules.Profile{
		Name: ident.Profile(name), MaxCrossings: 1, Weights: rules.Weights{Tail: 1},
		Route: &rules.Route{
			Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, TimeoutMs: 10000, GoalMs: 500, GapMs: 300,
			Resumable: kind == rules.Streaming && attempts > 1, Shares: []rules.Share{{Service: "board", Weight: 1}},
		},
	}
}

func newTestHost(t *testing.T, targets int, bounds core.Bounds) *testHost {
	t.Helper()
	place := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	// These tests are not about the first seconds of a host.
	bounds.RetryHold = cmp.Or(bounds.RetryHold, time.Nanosecond)
	h := &testHost{t: t, red: core.NewBounded(event.Host{ID: "w1", Incarnation: 1, Place: place}, bounds), now: ident.Time(time.Second)}
	h.step(event.SnapshotReceived{Book: rules.FromStatic(1, rules.StaticConfig{
		Profiles: []rules.Profile{
			routeProfile("fetch", rules.Idempotent, 2), routeProfile("publish", rules.NonIdempotent, 1), routeProfile("draft", rules.Streaming, 2), routeProfile("once", rules.Streaming, 1),
		},
		Clients: []rules.Client{{Name: "callers"}},
	})})
	var ts []event.Target
	for i := range targets {
		ts = append(ts, event.Target{
			ID: ident.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Kind: event.Service, Service: "board", Place: place, Capacity: 64,
		})
	}
	h.step(event.HostsRead{Version: 1, Complete: true, Targets: ts})
	return h
}

func (h *testHost) step(ev event.Event) []event.Effect {
	h.now = h.now.Add(time.Millisecond)
	return h.red.Step(h.now, ev)
}

// pick returns the first effect of a type.
func pick[T event.Effect](effs []event.Effect) (T, bool) {
	for _, eff := range effs {
		if e, ok := eff.(T); ok {
			return e, true
		}
	}
	var zero T
	return zero, false
}

func (h *testHost) send(profile string) event.Dispatch {
	h.t.Helper()
	h.n++
	effs := h.step(event.RequestArrived{Request: event.Request{
		ID: ident.RequestID(fmt.Sprint("r", h.n)), Account: "callers", Profile: ident.Profile(profile), Deadline: h.now.Add(10 * time.Second),
	}})
	d, ok := pick[event.Dispatch](effs)
	if !ok {
		h.t.Fatalf("the request of profile %s is not sent: %v", profile, effs)
	}
	h.step(event.AttemptSent{Attempt: d.Attempt})
	return d
}

// end ends an attempt and returns the effects of the following second.
func (h *testHost) end(e event.AttemptEnded) []event.Effect {
	effs := h.step(e)
	for range 20 {
		h.now = h.now.Add(50 * time.Millisecond)
		effs = append(effs, h.red.Step(h.now, event.Tick{})...)
	}
	return effs
}

// endBriefly is end with the effects of the following 60 ms.
func (h *testHost) endBriefly(e event.AttemptEnded) []event.Effect {
	effs := h.step(e)
	h.now = h.now.Add(60 * time.Millisecond)
	return append(effs, h.red.Step(h.now, event.Tick{})...)
}

func boardTarget(id ident.TargetID) event.Target {
	return event.Target{
		ID: id, Incarnation: 1, Kind: event.Service, Service: "board", Capacity: 64,
		Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"},
	}
}
