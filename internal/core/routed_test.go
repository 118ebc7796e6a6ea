package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Guards against retries that exceed the budget when a target fails.
func TestRetriesKeepToTheBudget(t *testing.T) {
	h := newTestHost(t, 4, core.Bounds{RetryRatio: 0.2, RetryFloor: 10})
	h.now = h.now.Add(retry.Window)
	retries, failures := 0, 0
	const calls = 200
	for range calls {
		d := h.send("fetch")
		effs := h.endBriefly(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultFailed, Status: 500, AnswerBuffered: true})
		if retried, ok := pick[event.Dispatch](effs); ok {
			retries++
			if retried.Target.ID == d.Target.ID {
				t.Fatalf("retried at %s, where it had failed", d.Target.ID)
			}
			h.step(event.AttemptEnded{Attempt: retried.Attempt, Result: event.ResultDone})
		} else if f, ok := pick[event.Finish](effs); ok && f.Outcome == event.Done {
			failures++
		}
	}
	if maxRetries := calls/5 + 10; retries == 0 || retries > maxRetries {
		t.Errorf("%d retries of %d calls, at most %d are allowed", retries, calls, maxRetries)
	}
	if retries+failures != calls {
		t.Errorf("%d calls were retried and %d got the failure, of %d", retries, failures, calls)
	}
}

// Guards against a call that is not idempotent being sent again, or being reported as not run.
func TestRoutedOnceIsNeverRepeated(t *testing.T) {
	for _, res := range []event.Result{event.ResultBroken, event.ResultFailed} {
		h := newTestHost(t, 4, core.Bounds{RetryRatio: 1, RetryFloor: 100})
		d := h.send("publish")
		if !d.AtMostOnce || d.IdleTimeouts != (event.IdleTimeouts{}) {
			t.Errorf("a call that may run only once is dispatched as %+v", d)
		}
		effs := h.end(event.AttemptEnded{Attempt: d.Attempt, Result: res})
		if _, ok := pick[event.Dispatch](effs); ok {
			t.Errorf("%s: the call is sent again", res)
		}
		if r, ok := pick[event.Refuse](effs); !ok || r.Outcome != event.Unknown {
			t.Errorf("%s: the caller gets %+v", res, r)
		}
	}
}

// Guards against a request that was never sent to its target not being tried at another one.
func TestUnsentIsRetriedElsewhere(t *testing.T) {
	h := newTestHost(t, 3, core.Bounds{})
	h.n++
	effs := h.step(event.RequestArrived{Request: event.Request{ID: "r", Account: "callers", Profile: "publish", Deadline: h.now.Add(10 * time.Second)}})
	d, _ := pick[event.Dispatch](effs)
	effs = h.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultNotRun})
	retried, ok := pick[event.Dispatch](effs)
	if !ok || retried.Target.ID == d.Target.ID {
		t.Fatalf("the request is not retried elsewhere: %v", effs)
	}
	effs = h.end(event.AttemptEnded{Attempt: retried.Attempt, Result: event.ResultNotRun})
	if _, ok := pick[event.Dispatch](effs); !ok {
		t.Error("a third target is not tried")
	}
}

