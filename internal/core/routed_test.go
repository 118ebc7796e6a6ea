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
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// post is one host before targets of a route, stepped by hand.
type post struct {
	t   *testing.T
	red *core.Reducer
	now ident.Time
	n   int
	// quiet is when the last event of the streams came.
	quiet ident.Time
}

func routeProfile(name string, kind rules.RouteKind, attempts int) rules.Profile {
	return rules.Profile{
		Name: ident.Profile(name), MaxCrossings: 1, Weights: rules.Weights{Tail: 1},
		Route: &rules.Route{
			Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, TimeoutMs: 10000, GoalMs: 500, GapMs: 300,
			Resumable: kind == rules.Streaming && attempts > 1, Shares: []rules.Share{{Service: "board", Weight: 1}},
		},
	}
}

func newPost(t *testing.T, targets int, bounds core.Bounds) *post {
	t.Helper()
	place := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	p := &post{t: t, red: core.NewBounded(event.Host{ID: "w1", Incarnation: 1, Place: place}, bounds), now: ident.Time(time.Second)}
	p.step(event.SnapshotReceived{Book: rules.FromSheet(1, rules.Sheet{
		Profiles: []rules.Profile{
			routeProfile("fetch", rules.Idempotent, 2), routeProfile("publish", rules.NonIdempotent, 1), routeProfile("draft", rules.Streaming, 2),
		},
		Clients: []rules.Client{{Name: "callers"}},
	})})
	var ts []event.Target
	for i := range targets {
		ts = append(ts, event.Target{
			ID: ident.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Kind: event.Service, Service: "board", Place: place, Capacity: 64,
		})
	}
	p.step(event.HostsRead{Version: 1, Complete: true, Targets: ts})
	return p
}

func (p *post) step(ev event.Event) []event.Effect {
	p.now = p.now.Add(time.Millisecond)
	return p.red.Step(p.now, ev)
}

// pick returns the first effect of a type.
func pick[T event.Effect](effs []event.Effect) (T, bool) {
	for _, eff := range effs {
		if e, ok := eff.(T); ok {
			return e, true
		}
	}
	var zero T
	return zero, false
}

func (p *post) send(profile string) event.Dispatch {
	p.t.Helper()
	p.n++
	effs := p.step(event.RequestArrived{Request: event.Request{
		ID: ident.RequestID(fmt.Sprint("r", p.n)), Account: "callers", Profile: ident.Profile(profile), Deadline: p.now.Add(10 * time.Second),
	}})
	d, ok := pick[event.Dispatch](effs)
	if !ok {
		p.t.Fatalf("%s is not sent: %v", profile, effs)
	}
	p.step(event.AttemptSent{Attempt: d.Attempt})
	return d
}

// end ends an attempt and returns what was decided within a second.
func (p *post) end(e event.AttemptEnded) []event.Effect {
	effs := p.step(e)
	for range 20 {
		p.now = p.now.Add(50 * time.Millisecond)
		effs = append(effs, p.red.Step(p.now, event.Tick{})...)
	}
	return effs
}

// Retries exceed the budget of a failing target.
func TestSecondTriesKeepToTheBudget(t *testing.T) {
	p := newPost(t, 4, core.Bounds{RetryRatio: 0.2, RetryFloor: 10})
	p.now = p.now.Add(retry.Window)
	tries, held := 0, 0
	const calls = 200
	for range calls {
		d := p.send("fetch")
		effs := p.end2(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultFailed, Status: 500, Held: true})
		if again, ok := pick[event.Dispatch](effs); ok {
			tries++
			if again.Target.ID == d.Target.ID {
				t.Fatalf("tried again at %s, where it had failed", d.Target.ID)
			}
			p.step(event.AttemptEnded{Attempt: again.Attempt, Result: event.ResultDone})
		} else if f, ok := pick[event.Finish](effs); ok && f.Outcome == event.Done {
			held++
		}
	}
	if most := calls/5 + 10; tries == 0 || tries > most {
		t.Errorf("%d second tries of %d calls, at most %d are allowed", tries, calls, most)
	}
	if tries+held != calls {
		t.Errorf("%d calls were tried again and %d got the failure, of %d", tries, held, calls)
	}
}

