package core_test

import (
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// Guards against a forwarded request that a target has received being refused with a code by which its sender takes
// the attempt for one that never left, so that the next one is not counted.
func TestForwardedRequestThatReachedATargetIsRefusedAsOverloaded(t *testing.T) {
	turnedAway := event.AttemptEnded{Result: event.ResultNotRun, Status: 503}
	cases := map[string]struct {
		begun bool
		end   event.AttemptEnded
		// then is what happens while the rest of the answer waits for the target that turned it away.
		then func(h *testHost) []event.Effect
	}{
		"turned away":          {false, turnedAway, nil},
		"by a draining target": {false, event.AttemptEnded{Result: event.ResultNotRun, Status: 503, Draining: true}, nil},
		"asked for rest":       {false, event.AttemptEnded{Result: event.ResultNotRun, Status: 503, RetryAfter: 5 * time.Second}, nil},
		"the rest of a stream, whose target is evacuated": {true, turnedAway, func(h *testHost) []event.Effect {
			return h.step(event.HostsRead{Version: 2, Complete: true})
		}},
		"the rest of a stream, whose host stops": {true, turnedAway, func(h *testHost) []event.Effect {
			h.step(event.DrainAsked{})
			return h.step(event.DrainExpired{})
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newTestHost(t, 1, core.Bounds{RetryRatio: 1, RetryFloor: 100})
			env := event.Envelope{
				Attempt: ident.Attempt{Entry: "e1", Incarnation: 1, Number: 7}, ToIncarnation: 1, From: "e1",
				FromPlace: event.Place{DataCentre: "east-a", Region: "east"}, Crossings: 1,
			}
			effs := h.step(event.RequestArrived{Request: event.Request{
				ID: "r", Account: "callers", Profile: "draft", Service: "board", Deadline: h.now.Add(8 * time.Second), Envelope: value.Some(env), AnswerBegan: c.begun,
			}})
			d, ok := pick[event.Dispatch](effs)
			if !ok {
				t.Fatalf("not sent: %v", effs)
			}
			h.step(event.AttemptSent{Attempt: d.Attempt})
			c.end.Attempt = d.Attempt
			effs = h.step(c.end)
			if c.then != nil {
				effs = c.then(h)
			}
			r, ok := pick[event.Refuse](effs)
			for i := 0; i < 200 && !ok; i++ {
				h.now = h.now.Add(50 * time.Millisecond)
				r, ok = pick[event.Refuse](h.red.Step(h.now, event.Tick{}))
			}
			if r.Outcome != event.NotRun || r.Code != codes.Overloaded.ID {
				t.Errorf("refused with %s as %s", r.Code, r.Outcome)
			}
		})
	}
}
