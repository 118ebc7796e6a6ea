package core_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// Guards against a broken stream that is ended as complete when the second target answers with a
// failure.
func TestFailureDoesNotCompleteABrokenStream(t *testing.T) {
	h := newTestHost(t, 3, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.now = h.now.Add(retry.Window)
	d := h.send("draft")
	if d.IdleTimeouts.First == 0 || d.IdleTimeouts.Gap == 0 {
		t.Errorf("a resumable stream has no idle timeouts: %+v", d.IdleTimeouts)
	}
	effs := h.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 4, Generated: 4})
	retried, ok := pick[event.Dispatch](effs)
	if !ok || retried.ResumeAfter != 4 {
		t.Fatalf("the stream is not resumed after event 4: %v", effs)
	}
	h.step(event.AttemptSent{Attempt: retried.Attempt})
	effs = h.end(event.AttemptEnded{Attempt: retried.Attempt, Result: event.ResultFailed, Status: 500, AnswerBuffered: true, Delivered: 4})
	if f, ok := pick[event.Finish](effs); ok {
		t.Errorf("a truncated stream is finished as complete: %+v", f)
	}
}

// Guards against the rest of a stream being dropped after another region has refused it.
func TestRestOfAStreamThatIsTurnedAwayIsPlacedAgain(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.now = h.now.Add(retry.Window)
	h.step(event.HostsRead{Version: 2, Complete: true, Targets: []event.Target{boardTarget("t0")}})
	east := event.Place{DataCentre: "east-a", Region: "east", Reach: "east"}
	report := func(seq uint64) {
		h.step(event.SummaryReceived{Summary: event.Summary{
			From: "e1", Place: east, Incarnation: 1, Seq: seq, HostsHash: 7,
			Hosts: []event.Host{{ID: "e1", Incarnation: 1, Place: east}},
			Pools: []event.Pool{{Service: "board", Targets: 1, Slots: 64, Free: 64, Offer: 64}},
		}})
	}
	report(1)
	d := h.send("draft")
	h.step(event.FirstToken{Attempt: d.Attempt})
	effs := h.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	fwd, ok := pick[event.Forward](effs)
	if !ok || fwd.ResumeAfter != 5 {
		t.Fatalf("the rest of the stream is not passed on: %v", effs)
	}
	h.step(event.HostsRead{Version: 3, Complete: true, Targets: []event.Target{boardTarget("t0"), boardTarget("t1")}})
	effs = h.end(event.AttemptEnded{Attempt: fwd.Envelope.Attempt, Result: event.ResultNotRun, Code: codes.ForwardRefused.ID, Delivered: 5})
	if r, ok := pick[event.Refuse](effs); ok {
		t.Fatalf("the rest of the stream is refused: %+v", r)
	}
	if d, ok := pick[event.Dispatch](effs); !ok || d.Target.ID != "t1" || d.ResumeAfter != 5 {
		t.Errorf("the rest of the stream is not sent to the new target: %v", effs)
	}
}

// newResumedStream returns a host with a stream that broke at one target, and the dispatch of the
// rest to a second target, the last one that may receive it.
func newResumedStream(t *testing.T, targets int) (*testHost, event.Dispatch) {
	t.Helper()
	h := newTestHost(t, targets, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	h.now = h.now.Add(retry.Window)
	d := h.send("draft")
	h.step(event.FirstToken{Attempt: d.Attempt})
	effs := h.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	rest, ok := pick[event.Dispatch](effs)
	if !ok || rest.Target.ID == d.Target.ID {
		t.Fatalf("the rest of the stream is not sent to another target: %v", effs)
	}
	return h, rest
}

// Guards against the rest of a stream being cut when the last target that may receive it sheds it
// once.
func TestRestOfAStreamOutlastsAShedAtItsLastTarget(t *testing.T) {
	h, rest := newResumedStream(t, 3)
	for range 3 {
		h.step(event.AttemptSent{Attempt: rest.Attempt})
		effs := h.end(event.AttemptEnded{Attempt: rest.Attempt, Result: event.ResultNotRun, Delivered: 5, RetryAfter: 200 * time.Millisecond})
		retried, ok := pick[event.Dispatch](effs)
		if !ok || retried.Target.ID != rest.Target.ID || retried.ResumeAfter != 5 {
			t.Fatalf("the rest of the stream is not sent to the target that shed it: %v", effs)
		}
		rest = retried
	}
	h.step(event.AttemptSent{Attempt: rest.Attempt})
	effs := h.end(event.AttemptEnded{Attempt: rest.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 6, Generated: 1})
	if _, ok := pick[event.Dispatch](effs); ok {
		t.Error("a stream that broke at MaxAttempts targets is sent again")
	}
}

// Guards against a stream that is bound to a full target blocking requests that another target
// has room for.
func TestBoundStreamBlocksNoOther(t *testing.T) {
	h, rest := newResumedStream(t, 2)
	h.step(event.AttemptSent{Attempt: rest.Attempt})
	h.step(event.AttemptEnded{Attempt: rest.Attempt, Result: event.ResultNotRun, Delivered: 5, RetryAfter: 2 * time.Second})
	var there, elsewhere []event.Dispatch
	for i := 0; ; i++ {
		sent, ok := pick[event.Dispatch](h.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("fill", i)), Account: "callers", Profile: "draft", Deadline: h.now.Add(10 * time.Second),
		}}))
		if !ok {
			break
		}
		h.step(event.AttemptSent{Attempt: sent.Attempt})
		if sent.Target.ID == rest.Target.ID {
			there = append(there, sent)
		} else {
			elsewhere = append(elsewhere, sent)
		}
	}
	h.now = h.now.Add(2 * time.Second)
	h.step(event.Tick{})
	h.step(event.RequestArrived{Request: event.Request{ID: "queued", Account: "callers", Profile: "draft", Deadline: h.now.Add(10 * time.Second)}})
	if next, ok := h.endUntilSent(elsewhere, "queued"); !ok {
		t.Fatalf("a queued request is not sent to the target with room: %v", next)
	}
	if retried, ok := h.endUntilSent(there, rest.Request); !ok || retried.Target.ID != rest.Target.ID {
		t.Errorf("the rest of the stream is not sent once its target has room: %v", retried)
	}
}