// end2 is end within a tenth of a second.
func (p *post) end2(e event.AttemptEnded) []event.Effect {
	effs := p.step(e)
	p.now = p.now.Add(60 * time.Millisecond)
	return append(effs, p.red.Step(p.now, event.Tick{})...)
}

// A call that is not idempotent is repeated, or promised not to have run.
func TestRoutedOnceIsNeverRepeated(t *testing.T) {
	for _, res := range []event.Result{event.ResultBroken, event.ResultFailed} {
		p := newPost(t, 4, core.Bounds{RetryRatio: 1, RetryFloor: 100})
		d := p.send("publish")
		if !d.Once || d.IdleTimeouts != (event.IdleTimeouts{}) {
			t.Errorf("a call that may run once goes out as %+v", d)
		}
		effs := p.end(event.AttemptEnded{Attempt: d.Attempt, Result: res})
		if _, ok := pick[event.Dispatch](effs); ok {
			t.Errorf("%s: it is sent again", res)
		}
		if r, ok := pick[event.Refuse](effs); !ok || r.Outcome != event.Unknown {
			t.Errorf("%s: the caller gets %+v", res, r)
		}
	}
}

// A request that was never sent is not tried elsewhere.
func TestUnsentGoesElsewhere(t *testing.T) {
	p := newPost(t, 3, core.Bounds{})
	p.n++
	effs := p.step(event.RequestArrived{Request: event.Request{ID: "r", Account: "callers", Profile: "publish", Deadline: p.now.Add(10 * time.Second)}})
	d, _ := pick[event.Dispatch](effs)
	effs = p.end(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultNotRun})
	again, ok := pick[event.Dispatch](effs)
	if !ok || again.Target.ID == d.Target.ID {
		t.Fatalf("not tried elsewhere: %v", effs)
	}
	effs = p.end(event.AttemptEnded{Attempt: again.Attempt, Result: event.ResultNotRun})
	if _, ok := pick[event.Dispatch](effs); !ok {
		t.Error("a third target is not tried")
	}
}

// The failure of a second target ends a broken stream as complete.
func TestHeldFailureIsNotForHalfAStream(t *testing.T) {
	p := newPost(t, 3, core.Bounds{RetryRatio: 1, RetryFloor: 100})
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

// A request that can't start in time is held until its deadline.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	p := newPost(t, 1, core.Bounds{})
	long := func(i int) []event.Effect {
		return p.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("long", i)), Account: "callers", Profile: "draft", Prompt: 50000, MaxTokens: 400,
			Deadline: p.now.Add(10 * time.Second),
		}})
	}
	d, _ := pick[event.Dispatch](long(0))
	p.step(event.AttemptSent{Attempt: d.Attempt})
	p.now = p.now.Add(time.Second)
	p.step(event.FirstToken{Attempt: d.Attempt})
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

