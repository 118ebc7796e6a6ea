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

// Guards against a draining host that refuses callers immediately, or accepts requests for too
// long.
func TestDrainAcceptsForAWhile(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{DrainAccept: 2 * time.Second, MinDrain: 3 * time.Second})
	h.step(event.DrainAsked{})
	d := h.send("fetch")
	h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	h.now = h.now.Add(2 * time.Second)
	effs := h.step(event.RequestArrived{Request: event.Request{ID: "late", Account: "callers", Profile: "fetch", Deadline: h.now.Add(time.Second)}})
	if r, ok := pick[event.Refuse](effs); !ok || r.Code != codes.Draining.ID || r.Outcome != event.NotRun {
		t.Errorf("a request late in a drain: %v", effs)
	}
}

// Guards against a request that is sent to a target after the drain has ended, and is cut when
// the process exits.
func TestNothingIsAcceptedAfterTheDrain(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{DrainAccept: time.Second, MinDrain: 2 * time.Second, DrainTimeout: 9 * time.Second})
	h.step(event.DrainAsked{})
	h.now = h.now.Add(3 * time.Second)
	if _, ok := pick[event.Drained](h.step(event.Tick{})); !ok {
		t.Fatal("the drain does not end")
	}
	effs := h.step(event.RequestArrived{Request: event.Request{ID: "late", Account: "callers", Profile: "fetch", Deadline: h.now.Add(time.Second)}})
	if r, ok := pick[event.Refuse](effs); !ok || r.Code != codes.Draining.ID || r.Outcome != event.NotRun {
		t.Errorf("a request after the drain: %v", effs)
	}
	if _, ok := pick[event.Drained](h.step(event.Tick{})); ok {
		t.Error("the end of the drain is reported twice")
	}
}

// Guards against a request that may have run being reported as not run at the end of the grace
// period, or getting no final answer.
func TestDrainExpiredEndsEachRequest(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{DrainAccept: time.Second, DrainTimeout: 9 * time.Second})
	d := h.send("publish")
	h.step(event.DrainAsked{})
	effs := h.step(event.DrainExpired{})
	r, ok := pick[event.Refuse](effs)
	host := event.Ending{Side: event.SideHost, Reason: event.ReasonStopped}
	if diff := cmp.Diff([]any{true, d.Request, codes.HostStopped.ID, event.Unknown, host}, []any{ok, r.Request, r.Code, r.Outcome, r.Ending}); diff != "" {
		t.Errorf("a call at its target (-want +got):\n%s", diff)
	}
	if effs := h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone}); len(effs) > 0 {
		if f, ok := pick[event.Finish](effs); ok {
			t.Errorf("the request is answered twice: %+v", f)
		}
	}
}

// Guards against the only host of a region refusing all callers while it drains, or cutting
// requests that it accepted.
func TestDrainAcceptsWhatEndsInTime(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{DrainAccept: 2 * time.Second, MinDrain: 4 * time.Second, DrainTimeout: 6 * time.Second})
	for range 4 {
		d := h.send("draft")
		h.now = h.now.Add(50 * time.Millisecond)
		h.step(event.FirstToken{Attempt: d.Attempt})
		h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	}
	h.step(event.DrainAsked{})
	drainAt := h.now
	ask := func(profile ident.Profile, since, left time.Duration) []event.Effect {
		h.now = drainAt.Add(since)
		return h.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("late", h.now)), Account: "callers", Profile: profile, Deadline: h.now.Add(left),
		}})
	}
	effs := ask("fetch", 3*time.Second, 2*time.Second)
	d, ok := pick[event.Dispatch](effs)
	if !ok {
		t.Fatalf("a call whose deadline is before the end of the drain is not sent: %v", effs)
	}
	h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	for _, since := range []time.Duration{3 * time.Second, 5 * time.Second} {
		effs = ask("draft", since, 4*time.Second)
		r, ok := pick[event.Refuse](effs)
		if !ok || r.Code != codes.Draining.ID || r.Outcome != event.NotRun {
			t.Fatalf("a stream that may outlast the drain, after %v: %v", since, effs)
		}
		if r.RetryAfter < time.Second {
			t.Errorf("the caller is asked to come back after %v, before the successor of the host is ready", r.RetryAfter)
		}
	}
}

// Guards against a request that may run only once being cut at the end of a drain, where another host could have taken it.
func TestDrainingHostLeavesWhatMayRunOnceToOthers(t *testing.T) {
	const timeout = 6800 * time.Millisecond
	cases := map[string]struct {
		profile ident.Profile
		// work is how long earlier answers took, alone whether there is no other host.
		work  time.Duration
		alone bool
		since time.Duration
		left  time.Duration
		want  bool
	}{
		"long work":                        {"publish", 4 * time.Second, false, 100 * time.Millisecond, 10 * time.Second, false},
		"long work, late":                  {"publish", 2 * time.Second, false, 2900 * time.Millisecond, 10 * time.Second, false},
		"unknown work":                     {"publish", 0, false, 100 * time.Millisecond, 10 * time.Second, false},
		"short work":                       {"publish", 20 * time.Millisecond, false, 2900 * time.Millisecond, 10 * time.Second, true},
		"a deadline within the drain":      {"publish", 4 * time.Second, false, 100 * time.Millisecond, 5 * time.Second, true},
		"no other host":                    {"publish", 4 * time.Second, true, 100 * time.Millisecond, 10 * time.Second, true},
		"a call that may run twice":        {"fetch", 4 * time.Second, false, 100 * time.Millisecond, 10 * time.Second, true},
		"a stream that may be resumed":     {"draft", 4 * time.Second, false, 100 * time.Millisecond, 10 * time.Second, true},
		"a stream that may not be resumed": {"once", 20 * time.Millisecond, false, 100 * time.Millisecond, 10 * time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newTestHost(t, 1, core.Bounds{MinDrain: 4 * time.Second, DrainAccept: 3 * time.Second, DrainTimeout: timeout})
			if !c.alone {
				h.step(event.PeerUp{Host: event.Host{ID: "w2", Incarnation: 1, Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}}})
			}
			for range 8 {
				if c.work == 0 {
					break
				}
				d := h.send(string(c.profile))
				h.now = h.now.Add(c.work)
				h.step(event.FirstToken{Attempt: d.Attempt})
				h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
			}
			if !c.alone {
				h.step(event.PeerUp{Host: event.Host{ID: "w2", Incarnation: 1, Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}}})
			}
			h.step(event.DrainAsked{})
			h.now = h.now.Add(c.since)
			effs := h.step(event.RequestArrived{Request: event.Request{ID: "late", Account: "callers", Profile: c.profile, Deadline: h.now.Add(c.left)}})
			_, sent := pick[event.Dispatch](effs)
			if sent != c.want {
				t.Errorf("sent: %v, want %v; %v", sent, c.want, effs)
			}
			if r, ok := pick[event.Refuse](effs); !sent && (!ok || r.Code != codes.Draining.ID || r.Outcome != event.NotRun) {
				t.Errorf("refused as %+v", r)
			}
		})
	}
}
