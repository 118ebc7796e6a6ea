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

// beginStream sends a stream whose first events come, and then nothing.
func (p *testHost) beginStream() event.Dispatch {
	p.t.Helper()
	d := p.send("draft")
	p.step(event.FirstToken{Attempt: d.Attempt})
	p.silentSince = p.now
	p.now = p.now.Add(2 * time.Second)
	return d
}

func (p *testHost) reportSilence(a ident.Attempt) []event.Effect {
	return p.step(event.AttemptSilent{Attempt: a, Since: p.silentSince, Begun: true})
}

// A stream is cut for a silence although no other attempt can follow.
func TestSilentStreamIsKeptWhereNoAttemptCanFollow(t *testing.T) {
	for _, tc := range []struct {
		reason  event.DenialReason
		targets int
		bounds  core.Bounds
		before  func(p *testHost)
	}{
		{event.DeniedPlace, 1, ampleBudget, func(*testHost) {}},
		{event.DeniedBudget, 3, core.Bounds{RetryRatio: 0.001}, func(*testHost) {}},
		{event.DeniedTime, 3, ampleBudget, func(p *testHost) { p.now = p.now.Add(7990 * time.Millisecond) }},
	} {
		t.Run(string(tc.reason), func(t *testing.T) {
			p := newTestHost(t, tc.targets, tc.bounds)
			p.now = p.now.Add(retry.Window)
			d := p.beginStream()
			tc.before(p)
			effs := p.reportSilence(d.Attempt)
			if _, ok := pick[event.BreakOff](effs); ok {
				t.Fatal("it is broken off")
			}
			kept, ok := pick[event.KeepAttempt](effs)
			if diff := cmp.Diff(tc.reason, kept.Denial.Reason); !ok || diff != "" {
				t.Errorf("reason (-want +got):\n%s", diff)
			}
			effs = p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone, Delivered: 5})
			if f, ok := pick[event.Finish](effs); !ok || f.Outcome != event.Done {
				t.Errorf("its end is not delivered: %v", effs)
			}
		})
	}
}

// A stream at its last attempt is cut for a silence.
func TestSilentStreamIsKeptAtItsLastAttempt(t *testing.T) {
	p, rest := newResumedStream(t, 4)
	p.step(event.AttemptSent{Attempt: rest.Attempt})
	p.step(event.FirstToken{Attempt: rest.Attempt})
	p.now = p.now.Add(2 * time.Second)
	kept, ok := pick[event.KeepAttempt](p.reportSilence(rest.Attempt))
	if !ok || kept.Denial.Reason != event.DeniedAttempts {
		t.Errorf("at its last attempt: %+v", kept)
	}
}