// Guards against a request that can't start in time being queued until its deadline.
func TestRequestThatCannotStartInTimeIsRefused(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{})
	long := func(i int) []event.Effect {
		return h.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("long", i)), Account: "callers", Profile: "draft", Prompt: 50000, MaxTokens: 400,
			Deadline: h.now.Add(10 * time.Second),
		}})
	}
	d, _ := pick[event.Dispatch](long(0))
	h.step(event.AttemptSent{Attempt: d.Attempt})
	h.now = h.now.Add(time.Second)
	h.step(event.FirstToken{Attempt: d.Attempt})
	refused := 0
	for i := range 400 {
		effs := long(i + 1)
		r, ok := pick[event.Refuse](effs)
		if !ok {
			continue
		}
		refused++
		if diff := cmp.Diff([]any{codes.Overloaded.ID, event.NotRun, true}, []any{r.Code, r.Outcome, r.RetryAfter > 0}); diff != "" {
			t.Fatalf("refusal (-want +got):\n%s", diff)
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// Guards against a request being refused although a slot is about to become free.
func TestBriefWaitIsQueued(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{})
	arrive := func(i int) []event.Effect {
		return h.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("q", i)), Account: "callers", Profile: "draft", Prompt: 10, MaxTokens: 4000,
			Deadline: h.now.Add(10 * time.Second),
		}})
	}
	var first event.Dispatch
	for i := range 200 {
		effs := arrive(i)
		d, ok := pick[event.Dispatch](effs)
		if i == 0 {
			first = d
		}
		if ok {
			continue
		}
		if r, refused := pick[event.Refuse](effs); refused {
			t.Fatalf("request %d is refused with %s", i, r.Code)
		}
		h.step(event.FirstToken{Attempt: first.Attempt})
		h.now = h.now.Add(100 * time.Millisecond)
		effs = h.step(event.AttemptEnded{Attempt: first.Attempt, Result: event.ResultDone, Generated: 5, Delivered: 5})
		if d, ok := pick[event.Dispatch](effs); !ok || d.Request != ident.RequestID(fmt.Sprint("q", i)) {
			t.Fatalf("the queued request is not sent when a slot is free: %v", effs)
		}
		if r, refused := pick[event.Refuse](arrive(1000)); refused {
			t.Fatalf("after a complete answer the next request is refused with %s", r.Code)
		}
		return
	}
	t.Fatal("the engine is never full")
}

// Guards against late answers under load being aborted and computed twice.
func TestIdleTimeoutFollowsTheRoute(t *testing.T) {
	h := newTestHost(t, 3, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	before := h.send("draft").IdleTimeouts.First
	for range 20 {
		d := h.send("draft")
		h.now = h.now.Add(1500 * time.Millisecond)
		h.step(event.FirstToken{Attempt: d.Attempt})
		h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	}
	after := h.send("draft").IdleTimeouts.First
	if before > time.Second || after < 1500*time.Millisecond {
		t.Errorf("an attempt may be silent for %s at first and %s once answers take 1.5 s", before, after)
	}
}

// Guards against a late stream being prefilled a second time when a retry can't meet the goal
// either.
func TestLateStreamsAreNotPrefilledTwice(t *testing.T) {
	h := newTestHost(t, 3, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	for range 20 {
		d := h.send("draft")
		h.now = h.now.Add(900 * time.Millisecond)
		h.step(event.FirstToken{Attempt: d.Attempt})
		h.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	}
	if got := h.send("draft").IdleTimeouts.First; got < time.Second {
		t.Errorf("an attempt may be silent for %s though answers begin after 0.9 s and the goal has passed by then", got)
	}
}

// Guards against a request being queued until its caller has no time left to come back.
func TestQueueingLeavesTimeToComeBack(t *testing.T) {
	h := newTestHost(t, 1, core.Bounds{})
	for range 200 {
		h.now = h.now.Add(-time.Millisecond)
		effs := h.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("fill", h.n)), Account: "callers", Profile: "draft", Deadline: h.now.Add(600 * time.Millisecond),
		}})
		h.n++
		if _, sent := pick[event.Dispatch](effs); sent {
			continue
		}
		began := h.now
		for range 600 {
			for _, eff := range h.step(event.Tick{}) {
				if r, ok := eff.(event.Refuse); ok {
					if waited := h.now.Sub(began); waited > 350*time.Millisecond || r.Outcome != event.NotRun {
						t.Errorf("refused after %s of 600 ms as %s", waited, r.Outcome)
					}
					return
				}
			}
		}
		t.Fatal("the request is never refused")
	}
	t.Fatal("the engine is never full")
}

