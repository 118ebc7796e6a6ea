package serve

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	testID      = ident.RequestID("req-0001")
	testTimeout = 20 * time.Second
)

// fixture runs one request against the target handlers of a test. Its step function replaces the
// reducer: it sends the request to each target in turn until an answer is complete.
type fixture struct {
	rn           *Runner
	targets      []event.Target
	servers      []*httptest.Server
	atMostOnce   bool
	deadline     time.Duration
	idleTimeouts event.IdleTimeouts
	// ignoreSilence is set if silent attempts are not aborted; silences counts their reports.
	ignoreSilence bool
	silences      int
	// resumeFirst is the token from which the first attempt resumes the answer.
	resumeFirst ident.Tokens
	// hosts answer the attempts after those at the targets: other entry hosts to which they are forwarded.
	hosts []func(req ForwardedRequest, relay Relay) event.AttemptEnded

	mu            sync.Mutex
	gaps          []time.Duration
	ends          []event.AttemptEnded
	callerHasLeft bool
	attempts      uint64
	result        callerResult
}

// callerResult is what the caller received.
type callerResult struct {
	Status  int
	Body    string
	Outcome event.Outcome
	Code    codes.ID
}

func newFixture(t *testing.T, hs ...http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{deadline: testTimeout}
	for i, h := range hs {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		f.servers = append(f.servers, srv)
		f.targets = append(f.targets, event.Target{ID: ident.TargetID(fmt.Sprint(i)), URL: srv.URL})
	}
	svc := clock.New()
	t.Cleanup(svc.Stop)
	lp := loop.New(loop.Config{Step: f.step, Clock: svc, Log: logr.Discard(), Execute: func(event.Effect) {}})
	t.Cleanup(lp.Stop)
	forward := func(_ context.Context, req ForwardedRequest, onSend func(), relay Relay) event.AttemptEnded {
		onSend()
		return f.hosts[int(req.Forward.Envelope.Attempt.Number)-len(f.targets)-1](req, relay)
	}
	f.rn = &Runner{
		Forward: forward,
		Loop:    lp, Clock: svc, Log: logr.Discard(), Targets: target.New(),
		Answers: &AnswerCache{}, MaxAnswer: 1 << 20, Budget: NewBudget(4 << 20),
	}
	return f
}

func (f *fixture) step(now ident.Time, ev event.Event) []event.Effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch e := ev.(type) {
	case event.RequestArrived:
		return f.dispatchNext(now, f.resumeFirst)
	case event.CallerLeft:
		f.callerHasLeft = true
	case event.StreamPaced:
		f.gaps = append(f.gaps, e.Gap)
	case event.AttemptSilent:
		f.silences++
		if f.ignoreSilence {
			return nil
		}
		return []event.Effect{event.BreakOff{
			Request: testID, Attempt: e.Attempt, Silence: event.Silence{Since: e.Since, AnswerBegan: e.AnswerBegan},
		}}
	case event.AttemptEnded:
		f.ends = append(f.ends, e)
		switch {
		case e.Result == event.ResultDone:
			return []event.Effect{event.Finish{Request: testID, Outcome: event.Done}}
		case e.Result == event.ResultNotRun, e.Resumable, e.Delivered == 0 && !e.Unplaced && !f.atMostOnce:
			return f.dispatchNext(now, e.Delivered)
		}
		return []event.Effect{event.Refuse{Request: testID, Code: codes.TargetFailed.ID, Outcome: event.Unknown}}
	}
	return nil
}

func (f *fixture) dispatchNext(now ident.Time, resume ident.Tokens) []event.Effect {
	if int(f.attempts) >= len(f.targets)+len(f.hosts) {
		return []event.Effect{event.Refuse{Request: testID, Code: codes.NoTarget.ID, Outcome: event.NotRun}}
	}
	f.attempts++
	if int(f.attempts) > len(f.targets) {
		return []event.Effect{event.Forward{
			Request: testID, Envelope: event.Envelope{Attempt: ident.Attempt{Entry: "e", Incarnation: 1, Number: f.attempts}},
			Deadline: now.Add(f.deadline), ResumeAfter: resume, IdleTimeouts: f.idleTimeouts,
		}}
	}
	return []event.Effect{event.Dispatch{
		Request: testID, Attempt: ident.Attempt{Entry: "e", Incarnation: 1, Number: f.attempts}, Target: f.targets[f.attempts-1],
		Deadline: now.Add(f.deadline), ResumeAfter: resume, AtMostOnce: f.atMostOnce, KeepOutcome: f.atMostOnce, IdleTimeouts: f.idleTimeouts,
	}}
}

// results returns the results of the attempts.
func (f *fixture) results() []event.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rs []event.Result
	for _, e := range f.ends {
		rs = append(rs, e.Result)
	}
	return rs
}

func (f *fixture) sink() Sink {
	return Sink{
		Begin:  func(status int, _ http.Header) { f.result.Status = status },
		Data:   func(p []byte, _ ident.Tokens) error { f.result.Body += string(p); return nil },
		Finish: func(o event.Outcome) { f.result.Outcome = o },
		Refuse: func(r event.Refuse) { f.result.Code, f.result.Outcome = r.Code, r.Outcome },
	}
}

func (f *fixture) run(ctx context.Context, call Call) callerResult {
	f.rn.Run(ctx, call, event.Request{ID: testID}, f.sink())
	return f.result
}

// Calls used by the tests.
var (
	streamCall  = Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}"), Stream: true, Engine: true}
	plainCall   = Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}"), Engine: true}
	serviceCall = Call{Method: http.MethodGet, Path: "/jobs"}
)

// openStream writes the headers of an engine stream.
func openStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
	w.Header().Set("Content-Type", "text/event-stream")
}

// token returns the event of token n.
func token(n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"%s\",\"t\":%d}\n\n", n, testID, n)
}

// tokens returns the events of the tokens from through to.
func tokens(from, to int) string {
	text := ""
	for n := from; n <= to; n++ {
		text += token(n)
	}
	return text
}

const doneEvent = "data: [DONE]\n\n"

// streamAnswer returns a handler that answers with a stream of the given text.
func streamAnswer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		openStream(w, r)
		_, _ = w.Write([]byte(text))
	}
}

// jsonAnswer returns a handler that answers with JSON.
func jsonAnswer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// truncatedAnswer returns a handler whose answer is shorter than its Content-Length.
func truncatedAnswer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "99")
		jsonAnswer(200, body)(w, r)
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(target.HeaderNotRun, target.NotRunTrue)
}
