package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/pkg/ident"
)

var ampleBudget = core.Bounds{RetryRatio: 1, RetryFloor: 100}

// beginStream sends a stream that falls silent after its first event.
func (h *testHost) beginStream() event.Dispatch {
	h.t.Helper()
	d := h.send("draft")
	h.step(event.FirstToken{Attempt: d.Attempt})
	h.silentSince = h.now
	h.now = h.now.Add(2 * time.Second)
	return d
}

func (h *testHost) reportSilence(a ident.Attempt) []event.Effect {
	return h.step(event.AttemptSilent{Attempt: a, Since: h.silentSince, AnswerBegan: true})
}

// Guards against a silent stream being aborted although no retry can follow.
func TestSilentStreamIsKeptWhereNoAttemptCanFollow(t *testing.T) {
	for _, tc := range []struct {
		reason  event.DenialReason
		targets int
		bounds  core.Bounds
		before  func(h *testHost)
	}{
		{event.DeniedCapacity, 1, ampleBudget, func(*testHost) {}},
		{event.DeniedBudget, 3, core.Bounds{RetryRatio: 0.001}, func(*testHost) {}},
		{event.DeniedTime, 3, ampleBudget, func(h *testHost) { h.now = h.now.Add(7990 * time.Millisecond) }},
	} {
		t.Run(string(tc.reason), func(t *testing.T) {
			h := newTestHost(t, tc.targets, tc.bounds)
			h.now = h.now.Add(retry.Window)
			d := h.beginStream()
			tc.before(h)
			effs := h.reportSilence(d.Attempt)
			if _, ok := pick[event.BreakOff](effs); ok {
				t.Fatal("the stream is aborted")
			}
			kept, ok := pick[event.KeepAttempt](effs)
			if diff := cmp.Diff(tc.reason, kept.Denial.Reason); !ok || diff != "" {
				t.Errorf("reason (-want +got):\n%s", diff)
			}
			effs = h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone, Delivered: 5})
			if f, ok := pick[event.Finish](effs); !ok || f.Outcome != event.Done {
				t.Errorf("the end of the stream is not delivered: %v", effs)
			}
		})
	}
}

// Guards against a silent stream being aborted at its last attempt.
func TestSilentStreamIsKeptAtItsLastAttempt(t *testing.T) {
	h, rest := newResumedStream(t, 4)
	h.step(event.AttemptSent{Attempt: rest.Attempt})
	h.step(event.FirstToken{Attempt: rest.Attempt})
	h.now = h.now.Add(2 * time.Second)
	kept, ok := pick[event.KeepAttempt](h.reportSilence(rest.Attempt))
	if !ok || kept.Denial.Reason != event.DeniedAttempts {
		t.Errorf("at its last attempt: %+v", kept)
	}
}