// A draining host refuses callers at once, or serves them for too long.
func TestDrainingServesForAWhile(t *testing.T) {
	p := newPost(t, 1, core.Bounds{DrainServe: 2 * time.Second, DrainLeast: 3 * time.Second})
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
func TestNothingIsTakenAfterTheDrain(t *testing.T) {
	p := newPost(t, 1, core.Bounds{DrainServe: time.Second, DrainLeast: 2 * time.Second, DrainEnd: 9 * time.Second})
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
	p := newPost(t, 1, core.Bounds{DrainServe: time.Second, DrainEnd: 9 * time.Second})
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

// The rest of a stream is dropped after another region has refused it.
func TestRestOfAStreamThatIsTurnedAwayIsPlacedAgain(t *testing.T) {
	p := newPost(t, 1, core.Bounds{RetryRatio: 1, RetryFloor: 100})
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

// newRest returns a host before some targets, one of which has broken off a stream, and the rest of
// the stream as it is sent to a second one, the last that may get it.
func newRest(t *testing.T, targets int) (*post, event.Dispatch) {
	t.Helper()
	p := newPost(t, targets, core.Bounds{RetryRatio: 1, RetryFloor: 100})
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
	p, rest := newRest(t, 3)
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
	p, rest := newRest(t, 2)
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
func (p *post) endUntilSent(ds []event.Dispatch, id ident.RequestID) (event.Dispatch, bool) {
	for _, d := range ds {
		for _, eff := range p.end2(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone}) {
			if sent, ok := eff.(event.Dispatch); ok && sent.Request == id {
				return sent, true
			}
		}
	}
	return event.Dispatch{}, false
}

// The target of the rest of a stream is bound to it for longer than its caller waits.
func TestRestOfAStreamEndsWithItsDeadline(t *testing.T) {
	p, rest := newRest(t, 3)
	p.step(event.AttemptSent{Attempt: rest.Attempt})
	effs := p.end(event.AttemptEnded{Attempt: rest.Attempt, Result: event.ResultNotRun, Delivered: 5, RetryAfter: 20 * time.Second})
	if _, ok := pick[event.Refuse](effs); !ok {
		t.Errorf("a stream whose target has no room before its deadline is not ended: %v", effs)
	}
}

func boardTarget(id ident.TargetID) event.Target {
	return event.Target{
		ID: id, Incarnation: 1, Kind: event.Service, Service: "board", Capacity: 64,
		Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"},
	}
}

// The rest of a stream is refused after the goal of a new request.
func TestRestOfAStreamIsHeldForAPlace(t *testing.T) {
	for _, begun := range []bool{true, false} {
		p := newPost(t, 1, core.Bounds{})
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

// The only host of a region refuses callers while it drains, or cuts their requests.
func TestDrainingServesWhatEndsInTime(t *testing.T) {
	p := newPost(t, 1, core.Bounds{DrainServe: 2 * time.Second, DrainLeast: 4 * time.Second, DrainEnd: 6 * time.Second})
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

// A request is refused though a slot is about to be free.
func TestBriefWaitIsNoRefusal(t *testing.T) {
	p := newPost(t, 1, core.Bounds{})
	arrive := func(i int) []event.Effect {
		return p.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("q", i)), Account: "callers", Profile: "draft", Prompt: 10, MaxTokens: 4000,
			Deadline: p.now.Add(10 * time.Second),
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
		p.step(event.FirstToken{Attempt: first.Attempt})
		p.now = p.now.Add(100 * time.Millisecond)
		effs = p.step(event.AttemptEnded{Attempt: first.Attempt, Result: event.ResultDone, Generated: 5, Delivered: 5})
		if d, ok := pick[event.Dispatch](effs); !ok || d.Request != ident.RequestID(fmt.Sprint("q", i)) {
			t.Fatalf("the request that waits is not sent when a place is free: %v", effs)
		}
		if r, refused := pick[event.Refuse](arrive(1000)); refused {
			t.Fatalf("after a whole answer the next request is refused with %s", r.Code)
		}
		return
	}
	t.Fatal("the engine is never full")
}

// Late answers under load are broken off and made twice.
func TestPatienceFollowsTheService(t *testing.T) {
	p := newPost(t, 3, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	before := p.send("draft").IdleTimeouts.First
	for range 20 {
		d := p.send("draft")
		p.now = p.now.Add(1500 * time.Millisecond)
		p.step(event.FirstToken{Attempt: d.Attempt})
		p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	}
	after := p.send("draft").IdleTimeouts.First
	if before > time.Second || after < 1500*time.Millisecond {
		t.Errorf("an attempt may be silent for %s at first and %s once answers take 1.5 s", before, after)
	}
}

// Late streams are prefilled a second time without gain.
func TestLateStreamsAreNotReadTwice(t *testing.T) {
	p := newPost(t, 3, core.Bounds{RetryRatio: 1, RetryFloor: 100})
	for range 20 {
		d := p.send("draft")
		p.now = p.now.Add(900 * time.Millisecond)
		p.step(event.FirstToken{Attempt: d.Attempt})
		p.step(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone})
	}
	if got := p.send("draft").IdleTimeouts.First; got < time.Second {
		t.Errorf("an attempt may be silent for %s where answers begin after 0.9 s and the goal has passed by then", got)
	}
}

// A request is queued until its caller has no time to come back.
func TestWaitLeavesTimeToComeBack(t *testing.T) {
	p := newPost(t, 1, core.Bounds{})
	for range 200 {
		p.now = p.now.Add(-time.Millisecond)
		effs := p.step(event.RequestArrived{Request: event.Request{
			ID: ident.RequestID(fmt.Sprint("fill", p.n)), Account: "callers", Profile: "draft", Deadline: p.now.Add(600 * time.Millisecond),
		}})
		p.n++
		if _, sent := pick[event.Dispatch](effs); sent {
			continue
		}
		began := p.now
		for range 600 {
			for _, eff := range p.step(event.Tick{}) {
				if r, ok := eff.(event.Refuse); ok {
					if waited := p.now.Sub(began); waited > 350*time.Millisecond || r.Outcome != event.NotRun {
						t.Errorf("refused after %s of 600 ms as %s", waited, r.Outcome)
					}
					return
				}
			}
		}
		t.Fatal("it is never given up")
	}
	t.Fatal("the engine is never full")
}

// Hosts that restart together exceed the retry budget.
func TestFreshHostHasHalfOfItsFloor(t *testing.T) {
	p := newPost(t, 4, core.Bounds{RetryRatio: 0.001, RetryFloor: 50})
	tries := func() int {
		n := 0
		for range 60 {
			d := p.send("fetch")
			effs := p.end2(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultFailed, Status: 500, Held: true})
			if again, ok := pick[event.Dispatch](effs); ok {
				n++
				p.step(event.AttemptEnded{Attempt: again.Attempt, Result: event.ResultDone})
			}
		}
		return n
	}
	if n := tries(); n != 20 {
		t.Errorf("a host that has just started makes %d second tries of 40", n)
	}
	p.now = p.now.Add(2 * retry.Window)
	if n := tries(); n != 40 {
		t.Errorf("a host that has run for a window makes %d second tries of 40", n)
	}
}

// A fresh host refuses what can run in a region that it has not seen yet.
func TestFreshHostHoldsWhatHasNoPlaceYet(t *testing.T) {
	p := newPost(t, 0, core.Bounds{})
	id := ident.RequestID("early")
	effs := p.step(event.RequestArrived{Request: event.Request{
		ID: id, Account: "callers", Profile: "draft", Deadline: p.now.Add(3 * time.Second),
	}})
	if r, refused := pick[event.Refuse](effs); refused {
		t.Fatalf("refused with %s in the first moment", r.Code)
	}
	var refused bool
	began := p.now
	for range 40 {
		p.now = p.now.Add(50 * time.Millisecond)
		if _, ok := pick[event.Refuse](p.step(event.Tick{})); ok {
			refused = true
			break
		}
	}
	if held := p.now.Sub(began); !refused || held > 600*time.Millisecond {
		t.Errorf("refused: %v, after %s of a goal of 500 ms", refused, held)
	}
}

// A prefix that a peer has sent to an engine is prefilled by another one.
func TestPeersTellWhoHoldsABeginning(t *testing.T) {
	const blocks, own = 12, 4
	prompt := func(id string, p *post) event.Request {
		r := event.Request{
			ID: ident.RequestID(id), Account: "callers", Profile: "draft", Prompt: 512 * (blocks + own), Shared: blocks,
			Deadline: p.now.Add(10 * time.Second),
		}
		for i := range blocks {
			r.Prefix = append(r.Prefix, uint64(1000+i))
		}
		for i := range own {
			r.Prefix = append(r.Prefix, rank.Join(rank.Hash(id), uint64(i)))
		}
		return r
	}
	first := newPost(t, 6, core.Bounds{})
	usual, ok := pick[event.Dispatch](first.step(event.RequestArrived{Request: prompt("a", first)}))
	if !ok {
		t.Fatal("the first prompt is not sent")
	}
	holder := event.PrefixHolder{Part: 1000 + blocks - 1}
	for i := range 6 {
		if id := ident.TargetID(fmt.Sprint("t", i)); id != usual.Target.ID {
			holder.Target = event.TargetKey(rank.Hash(string(id)))
		}
	}
	second := newPost(t, 6, core.Bounds{})
	peer := event.Host{ID: "w2", Incarnation: 1, Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}}
	second.step(event.DigestReceived{Digest: event.Digest{Host: peer, Seq: 1, Holders: []event.PrefixHolder{holder}}})
	d, ok := pick[event.Dispatch](second.step(event.RequestArrived{Request: prompt("b", second)}))
	if !ok {
		t.Fatal("the second prompt is not sent")
	}
	if event.TargetKey(rank.Hash(string(d.Target.ID))) != holder.Target && d.CopyFrom.Target == "" {
		t.Errorf("the prefix is read again at %s, though a peer has announced who holds it", d.Target.ID)
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