// The retry that a silent stream was broken off for is denied to it, or taken twice from the budget.
func TestSilentStreamIsBrokenOffWithItsRetryTaken(t *testing.T) {
	p := newTestHost(t, 3, core.Bounds{RetryRatio: 0.001, RetryFloor: 2})
	p.now = p.now.Add(retry.Window)
	first, second := p.beginStream(), p.beginStream()
	if _, ok := pick[event.BreakOff](p.reportSilence(first.Attempt)); !ok {
		t.Fatal("it is kept although another target can go on")
	}
	if effs := p.reportSilence(first.Attempt); len(effs) > 0 {
		if _, ok := pick[event.BreakOff](effs); ok {
			t.Error("it is broken off twice")
		}
	}
	kept, _ := pick[event.KeepAttempt](p.reportSilence(second.Attempt))
	if diff := cmp.Diff(event.DeniedBudget, kept.Denial.Reason); diff != "" {
		t.Errorf("the other stream, with the budget used up (-want +got):\n%s", diff)
	}
	effs := p.step(event.AttemptEnded{Attempt: first.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	next, ok := pick[event.Dispatch](effs)
	if !ok || next.Resume != 5 || next.Target.ID == first.Target.ID {
		t.Errorf("it does not go on elsewhere at once: %v", effs)
	}
}

// A request whose answer has not begun stays at a silent target although it could be queued.
func TestSilentAttemptWithoutAnAnswerIsQueued(t *testing.T) {
	for _, begun := range []bool{false, true} {
		p := newTestHost(t, 2, ampleBudget)
		p.now = p.now.Add(retry.Window)
		d := p.send("draft")
		for i := 0; ; i++ {
			if _, ok := pick[event.Dispatch](p.step(event.RequestArrived{Request: event.Request{
				ID: ident.RequestID(fmt.Sprint("fill", i)), Account: "callers", Profile: "draft", Deadline: p.now.Add(10 * time.Second),
			}})); !ok {
				break
			}
		}
		_, off := pick[event.BreakOff](p.step(event.AttemptSilent{Attempt: d.Attempt, Since: p.now.Add(-time.Second), Begun: begun}))
		if diff := cmp.Diff(!begun, off); diff != "" {
			t.Errorf("begun %v: broken off with all targets full (-want +got):\n%s", begun, diff)
		}
	}
}

// A stream that went on after it was to be broken off is never broken off again, or takes a second
// retry from the budget.
func TestStreamThatContinuedIsBrokenOffLater(t *testing.T) {
	p := newTestHost(t, 3, core.Bounds{RetryRatio: 0.001, RetryFloor: 2})
	p.now = p.now.Add(retry.Window)
	d := p.beginStream()
	for range 2 {
		if _, ok := pick[event.BreakOff](p.reportSilence(d.Attempt)); !ok {
			t.Fatal("it is not broken off")
		}
		p.silentSince = p.now
		p.now = p.now.Add(3 * time.Second)
	}
}

// A begun stream that is queued is cut while its targets can't be used for a moment.
func TestQueuedRestWaitsForATarget(t *testing.T) {
	p := newTestHost(t, 2, ampleBudget)
	p.now = p.now.Add(retry.Window)
	var fill []event.Dispatch
	d := p.beginStream()
	for {
		p.n++
		sent, ok := pick[event.Dispatch](p.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("fill", p.n)), Account: "callers", Profile: "draft", Deadline: p.now.Add(10 * time.Second),
		}}))
		if !ok {
			break
		}
		fill = append(fill, sent)
	}
	p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	p.now = p.now.Add(100 * time.Millisecond)
	p.step(event.Tick{})
	var none []event.Target
	effs := p.step(event.HostsRead{Version: 2, Complete: true, Targets: none})
	for _, f := range fill {
		effs = append(effs, p.step(event.AttemptEnded{Attempt: f.Attempt, Result: event.ResultDone})...)
	}
	for _, eff := range effs {
		if r, ok := eff.(event.Refuse); ok && r.Request == d.Request {
			t.Fatalf("the rest is cut: %+v", r)
		}
	}
	p.step(event.HostsRead{Version: 3, Complete: true, Targets: []event.Target{boardTarget("t8")}})
	p.now = p.now.Add(time.Second)
	if next, ok := pick[event.Dispatch](p.step(event.Tick{})); !ok || next.Request != d.Request || next.Resume != 5 {
		t.Errorf("the rest is not sent to the target that is back: %+v", next)
	}
}

// A stream that broke off is cut at once because the retry budget is used up for a moment.
func TestRestOfAStreamWaitsForTheBudget(t *testing.T) {
	p := newTestHost(t, 3, core.Bounds{RetryRatio: 0.25})
	p.now = p.now.Add(retry.Window)
	d := p.beginStream()
	effs := p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	if r, ok := pick[event.Refuse](effs); ok {
		t.Fatalf("it is cut with 8 s left: %+v", r)
	}
	for range 8 {
		next := p.send("fetch")
		p.step(event.AttemptEnded{Attempt: next.Attempt, Result: event.ResultDone})
	}
	p.now = p.now.Add(600 * time.Millisecond)
	effs = p.step(event.Tick{})
	p.now = p.now.Add(100 * time.Millisecond)
	effs = append(effs, p.step(event.Tick{})...)
	if next, ok := pick[event.Dispatch](effs); !ok || next.Request != d.Request || next.Resume != 5 {
		t.Errorf("it does not go on when the budget allows it: %v", effs)
	}
}

// A stream that may never go on is held until its deadline.
func TestRestOfAStreamWithoutBudgetIsCutWithinSeconds(t *testing.T) {
	p := newTestHost(t, 3, core.Bounds{RetryRatio: 0.001})
	p.now = p.now.Add(retry.Window)
	d := p.beginStream()
	effs := p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	for range 30 {
		p.now = p.now.Add(100 * time.Millisecond)
		effs = append(effs, p.step(event.Tick{})...)
	}
	r, ok := pick[event.Refuse](effs)
	broke := event.Ending{Side: event.SideTarget, Reason: event.ReasonClosed}
	if diff := cmp.Diff([]any{true, event.DeniedBudget, broke}, []any{ok, r.Denial.Reason, r.Ending}); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}
