package core_test

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// askForRest reports that a target of a test host asks for rest.
func (h *testHost) askForRest(id ident.TargetID, inc ident.Incarnation, rest time.Duration) []event.Effect {
	return h.step(event.LoadSeen{Target: id, Incarnation: inc, LoadOmitted: true, RateLimitOmitted: true, Rest: rest})
}

// request sends a request to a test host and returns the effects.
func (h *testHost) request(id, profile string) []event.Effect {
	return h.step(event.RequestArrived{Request: event.Request{
		ID: ident.RequestID(id), Account: "callers", Profile: ident.Profile(profile), Deadline: h.now.Add(10 * time.Second),
	}})
}

// discovered advances a test host to a time at which it knows what other regions there are.
func (h *testHost) discovered() {
	h.now = h.now.Add(3 * time.Second)
	h.step(event.Tick{})
}

// Guards against a request that waits until its deadline for targets that rest, and against callers that all come back at once.
func TestRequestsAreRefusedAtOnceWhileAllTargetsRest(t *testing.T) {
	h := newTestHost(t, 2, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.discovered()
	h.askForRest("t0", 1, 4*time.Second)
	if _, ok := pick[event.Dispatch](h.request("a", "fetch")); !ok {
		t.Error("a request is not sent to the target that does not rest")
	}
	h.askForRest("t1", 1, 2*time.Second)
	times := make(map[time.Duration]bool)
	for _, id := range []string{"b", "c", "d"} {
		ref, ok := pick[event.Refuse](h.request(id, "fetch"))
		if !ok || ref.Code != codes.Overloaded.ID || ref.Outcome != event.NotRun || ref.Denial.Reason != event.DeniedRest {
			t.Errorf("request %s: %+v", id, ref)
		}
		if ref.RetryAfter < 1900*time.Millisecond || ref.RetryAfter > 2500*time.Millisecond {
			t.Errorf("request %s may come back after %v", id, ref.RetryAfter)
		}
		times[ref.RetryAfter] = true
	}
	if len(times) < 3 {
		t.Errorf("callers come back at the same time: %v", times)
	}
	h.now = h.now.Add(2 * time.Second)
	if d, ok := pick[event.Dispatch](h.request("e", "fetch")); !ok || d.Target.ID != "t1" {
		t.Errorf("after the first rest the request is sent to %q", d.Target.ID)
	}
}

// Guards against a rest that a later wish for less shortens, that outlives the target's restart, or that an earlier start asked for.
func TestRestIsOfOneIncarnationAndNotShortened(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.discovered()
	sends := func(id string) bool {
		_, ok := pick[event.Dispatch](h.request(id, "fetch"))
		return ok
	}
	h.askForRest("t0", 1, 4*time.Second)
	h.askForRest("t0", 1, 500*time.Millisecond)
	h.now = h.now.Add(time.Second)
	if sends("a") {
		t.Error("a wish for less has shortened the rest")
	}
	again := boardTarget("t0")
	again.Incarnation = 2
	h.step(event.HostsRead{Version: 2, Complete: true, Targets: []event.Target{again}})
	if !sends("b") {
		t.Error("the target has started again and gets nothing")
	}
	h.askForRest("t0", 1, 4*time.Second)
	if !sends("c") {
		t.Error("a late answer of the earlier start counts")
	}
}

// Guards against cutting an answer of which the caller has a part because the only target left asks for rest, and against sending
// its rest before that is over.
func TestRestOfAStreamWaitsForItsTarget(t *testing.T) {
	h := newTestHost(t, 2, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.discovered()
	d := h.send("draft")
	h.step(event.FirstToken{Attempt: d.Attempt})
	h.askForRest(map[ident.TargetID]ident.TargetID{"t0": "t1", "t1": "t0"}[d.Target.ID], 1, 2*time.Second)
	asked := h.now
	var sent []ident.Time
	effs := h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 3})
	for n := 0; n < 60 && len(sent) == 0; n++ {
		if next, ok := pick[event.Dispatch](effs); ok {
			sent = append(sent, h.now)
			if next.ResumeAfter != 3 {
				t.Errorf("the rest is asked for after event %d", next.ResumeAfter)
			}
		}
		if ref, ok := pick[event.Refuse](effs); ok {
			t.Fatalf("the stream is ended: %+v", ref)
		}
		h.now = h.now.Add(50 * time.Millisecond)
		effs = h.red.Step(h.now, event.Tick{})
	}
	if len(sent) != 1 || sent[0].Sub(asked) < 2*time.Second {
		t.Errorf("the rest is sent at %v, the target has asked at %v for 2 s", sent, asked)
	}
}

// Guards against a wish for rest of a target whose answers to requests say nothing else about it.
func TestAnswersToRequestsAskForRest(t *testing.T) {
	for name, c := range map[string]struct {
		end  event.AttemptEnded
		want bool
	}{
		"turned away":    {event.AttemptEnded{Result: event.ResultNotRun, Status: 503, RetryAfter: 2 * time.Second}, true},
		"too many":       {event.AttemptEnded{Result: event.ResultNotRun, Status: 429, RetryAfter: 2 * time.Second}, true},
		"may have run":   {event.AttemptEnded{Result: event.ResultFailed, Status: 503, RetryAfter: 2 * time.Second}, true},
		"no time":        {event.AttemptEnded{Result: event.ResultNotRun, Status: 503}, false},
		"another target": {event.AttemptEnded{Result: event.ResultNotRun, Status: 421, RetryAfter: 2 * time.Second}, false},
		"success":        {event.AttemptEnded{Result: event.ResultDone, Status: 200, RetryAfter: 2 * time.Second}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHost(t, 1, core.Bounds{RetryRatio: 1, RetryFloor: 100})
			h.discovered()
			c.end.Attempt = h.send("publish").Attempt
			h.end(c.end)
			if _, sent := pick[event.Dispatch](h.request("next", "fetch")); sent == c.want {
				t.Errorf("the next request is sent: %v", sent)
			}
		})
	}
}

// Guards against probes that reach a target which rests.
func TestTargetAtRestIsNotProbed(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.discovered()
	for range 4 {
		h.step(event.LoadFailed{Target: "t0", Incarnation: 1})
	}
	h.askForRest("t0", 1, 3*time.Second)
	polls := func(during time.Duration) (n int) {
		for until := h.now.Add(during); h.now < until; {
			h.now = h.now.Add(100 * time.Millisecond)
			if _, ok := pick[event.PollLoad](h.red.Step(h.now, event.Tick{})); ok {
				n++
			}
		}
		return n
	}
	if n := polls(2500 * time.Millisecond); n > 0 {
		t.Errorf("%d probes within the rest", n)
	}
	if n := polls(3 * time.Second); n == 0 {
		t.Error("no probe after the rest")
	}
}

// Guards against a target that drains by its own word and gets requests, and against a late answer of its earlier start that
// keeps them from it.
func TestTargetThatSaysItDrainsGetsNothing(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.discovered()
	drains := event.LoadSeen{Target: "t0", Incarnation: 1, LoadOmitted: true, RateLimitOmitted: true, Draining: true}
	h.step(drains)
	if ref, ok := pick[event.Refuse](h.request("a", "fetch")); !ok || ref.Code != codes.NoTarget.ID {
		t.Errorf("a request at a target that drains: %+v", ref)
	}
	again := boardTarget("t0")
	again.Incarnation = 2
	h.step(event.HostsRead{Version: 2, Complete: true, Targets: []event.Target{again}})
	h.step(drains)
	if _, ok := pick[event.Dispatch](h.request("b", "fetch")); !ok {
		t.Error("the target has started again and gets nothing")
	}
}
