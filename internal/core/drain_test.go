package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// A draining host refuses callers at once, or serves them for too long.
func TestDrainAcceptsForAWhile(t *testing.T) {
	p := newTestHost(t, 1, core.Bounds{DrainAccept: 2 * time.Second, MinDrain: 3 * time.Second})
	p.step(event.DrainAsked{})
	d := p.send("fetch")
	p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	p.now = p.now.Add(2 * time.Second)
	effs := p.step(event.RequestArrived{Request: event.Request{ID: "late", Account: "callers", Profile: "fetch", Deadline: p.now.Add(time.Second)}})
	if r, ok := pick[event.Refuse](effs); !ok || r.Code != codes.Draining.ID || r.Outcome != event.NotRun {
		t.Errorf("a request late in a drain: %v", effs)
	}
}

// A request is sent to a target after the drain has ended, and is cut with the process.
func TestNothingIsAcceptedAfterTheDrain(t *testing.T) {
	p := newTestHost(t, 1, core.Bounds{DrainAccept: time.Second, MinDrain: 2 * time.Second, DrainTimeout: 9 * time.Second})
	p.step(event.DrainAsked{})
	p.now = p.now.Add(3 * time.Second)
	if _, ok := pick[event.Drained](p.step(event.Tick{})); !ok {
		t.Fatal("the drain does not end")
	}
	effs := p.step(event.RequestArrived{Request: event.Request{ID: "late", Account: "callers", Profile: "fetch", Deadline: p.now.Add(time.Second)}})
	if r, ok := pick[event.Refuse](effs); !ok || r.Code != codes.Draining.ID || r.Outcome != event.NotRun {
		t.Errorf("a request after the drain: %v", effs)
	}
	if _, ok := pick[event.Drained](p.step(event.Tick{})); ok {
		t.Error("the end of the drain is reported twice")
	}
}

// At the end of the grace a request that may have run is said not to have run, or one is forgotten.
func TestDrainExpiredEndsEachRequest(t *testing.T) {
	p := newTestHost(t, 1, core.Bounds{DrainAccept: time.Second, DrainTimeout: 9 * time.Second})
	d := p.send("publish")
	p.step(event.DrainAsked{})
	effs := p.step(event.DrainExpired{})
	r, ok := pick[event.Refuse](effs)
	host := event.Ending{Side: event.SideHost, Reason: event.ReasonStopped}
	if diff := cmp.Diff([]any{true, d.Request, codes.HostStopped.ID, event.Unknown, host}, []any{ok, r.Request, r.Code, r.Outcome, r.Ending}); diff != "" {
		t.Errorf("a call at its target (-want +got):\n%s", diff)
	}
	if effs := p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone}); len(effs) > 0 {
		if f, ok := pick[event.Finish](effs); ok {
			t.Errorf("it is answered twice: %+v", f)
		}
	}
}

// The only host of a region refuses callers while it drains, or cuts their requests.
func TestDrainAcceptsWhatEndsInTime(t *testing.T) {
	p := newTestHost(t, 1, core.Bounds{DrainAccept: 2 * time.Second, MinDrain: 4 * time.Second, DrainTimeout: 6 * time.Second})
	for range 4 {
		d := p.send("draft")
		p.now = p.now.Add(50 * time.Millisecond)
		p.step(event.FirstToken{Attempt: d.Attempt})
		p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	}
	p.step(event.DrainAsked{})
	drainAt := p.now
	ask := func(profile ident.Profile, since, left time.Duration) []event.Effect {
		p.now = drainAt.Add(since)
		return p.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("late", p.now)), Account: "callers", Profile: profile, Deadline: p.now.Add(left),
		}})
	}
	effs := ask("fetch", 3*time.Second, 2*time.Second)
	d, ok := pick[event.Dispatch](effs)
	if !ok {
		t.Fatalf("a call that ends in time is not sent: %v", effs)
	}
	p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	for _, since := range []time.Duration{3 * time.Second, 5 * time.Second} {
		effs = ask("draft", since, 4*time.Second)
		r, ok := pick[event.Refuse](effs)
		if !ok || r.Code != codes.Draining.ID || r.Outcome != event.NotRun {
			t.Fatalf("a stream that may outlast the drain, after %v: %v", since, effs)
		}
		if r.RetryAfter < time.Second {
			t.Errorf("the caller is asked to come back after %v, when nobody is there", r.RetryAfter)
		}
	}
}
