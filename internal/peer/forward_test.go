package peer

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// echo answers with the request body in two pieces.
func echo(_ context.Context, c serve.Call, _ event.Request, sink serve.Sink) {
	b, err := c.ReadBody()
	if err != nil {
		sink.Refuse(event.Refuse{Code: codes.BadRequest.ID, Outcome: event.NotRun})
		return
	}
	sink.Begin(200, nil)
	_ = sink.Data(b[:len(b)/2], 1)
	_ = sink.Data(b[len(b)/2:], 2)
	sink.Finish(event.Done)
}

// A forwarded request must not lose a part of its body or answer, whatever its size. It runs
// under a new ID, and the digests of its prompt stay on the sending host.
func TestForward(t *testing.T) {
	var mu sync.Mutex
	var got event.Request
	var call serve.Call
	x, y := startPair(t, Config{}, Config{}, func(ctx context.Context, c serve.Call, r event.Request, s serve.Sink) {
		mu.Lock()
		got, call = r, c
		mu.Unlock()
		echo(ctx, c, r, s)
	})
	for _, n := range []int{2, 100_000, 3_000_000} {
		body := strings.Repeat("x", n)
		a, end := forward(t.Context(), x, y, body, nil)
		want := event.AttemptEnded{Result: event.ResultDone, Delivered: 2, Generated: 2}
		if diff := cmp.Diff(want, end); diff != "" {
			t.Errorf("end with %d bytes (-want +got):\n%s", n, diff)
		}
		if a.body.String() != body || a.onSendCalls != 1 || a.status != 200 {
			t.Errorf("%d bytes: got %d, sent %d times, status %d", n, a.body.Len(), a.onSendCalls, a.status)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if got.ID == "req-1" || call.AnswerID != "req-1" {
		t.Errorf("runs as %q, answers as %q", got.ID, call.AnswerID)
	}
	if diff := cmp.Diff([]uint64(nil), got.Prefix); diff != "" {
		t.Errorf("digests of the prompt were sent (-want +got):\n%s", diff)
	}
	env, _ := got.Envelope.Get()
	if diff := cmp.Diff(x.cfg.Self.Place, env.FromPlace); diff != "" {
		t.Errorf("place of the sender (-want +got):\n%s", diff)
	}
}

// The body of a request must not be sent to a host that refuses the request.
func TestRefusedBodyIsNotSent(t *testing.T) {
	const secret = "a long memory that may not leave its home"
	x, y := startPair(t, Config{}, Config{}, func(_ context.Context, _ serve.Call, _ event.Request, sink serve.Sink) {
		sink.Refuse(event.Refuse{Code: codes.OutsideResidency.ID, Outcome: event.NotRun, RetryAfter: 2 * time.Second})
	})
	awaitLinked(t, x, y)
	before := x.count("bytesOut")
	body := strings.Repeat(secret, 1000)
	_, end := forward(t.Context(), x, y, body, nil)
	want := event.AttemptEnded{
		Result: event.ResultNotRun, Code: codes.OutsideResidency.ID, Status: 421, RetryAfter: 2 * time.Second,
	}
	if diff := cmp.Diff(want, end); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
	if n := x.count("bytesOut") - before; n >= int64(len(body)) {
		t.Errorf("%d bytes were sent for a body of %d", n, len(body))
	}
}

// An answer that ends without an end frame must not be delivered as complete.
func TestTruncatedAnswerIsBroken(t *testing.T) {
	half := func(_ context.Context, c serve.Call, _ event.Request, sink serve.Sink) {
		_, _ = c.ReadBody()
		sink.Begin(200, nil)
		_ = sink.Data([]byte("half"), 1)
	}
	x, y := startPair(t, Config{}, Config{}, half)
	a, end := forward(t.Context(), x, y, "body", nil)
	want := event.AttemptEnded{Result: event.ResultBroken, Resumable: true, Delivered: 1, Generated: 1}
	if diff := cmp.Diff(want, end); diff != "" {
		t.Errorf("end after %q (-want +got):\n%s", a.body.String(), diff)
	}
}

// An answer with fewer bytes than its end frame states must not be delivered as complete.
func TestByteCountMismatchIsBroken(t *testing.T) {
	c := &outboundRequest{answerBegun: true, bodySent: true, receivedBytes: 3}
	end := c.checkEnd(wire.FromEnd(event.AttemptEnded{Result: event.ResultDone}, 4))
	if diff := cmp.Diff(event.ResultBroken, end.Result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

// Guards against an answer that counts as complete although its last event has not come whole.
func TestEndWithinAnEventIsBroken(t *testing.T) {
	c := &outboundRequest{answerBegun: true, bodySent: true, receivedBytes: 3, held: []byte("id:")}
	end := c.checkEnd(wire.FromEnd(event.AttemptEnded{Result: event.ResultDone}, 3))
	if diff := cmp.Diff(event.ResultBroken, end.Result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

// A "not run" end frame after the answer has begun must count as broken; otherwise the request
// would be run again.
func TestNotRunAfterBeginIsBroken(t *testing.T) {
	x, y := startPair(t, Config{}, Config{}, func(_ context.Context, c serve.Call, _ event.Request, sink serve.Sink) {
		_, _ = c.ReadBody()
		sink.Begin(200, nil)
		sink.Refuse(event.Refuse{Code: codes.Draining.ID, Outcome: event.NotRun})
	})
	_, end := forward(t.Context(), x, y, "body", nil)
	if diff := cmp.Diff(event.ResultBroken, end.Result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

// Guards against passing on a malformed head: earlier builds relay what their targets send.
func TestRelayedHeadsAreChecked(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		header http.Header
		want   event.Result
	}{
		"sound":      {200, http.Header{"X-A": {"b"}}, event.ResultDone},
		"failure":    {599, nil, event.ResultDone},
		"status 000": {0, nil, event.ResultBroken},
		"status 042": {42, nil, event.ResultBroken},
		"status 101": {101, nil, event.ResultBroken},
		"a blank":    {200, http.Header{"X-A ": {"b"}}, event.ResultBroken},
		"blanks":     {404, http.Header{"X A": {"b"}}, event.ResultBroken},
		"no name":    {200, http.Header{"": {"b"}}, event.ResultBroken},
	} {
		t.Run(name, func(t *testing.T) {
			x, y := startPair(t, Config{}, Config{}, func(_ context.Context, call serve.Call, _ event.Request, sink serve.Sink) {
				_, _ = call.ReadBody()
				sink.Begin(c.status, c.header)
				_ = sink.Data([]byte("text"), 1)
				sink.Finish(event.Done)
			})
			a, end := forward(t.Context(), x, y, "body", nil)
			if diff := cmp.Diff(c.want, end.Result); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
			if passed := a.status != 0; passed != (c.want == event.ResultDone) {
				t.Errorf("passed on with status %d", a.status)
			}
		})
	}
}

// A request that finds no link must be reported as not run, and onSend must not be called.
func TestNoLinkIsNotRun(t *testing.T) {
	x := startNode(t, Config{
		Self: newHost("uvs-1", "uvs", ports.Next()), Timing: Timing{LinkTimeout: 50 * time.Millisecond},
	}, nil)
	y := &testNode{Mesh: New(Config{Self: newHost("uvs-2", "uvs", ports.Next())})}
	a, end := forward(t.Context(), x, y, "body", nil)
	want := event.AttemptEnded{Result: event.ResultNotRun, Code: codes.NoTarget.ID}
	if diff := cmp.Diff(want, end); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
	if a.onSendCalls != 0 {
		t.Error("onSend was called")
	}
}

// A request under an attempt of another host must be refused; otherwise a host could bar
// attempts of others.
func TestForeignAttemptIsRefused(t *testing.T) {
	x, y := startPair(t, Config{}, Config{}, echo)
	a, end := forward(t.Context(), x, y, "body", func(p *serve.ForwardedRequest) { p.Forward.Envelope.Attempt.Entry = "uvs-3" })
	want := event.AttemptEnded{Result: event.ResultNotRun, Code: codes.ForgedEnvelope.ID}
	if diff := cmp.Diff(want, end); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
	if a.body.Len() > 0 || y.count("rejected") != 1 {
		t.Errorf("%d bytes of an answer, %d rejected", a.body.Len(), y.count("rejected"))
	}
}

// A forwarded request must stop when its caller leaves. An at-most-once call must not be
// aborted then.
func TestCallerLeaves(t *testing.T) {
	for _, once := range []bool{false, true} {
		began, aborted := make(chan struct{}), make(chan bool, 1)
		gate := make(chan struct{})
		x, y := startPair(t, Config{}, Config{}, func(ctx context.Context, c serve.Call, _ event.Request, sink serve.Sink) {
			_, _ = c.ReadBody()
			close(began)
			if !once {
				<-ctx.Done()
				aborted <- true
				return
			}
			<-gate
			sink.Begin(200, nil)
			aborted <- ctx.Err() != nil || sink.Data([]byte("booked"), 1) != nil
			sink.Finish(event.Done)
		})
		ctx, cancel := context.WithCancel(t.Context())
		l := &leavingCaller{began: began, leave: cancel}
		go l.run()
		_, end := forward(ctx, x, y, "body", func(p *serve.ForwardedRequest) { p.Forward.AtMostOnce = once })
		if diff := cmp.Diff(event.ResultBroken, end.Result); diff != "" {
			t.Errorf("once %v: result (-want +got):\n%s", once, diff)
		}
		close(gate)
		if diff := cmp.Diff(!once, <-aborted); diff != "" {
			t.Errorf("once %v: aborted (-want +got):\n%s", once, diff)
		}
	}
}

// A request that is queued on the other host must not run after its caller has left, whether
// its body was sent or not.
func TestCallerLeavesWhileQueued(t *testing.T) {
	for _, confined := range []bool{false, true} {
		began, cancelled := make(chan struct{}), make(chan struct{})
		x, y := startPair(t, Config{Confined: func(ident.Profile, ident.Account) bool { return confined }}, Config{}, func(ctx context.Context, _ serve.Call, _ event.Request, sink serve.Sink) {
			close(began)
			<-ctx.Done()
			close(cancelled)
			sink.Refuse(event.Refuse{Code: codes.Overloaded.ID, Outcome: event.NotRun})
		})
		ctx, cancel := context.WithCancel(t.Context())
		l := &leavingCaller{began: began, leave: cancel}
		go l.run()
		forward(ctx, x, y, "body", nil)
		select {
		case <-cancelled:
		case <-time.After(5 * time.Second):
			t.Errorf("confined %v: the other host did not notice that the caller left", confined)
		}
	}
}

// An at-most-once call that is queued on the other host must not run after its caller has
// received a failure.
func TestCallerLeavesWhileOnceCallQueued(t *testing.T) {
	for range 10 {
		began, read := make(chan struct{}), make(chan error, 1)
		x, y := startPair(t, Config{Confined: func(ident.Profile, ident.Account) bool { return false }}, Config{}, func(ctx context.Context, c serve.Call, _ event.Request, sink serve.Sink) {
			close(began)
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
				t.Error("the other host did not notice that the caller left")
			}
			_, err := c.ReadBody()
			read <- err
			sink.Refuse(event.Refuse{Code: codes.BadRequest.ID, Outcome: event.NotRun})
		})
		ctx, cancel := context.WithCancel(t.Context())
		l := &leavingCaller{began: began, leave: cancel}
		go l.run()
		forward(ctx, x, y, "body", func(p *serve.ForwardedRequest) { p.Forward.AtMostOnce = true })
		if err := <-read; err == nil {
			t.Fatal("the body was read after the caller left")
		}
	}
}

// leavingCaller cancels its request once the request runs.
type leavingCaller struct {
	began <-chan struct{}
	leave func()
}

func (l *leavingCaller) run() {
	<-l.began
	l.leave()
}

// A body beyond the limit must be refused; otherwise it would exhaust the memory.
func TestHugeBodyIsRefused(t *testing.T) {
	x, y := startPair(t, Config{}, Config{Bounds: Bounds{MaxBodyBytes: ident.Bytes(100_000)}}, echo)
	_, end := forward(t.Context(), x, y, strings.Repeat("x", 200_000), nil)
	if diff := cmp.Diff(event.ResultNotRun, end.Result); diff != "" {
		t.Errorf("result (-want +got):\n%s", diff)
	}
}

// Guards against bodies that peers forward and that are not counted while they arrive and while their requests run.
func TestForwardedBodiesAreBounded(t *testing.T) {
	budget := serve.NewBudget(100_000)
	gate, began := make(chan struct{}), make(chan struct{}, 1)
	x, y := startPair(t, Config{}, Config{Budget: budget}, func(_ context.Context, c serve.Call, _ event.Request, s serve.Sink) {
		if _, err := c.ReadBody(); err != nil {
			s.Refuse(event.Refuse{Code: codes.HostBusy.ID, Outcome: event.NotRun})
			return
		}
		began <- struct{}{}
		<-gate
		s.Begin(200, nil)
		s.Finish(event.Done)
	})
	first := make(chan event.AttemptEnded, 1)
	go func() {
		_, end := forward(t.Context(), x, y, strings.Repeat("x", 60_000), nil)
		first <- end
	}()
	<-began
	_, end := forward(t.Context(), x, y, strings.Repeat("x", 60_000), func(p *serve.ForwardedRequest) { p.Forward.Envelope.Attempt.Number = 2 })
	if diff := cmp.Diff(event.ResultNotRun, end.Result); diff != "" {
		t.Errorf("result of a body beyond the budget (-want +got):\n%s", diff)
	}
	close(gate)
	if diff := cmp.Diff(event.ResultDone, (<-first).Result); diff != "" {
		t.Errorf("result of the first (-want +got):\n%s", diff)
	}
	eventually(t, "all memory is released", func() bool { return budget.Used() == 0 })
}

// A request beyond the stream limit of a session must be reported as not run, not wait
// indefinitely.
func TestStreamsAreBounded(t *testing.T) {
	gate, began := make(chan struct{}), make(chan struct{}, 1)
	x, y := startPair(t, Config{}, Config{Bounds: Bounds{MaxStreams: 1}}, func(ctx context.Context, c serve.Call, r event.Request, s serve.Sink) {
		began <- struct{}{}
		<-gate
		echo(ctx, c, r, s)
	})
	first := &forwardJob{x: x, y: y, end: make(chan event.AttemptEnded, 1)}
	go first.run()
	<-began
	_, end := forward(t.Context(), x, y, "body", nil)
	if diff := cmp.Diff(event.ResultNotRun, end.Result); diff != "" {
		t.Errorf("result of the second request (-want +got):\n%s", diff)
	}
	close(gate)
	if diff := cmp.Diff(event.ResultDone, (<-first.end).Result); diff != "" {
		t.Errorf("result of the first request (-want +got):\n%s", diff)
	}
}

// forwardJob forwards a request concurrently with others.
type forwardJob struct {
	x, y *testNode
	end  chan event.AttemptEnded
}

func (j *forwardJob) run() {
	_, end := forward(context.Background(), j.x, j.y, "body", nil)
	j.end <- end
}

// Guards against a region that sends a forwarded request to targets although it has ended others, and
// against a sender that does not learn of the targets that ended there.
func TestEndedTargetsTravelWithARequest(t *testing.T) {
	got := make(chan event.Request, 1)
	x, y := startPair(t, Config{}, Config{}, func(_ context.Context, _ serve.Call, r event.Request, sink serve.Sink) {
		got <- r
		sink.Refuse(event.Refuse{Code: codes.PoisonRequest.ID, Outcome: event.Unknown, EndedRuns: []event.TargetRun{1, 2, 3}})
	})
	_, end := forward(t.Context(), x, y, "body", func(p *serve.ForwardedRequest) {
		p.Request.Content = 9
		p.Forward.EndedRuns = []event.TargetRun{1, 2}
	})
	r := <-got
	if diff := cmp.Diff([]event.TargetRun{1, 2}, r.EndedRuns); diff != "" || r.Content != 9 {
		t.Errorf("content %v, ended targets (-want +got):\n%s", r.Content, diff)
	}
	if diff := cmp.Diff([]event.TargetRun{1, 2, 3}, end.EndedRuns); diff != "" || end.Code != codes.PoisonRequest.ID {
		t.Errorf("code %v, ended targets (-want +got):\n%s", end.Code, diff)
	}
}

// Guards against a region that does not learn which build has to continue a stream, and against a sender that
// does not learn which one began it.
func TestBuildTravelsWithARequest(t *testing.T) {
	got := make(chan event.Request, 1)
	x, y := startPair(t, Config{}, Config{}, func(_ context.Context, call serve.Call, r event.Request, sink serve.Sink) {
		got <- r
		if _, err := call.ReadBody(); err != nil {
			t.Error(err)
		}
		sink.Build("v2")
		sink.Begin(http.StatusOK, http.Header{})
		_ = sink.Data([]byte("event"), 1)
		sink.Finish(event.Done)
	})
	p := newForwarded(y.cfg.Self, "body")
	p.Forward.Envelope.Attempt.Incarnation = x.cfg.Self.Incarnation
	p.Forward.Build, p.Request.Origin, p.Request.TakenUp = "v1", 7, true
	a := &receivedAnswer{}
	relay := a.relay()
	var build ident.Build
	relay.Build = func(b ident.Build) { build = b }
	begin := relay.Begin
	relay.Begin = func(status int, h http.Header) {
		if build == "" {
			t.Error("the answer begins before its build is known")
		}
		begin(status, h)
	}
	end := x.Forward(t.Context(), p, func() {}, relay)
	r := <-got
	if diff := cmp.Diff([]any{ident.Build("v1"), ident.Stream(7), true}, []any{r.Build, r.Origin, r.TakenUp}); diff != "" {
		t.Errorf("request (-want +got):\n%s", diff)
	}
	if end.Result != event.ResultDone || build != "v2" {
		t.Errorf("ended with %v, build %q", end.Result, build)
	}
}