// endUntilSent ends attempts one by one until a request is sent.
func (h *testHost) endUntilSent(ds []event.Dispatch, id ident.RequestID) (event.Dispatch, bool) {
	for _, d := range ds {
		for _, eff := range h.endBriefly(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone}) {
			if sent, ok := eff.(event.Dispatch); ok && sent.Request == id {
				return sent, true
			}
		}
	}
	return event.Dispatch{}, false
}

// Guards against the rest of a stream staying bound to its target for longer than its caller
// waits.
func TestRestOfAStreamEndsWithItsDeadline(t *testing.T) {
	h, rest := newResumedStream(t, 3)
	h.step(event.AttemptSent{Attempt: rest.Attempt})
	effs := h.end(event.AttemptEnded{Attempt: rest.Attempt, Result: event.ResultNotRun, Delivered: 5, RetryAfter: 20 * time.Second})
	if _, ok := pick[event.Refuse](effs); !ok {
		t.Errorf("a stream whose target has no room before the deadline is not refused: %v", effs)
	}
}

// Guards against the rest of a forwarded stream being refused once the goal of a new request has
// passed.
func TestForwardedRestIsQueuedPastTheGoal(t *testing.T) {
	for _, begun := range []bool{true, false} {
		h := newTestHost(t, 1, core.Bounds{})
		for i := 0; ; i++ {
			_, ok := pick[event.Dispatch](h.step(event.RequestArrived{Request: event.Request{
				ID: ident.RequestID(fmt.Sprint("home", i)), Account: "callers", Profile: "draft", Deadline: h.now.Add(10 * time.Second),
			}}))
			if !ok {
				break
			}
		}
		from := event.Place{DataCentre: "east-a", Region: "east", Reach: "east"}
		effs := h.step(event.RequestArrived{Request: event.Request{
			ID: "rest", Account: "callers", Profile: "draft", Service: "board", AnswerBegan: begun, Deadline: h.now.Add(8 * time.Second),
			Envelope: value.Some(event.Envelope{Attempt: ident.Attempt{Entry: "e1", Incarnation: 1, Number: 1}, ToIncarnation: 1, From: "e1", FromPlace: from, Crossings: 1}),
		}})
		for range 40 {
			h.now = h.now.Add(50 * time.Millisecond)
			effs = append(effs, h.red.Step(h.now, event.Tick{})...)
		}
		var refused codes.ID
		for _, eff := range effs {
			if r, ok := eff.(event.Refuse); ok && r.Request == "rest" {
				refused = r.Code
			}
		}
		want := codes.ForwardRefused.ID
		if begun {
			want = ""
		}
		if diff := cmp.Diff(want, refused); diff != "" {
			t.Errorf("begun %v: refused after 2 s with (-want +got):\n%s", begun, diff)
		}
	}
}

// Guards against sending a stream to a second target when the caller has events of the first that have no ids.
func TestStreamWithoutIDsIsNotSentAgain(t *testing.T) {
	for _, delivered := range []ident.Tokens{0, 3} {
		h := newTestHost(t, 3, core.Bounds{RetryRatio: 1, RetryFloor: 100})
		h.now = h.now.Add(retry.Window)
		d := h.send("draft")
		h.step(event.FirstToken{Attempt: d.Attempt})
		effs := h.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Unplaced: true, Delivered: delivered})
		if r, ok := pick[event.Refuse](effs); !ok || r.Outcome != event.Unknown {
			t.Errorf("%d delivered: the stream is not ended: %+v", delivered, effs)
		}
	}
}

// Guards against a prompt of negative or immense length at a target, and immense demand, from the id of an event.
func TestIDsOfEventsAreNoLengths(t *testing.T) {
	for _, id := range []ident.Tokens{math.MaxInt64, math.MaxInt64 - 50, 1 << 50, 30} {
		h := newTestHost(t, 3, core.Bounds{RetryRatio: 1, RetryFloor: 100})
		h.now = h.now.Add(retry.Window)
		effs := h.step(event.RequestArrived{Request: event.Request{
			ID: "r", Account: "callers", Profile: "draft", Deadline: h.now.Add(10 * time.Second), Prompt: 100, MaxTokens: 40, Stream: true,
		}})
		d, ok := pick[event.Dispatch](effs)
		if !ok {
			t.Fatalf("not sent: %v", effs)
		}
		h.step(event.AttemptSent{Attempt: d.Attempt})
		effs = h.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: id})
		rest, ok := pick[event.Dispatch](effs)
		if !ok {
			t.Fatalf("id %d: the rest is not sent: %v", id, effs)
		}
		if diff := cmp.Diff(id, rest.ResumeAfter); diff != "" {
			t.Errorf("position (-want +got):\n%s", diff)
		}
		if n := rest.Basis.UncachedPrompt; n < 100 || n > 140 {
			t.Errorf("id %d: %d tokens to read of a prompt of 100 and an answer of 40", id, n)
		}
	}
}
