package core_test

import (
	"fmt"
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

// The failure of a second target ends a broken stream as complete.
func TestHeldFailureIsNotForHalfAStream(t *testing.T) {
	p := newTestHost(t, 3, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	p.now = p.now.Add(retry.Window)
	d := p.send("draft")
	if d.IdleTimeouts.First == 0 || d.IdleTimeouts.Gap == 0 {
		t.Errorf("a stream that may be resumed is waited for without bound: %+v", d.IdleTimeouts)
	}
	effs := p.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 4, Generated: 4})
	again, ok := pick[event.Dispatch](effs)
	if !ok || again.Resume != 4 {
		t.Fatalf("the stream does not go on after event 4: %v", effs)
	}
	p.step(event.AttemptSent{Attempt: again.Attempt})
	effs = p.end(event.AttemptEnded{Attempt: again.Attempt, Result: event.ResultFailed, Status: 500, Held: true, Delivered: 4})
	if f, ok := pick[event.Finish](effs); ok {
		t.Errorf("half a stream is sent to the caller as a whole one: %+v", f)
	}
}

// The rest of a stream is dropped after another region has refused it.
func TestRestOfAStreamThatIsTurnedAwayIsPlacedAgain(t *testing.T) {
	p := newTestHost(t, 1, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	p.now = p.now.Add(retry.Window)
	p.step(event.HostsRead{Version: 2, Complete: true, Targets: []event.Target{boardTarget("t0")}})
	east := event.Place{DataCentre: "east-a", Region: "east", Reach: "east"}
	report := func(seq uint64) {
		p.step(event.SummaryReceived{Summary: event.Summary{
			From: "e1", Place: east, Incarnation: 1, Seq: seq, HostsHash: 7,
			Hosts: []event.Host{{ID: "e1", Incarnation: 1, Place: east}},
			Pools: []event.Pool{{Service: "board", Targets: 1, Slots: 64, Free: 64, Offer: 64}},
		}})
	}
	report(1)
	d := p.send("draft")
	p.step(event.FirstToken{Attempt: d.Attempt})
	effs := p.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	fwd, ok := pick[event.Forward](effs)
	if !ok || fwd.Resume != 5 {
		t.Fatalf("the rest of the stream is not passed on: %v", effs)
	}
	p.step(event.HostsRead{Version: 3, Complete: true, Targets: []event.Target{boardTarget("t0"), boardTarget("t1")}})
	effs = p.end(event.AttemptEnded{Attempt: fwd.Envelope.Attempt, Result: event.ResultNotRun, Code: codes.TurnedAway.ID, Delivered: 5})
	if r, ok := pick[event.Refuse](effs); ok {
		t.Fatalf("the rest of the stream is refused: %+v", r)
	}
	if d, ok := pick[event.Dispatch](effs); !ok || d.Target.ID != "t1" || d.Resume != 5 {
		t.Errorf("the rest of the stream is not sent to the target that is there now: %v", effs)
	}
}

// newResumedStream returns a host before some targets, one of which has broken off a stream, and the rest of
// the stream as it is sent to a second one, the last that may get it.
func newResumedStream(t *testing.T, targets int) (*testHost, event.Dispatch) {
	t.Helper()
	p := newTestHost(t, targets, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	p.now = p.now.Add(retry.Window)
	d := p.send("draft")
	p.step(event.FirstToken{Attempt: d.Attempt})
	effs := p.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 5, Generated: 5})
	rest, ok := pick[event.Dispatch](effs)
	if !ok || rest.Target.ID == d.Target.ID {
		t.Fatalf("the rest of the stream is not sent to another target: %v", effs)
	}
	return p, rest
}

// The rest of a stream is cut when the last target that may get it sheds it once.
func TestRestOfAStreamOutlastsAShedAtItsLastTarget(t *testing.T) {
	p, rest := newResumedStream(t, 3)
	for range 3 {
		p.step(event.AttemptSent{Attempt: rest.Attempt})
		effs := p.end(event.AttemptEnded{Attempt: rest.Attempt, Result: event.ResultNotRun, Delivered: 5, RetryAfter: 200 * time.Millisecond})
		again, ok := pick[event.Dispatch](effs)
		if !ok || again.Target.ID != rest.Target.ID || again.Resume != 5 {
			t.Fatalf("the rest of the stream is not sent to the target that shed it: %v", effs)
		}
		rest = again
	}
	p.step(event.AttemptSent{Attempt: rest.Attempt})
	effs := p.end(event.AttemptEnded{Attempt: rest.Attempt, Result: event.ResultBroken, Resumable: true, Delivered: 6, Generated: 1})
	if _, ok := pick[event.Dispatch](effs); ok {
		t.Error("a stream that has broken off at as many targets as may get it is sent once more")
	}
}

