package core_test

import (
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// remoteRegion announces a region with n hosts and spare capacity for calls.
func (h *testHost) remoteRegion(n int) {
	place := event.Place{DataCentre: "east-a", Region: "east", Reach: "east"}
	s := event.Summary{From: "e0", Place: place, Incarnation: 1, Seq: uint64(h.now), HostsHash: 1, Highest: 1, InForce: 1}
	for i := range n {
		s.Hosts = append(s.Hosts, event.Host{ID: ident.EntryID(fmt.Sprint("e", i)), Incarnation: 1, Place: place})
	}
	s.Pools = []event.Pool{{Service: "board", Slots: 64, Free: 64, Offer: 16, Targets: 4}}
	h.step(event.SummaryReceived{Summary: s})
}

// forward sends a request that only the other region can serve.
func (h *testHost) forward(id string) []event.Effect {
	return h.step(event.RequestArrived{Request: event.Request{
		ID: ident.RequestID(id), Account: "callers", Profile: "fetch", Deadline: h.now.Add(5 * time.Second),
	}})
}

// Guards against a request that is refused, or kept from a region with free targets, because the one
// host of the region to which it was forwarded has just stopped.
func TestUnreachableHostIsReplacedInItsRegion(t *testing.T) {
	h := newTestHost(t, 0, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.remoteRegion(12)
	effs := h.forward("r1")
	failed := make(map[ident.EntryID]bool)
	for n := range 3 {
		f, ok := pick[event.Forward](effs)
		if !ok {
			t.Fatalf("after %d unreachable hosts the request is not forwarded: %v", n, effs)
		}
		if failed[f.To.ID] {
			t.Fatalf("the request is forwarded to %s again", f.To.ID)
		}
		failed[f.To.ID] = true
		effs = h.endBriefly(event.AttemptEnded{Attempt: f.Envelope.Attempt, Result: event.ResultNotRun, Code: codes.NoTarget.ID})
	}
	for i := range 20 {
		f, ok := pick[event.Forward](h.forward(fmt.Sprint("next", i)))
		if !ok {
			t.Fatal("a later request is not forwarded")
		}
		if failed[f.To.ID] {
			t.Errorf("a later request is forwarded to %s, which could not be reached", f.To.ID)
		}
	}
}

// Guards against a region that is asked again and again although its hosts refuse for lack of
// capacity.
func TestRefusalIsNotTakenForAnUnreachableHost(t *testing.T) {
	h := newTestHost(t, 0, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.remoteRegion(12)
	f, ok := pick[event.Forward](h.forward("r1"))
	if !ok {
		t.Fatal("the request is not forwarded")
	}
	h.step(event.AttemptSent{Attempt: f.Envelope.Attempt})
	effs := h.endBriefly(event.AttemptEnded{Attempt: f.Envelope.Attempt, Result: event.ResultNotRun, Code: codes.NoTarget.ID})
	if f, ok := pick[event.Forward](effs); ok {
		t.Errorf("the request is forwarded to %s of the region that refused it", f.To.ID)
	}
}