// Guards against hosts that restart together exceeding the retry budget.
func TestNewHostRetriesNothingForAWindow(t *testing.T) {
	const hold = retry.Window + 2*time.Second
	h := newTestHost(t, 4, core.Bounds{RetryRatio: 0.001, RetryFloor: 50, RetryHold: hold})
	countRetries := func() int {
		n := 0
		for range 60 {
			d := h.send("fetch")
			effs := h.endBriefly(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultFailed, Status: 500, AnswerBuffered: true})
			if retried, ok := pick[event.Dispatch](effs); ok {
				n++
				h.step(event.AttemptEnded{Attempt: retried.Attempt, Result: event.ResultDone})
			}
		}
		return n
	}
	if n := countRetries(); n != 0 {
		t.Errorf("a host that has just started makes %d retries of 40", n)
	}
	h.now = h.now.Add(hold)
	if n := countRetries(); n != 40 {
		t.Errorf("a host that has run for a window makes %d retries of 40", n)
	}
}

// Guards against a newly started host refusing a request that can run in a region that it has not
// discovered yet.
func TestNewHostQueuesDuringDiscovery(t *testing.T) {
	h := newTestHost(t, 0, core.Bounds{})
	id := ident.RequestID("early")
	effs := h.step(event.RequestArrived{Request: event.Request{
		ID: id, Account: "callers", Profile: "draft", Deadline: h.now.Add(3 * time.Second),
	}})
	if r, refused := pick[event.Refuse](effs); refused {
		t.Fatalf("refused with %s immediately", r.Code)
	}
	var refused bool
	began := h.now
	for range 40 {
		h.now = h.now.Add(50 * time.Millisecond)
		if _, ok := pick[event.Refuse](h.step(event.Tick{})); ok {
			refused = true
			break
		}
	}
	if waited := h.now.Sub(began); !refused || waited > 600*time.Millisecond {
		t.Errorf("refused: %v, after %s of a goal of 500 ms", refused, waited)
	}
}

// Guards against a prefix that a peer has sent to one target being prefilled again at another one,
// and against a holder being announced more than once.
func TestPeersAnnouncePrefixHolders(t *testing.T) {
	const blocks, own = 12, 4
	prompt := func(id string, h *testHost) event.Request {
		r := event.Request{
			ID: ident.RequestID(id), Account: "callers", Profile: "draft", Prompt: 512 * (blocks + own), SharedBlocks: blocks,
			Deadline: h.now.Add(10 * time.Second),
		}
		for i := range blocks {
			r.Prefix = append(r.Prefix, uint64(1000+i))
		}
		for i := range own {
			r.Prefix = append(r.Prefix, rank.Combine(rank.Hash(id), uint64(i)))
		}
		return r
	}
	first := newTestHost(t, 6, core.Bounds{})
	unannounced, ok := pick[event.Dispatch](first.step(event.RequestArrived{Request: prompt("a", first)}))
	if !ok {
		t.Fatal("the first prompt is not sent")
	}
	holder := event.PrefixHolder{LastBlock: 1000 + blocks - 1}
	for i := range 6 {
		if id := ident.TargetID(fmt.Sprint("t", i)); id != unannounced.Target.ID {
			holder.Target = event.TargetKey(rank.Hash(string(id)))
		}
	}
	second := newTestHost(t, 6, core.Bounds{})
	peer := event.Host{ID: "w2", Incarnation: 1, Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}}
	second.step(event.DigestReceived{Digest: event.Digest{Host: peer, Seq: 1, Holders: []event.PrefixHolder{holder}}})
	d, ok := pick[event.Dispatch](second.step(event.RequestArrived{Request: prompt("b", second)}))
	if !ok {
		t.Fatal("the second prompt is not sent")
	}
	if event.TargetKey(rank.Hash(string(d.Target.ID))) != holder.Target && d.CopyFrom.Target == "" {
		t.Errorf("the prefix is prefilled again at %s, although a peer has announced its holder", d.Target.ID)
	}
	var announced []event.PrefixHolder
	for range 3 {
		second.now = second.now.Add(time.Second)
		for _, eff := range second.step(event.Tick{}) {
			if s, ok := eff.(event.SendDigest); ok {
				announced = append(announced, s.Digest.Holders...)
			}
		}
	}
	if len(announced) > 1 {
		t.Errorf("announced to peers %d times", len(announced))
	}
}