// Guards against a silent stream that was aborted for a retry being denied that retry, or taking
// two retries from the budget.
func TestSilentStreamIsAbortedWithItsRetryTaken(t *testing.T) {
	h := newTestHost(t, 3, core.Bounds{RetryRatio: 0.001, RetryFloor: 2})
	h.now = h.now.Add(retry.Window)
	first, second := h.beginStream(), h.beginStream()
	if _, ok := pick[event.BreakOff](h.reportSilence(first.Attempt)); !ok {
		t.Fatal("the stream is kept although another target can resume it")
	}
	if effs := h.reportSilence(first.Attempt); len(effs) > 0 {
		if _, ok := pick[event.BreakOff](effs); ok {
			t.Error("the stream is aborted twice")
		}
	}
	kept, _ := pick[event.KeepAttempt](h.reportSilence(second.Attempt))
	if diff := cmp.Diff(event.DeniedBudget, kept.Denial.Reason); diff != "" {
		t.Errorf("the other stream, with the budget used up (-want +got):\n%s", diff)
	}
	effs := h.step(event.AttemptEnded{Attempt: first.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	next, ok := pick[event.Dispatch](effs)
	if !ok || next.ResumeAfter != 5 || next.Target.ID == first.Target.ID {
		t.Errorf("the stream is not resumed elsewhere immediately: %v", effs)
	}
}

// Guards against a request without an answer staying at a silent target although it could be
// queued.
func TestSilentAttemptWithoutAnAnswerIsQueued(t *testing.T) {
	for _, begun := range []bool{false, true} {
		h := newTestHost(t, 2, ampleBudget)
		h.now = h.now.Add(retry.Window)
		d := h.send("draft")
		for i := 0; ; i++ {
			if _, ok := pick[event.Dispatch](h.step(event.RequestArrived{Request: event.Request{
				ID: ident.RequestID(fmt.Sprint("fill", i)), Account: "callers", Profile: "draft", Deadline: h.now.Add(10 * time.Second),
			}})); !ok {
				break
			}
		}
		_, off := pick[event.BreakOff](h.step(event.AttemptSilent{Attempt: d.Attempt, Since: h.now.Add(-time.Second), AnswerBegan: begun}))
		if diff := cmp.Diff(!begun, off); diff != "" {
			t.Errorf("begun %v: aborted with all targets full (-want +got):\n%s", begun, diff)
		}
	}
}

// Guards against a stream that continued after the decision to abort it never being aborted later,
// or taking a second retry from the budget.
func TestStreamThatContinuedIsAbortedLater(t *testing.T) {
	h := newTestHost(t, 3, core.Bounds{RetryRatio: 0.001, RetryFloor: 2})
	h.now = h.now.Add(retry.Window)
	d := h.beginStream()
	for range 2 {
		if _, ok := pick[event.BreakOff](h.reportSilence(d.Attempt)); !ok {
			t.Fatal("the stream is not aborted")
		}
		h.silentSince = h.now
		h.now = h.now.Add(3 * time.Second)
	}
}

// Guards against the queued rest of a stream being cut while its targets are briefly unusable.
func TestQueuedRestWaitsForATarget(t *testing.T) {
	h := newTestHost(t, 2, ampleBudget)
	h.now = h.now.Add(retry.Window)
	var fill []event.Dispatch
	d := h.beginStream()
	for {
		h.n++
		sent, ok := pick[event.Dispatch](h.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("fill", h.n)), Account: "callers", Profile: "draft", Deadline: h.now.Add(10 * time.Second),
		}}))
		if !ok {
			break
		}
		fill = append(fill, sent)
	}
	h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	h.now = h.now.Add(100 * time.Millisecond)
	h.step(event.Tick{})
	var none []event.Target
	effs := h.step(event.HostsRead{Version: 2, Complete: true, Targets: none})
	for _, f := range fill {
		effs = append(effs, h.step(event.AttemptEnded{Attempt: f.Attempt, Result: event.ResultDone})...)
	}
	for _, eff := range effs {
		if r, ok := eff.(event.Refuse); ok && r.Request == d.Request {
			t.Fatalf("the rest of the stream is cut: %+v", r)
		}
	}
	h.step(event.HostsRead{Version: 3, Complete: true, Targets: []event.Target{boardTarget("t8")}})
	h.now = h.now.Add(time.Second)
	if next, ok := pick[event.Dispatch](h.step(event.Tick{})); !ok || next.Request != d.Request || next.ResumeAfter != 5 {
		t.Errorf("the rest of the stream is not sent to the target that is available again: %+v", next)
	}
}

// Guards against a broken stream being cut immediately because the retry budget is briefly used
// up.
func TestRestOfAStreamWaitsForTheBudget(t *testing.T) {
	h := newTestHost(t, 3, core.Bounds{RetryRatio: 0.001, RetryFloor: 2})
	h.now = h.now.Add(retry.Window)
	failed := h.send("fetch")
	retried, ok := pick[event.Dispatch](h.endBriefly(event.AttemptEnded{Attempt: failed.Attempt, Result: event.ResultFailed, Status: 500, AnswerBuffered: true}))
	if !ok {
		t.Fatal("the call is not retried")
	}
	h.step(event.AttemptEnded{Attempt: retried.Attempt, Result: event.ResultDone})
	h.now = h.now.Add(retry.Window - 2500*time.Millisecond)
	d := h.beginStream()
	effs := h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	if r, ok := pick[event.Refuse](effs); ok {
		t.Fatalf("the stream is cut with 8 s left: %+v", r)
	}
	h.now = h.now.Add(600 * time.Millisecond)
	effs = h.step(event.Tick{})
	h.now = h.now.Add(100 * time.Millisecond)
	effs = append(effs, h.step(event.Tick{})...)
	if next, ok := pick[event.Dispatch](effs); !ok || next.Request != d.Request || next.ResumeAfter != 5 {
		t.Errorf("the stream is not resumed when the budget allows it: %v", effs)
	}
}

// Guards against a stream that will never get a retry being held until its deadline.
func TestRestOfAStreamWithoutBudgetIsCutWithinSeconds(t *testing.T) {
	h := newTestHost(t, 3, core.Bounds{RetryRatio: 0.001})
	h.now = h.now.Add(retry.Window)
	d := h.beginStream()
	effs := h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	for range 30 {
		h.now = h.now.Add(100 * time.Millisecond)
		effs = append(effs, h.step(event.Tick{})...)
	}
	r, ok := pick[event.Refuse](effs)
	broke := event.Ending{Side: event.SideTarget, Reason: event.ReasonClosed}
	if diff := cmp.Diff([]any{true, event.DeniedBudget, broke}, []any{ok, r.Denial.Reason, r.Ending}); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}