// A stream that is bound to a full target holds up requests that another target has room for.
func TestBoundStreamHoldsUpNoOther(t *testing.T) {
	p, rest := newResumedStream(t, 2)
	p.step(event.AttemptSent{Attempt: rest.Attempt})
	p.step(event.AttemptEnded{Attempt: rest.Attempt, Result: event.ResultNotRun, Delivered: 5, RetryAfter: 2 * time.Second})
	var there, elsewhere []event.Dispatch
	for i := 0; ; i++ {
		sent, ok := pick[event.Dispatch](p.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("fill", i)), Account: "callers", Profile: "draft", Deadline: p.now.Add(10 * time.Second),
		}}))
		if !ok {
			break
		}
		p.step(event.AttemptSent{Attempt: sent.Attempt})
		if sent.Target.ID == rest.Target.ID {
			there = append(there, sent)
		} else {
			elsewhere = append(elsewhere, sent)
		}
	}
	p.now = p.now.Add(2 * time.Second)
	p.step(event.Tick{})
	p.step(event.RequestArrived{Request: event.Request{ID: "queued", Account: "callers", Profile: "draft", Deadline: p.now.Add(10 * time.Second)}})
	if next, ok := p.endUntilSent(elsewhere, "queued"); !ok {
		t.Fatalf("a queued request is not sent to the target with room: %v", next)
	}
	if again, ok := p.endUntilSent(there, rest.Request); !ok || again.Target.ID != rest.Target.ID {
		t.Errorf("the rest of the stream is not sent once its target has room: %v", again)
	}
}

// endUntilSent ends attempts one after the other until a request is sent.
func (p *testHost) endUntilSent(ds []event.Dispatch, id ident.RequestID) (event.Dispatch, bool) {
	for _, d := range ds {
		for _, eff := range p.endBriefly(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone}) {
			if sent, ok := eff.(event.Dispatch); ok && sent.Request == id {
				return sent, true
			}
		}
	}
	return event.Dispatch{}, false
}

// The target of the rest of a stream is bound to it for longer than its caller waits.
func TestRestOfAStreamEndsWithItsDeadline(t *testing.T) {
	p, rest := newResumedStream(t, 3)
	p.step(event.AttemptSent{Attempt: rest.Attempt})
	effs := p.end(event.AttemptEnded{Attempt: rest.Attempt, Result: event.ResultNotRun, Delivered: 5, RetryAfter: 20 * time.Second})
	if _, ok := pick[event.Refuse](effs); !ok {
		t.Errorf("a stream whose target has no room before its deadline is not ended: %v", effs)
	}
}

// The rest of a stream is refused after the goal of a new request.
func TestForwardedRestIsQueuedPastTheGoal(t *testing.T) {
	for _, begun := range []bool{true, false} {
		p := newTestHost(t, 1, core.Bounds{})
		for i := 0; ; i++ {
			_, ok := pick[event.Dispatch](p.step(event.RequestArrived{Request: event.Request{
				ID: ident.RequestID(fmt.Sprint("home", i)), Account: "callers", Profile: "draft", Deadline: p.now.Add(10 * time.Second),
			}}))
			if !ok {
				break
			}
		}
		from := event.Place{DataCentre: "east-a", Region: "east", Reach: "east"}
		effs := p.step(event.RequestArrived{Request: event.Request{
			ID: "rest", Account: "callers", Profile: "draft", Service: "board", Begun: begun, Deadline: p.now.Add(8 * time.Second),
			Envelope: value.Some(event.Envelope{Attempt: ident.Attempt{Entry: "e1", Incarnation: 1, Number: 1}, To: 1, From: "e1", FromPlace: from, Crossings: 1}),
		}})
		for range 40 {
			p.now = p.now.Add(50 * time.Millisecond)
			effs = append(effs, p.red.Step(p.now, event.Tick{})...)
		}
		var refused codes.ID
		for _, eff := range effs {
			if r, ok := eff.(event.Refuse); ok && r.Request == "rest" {
				refused = r.Code
			}
		}
		want := codes.TurnedAway.ID
		if begun {
			want = ""
		}
		if diff := cmp.Diff(want, refused); diff != "" {
			t.Errorf("begun %v: refused after 2 s with (-want +got):\n%s", begun, diff)
		}
	}
}
