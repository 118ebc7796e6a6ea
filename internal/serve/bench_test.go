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

// fixture runs one request before targets that the test makes up. Its step
// function stands in for the reducer: it sends to each target in turn until an
// answer is whole.
type fixture struct {
	rn           *Runner
	targets      []event.Target
	once         bool
	deadline     time.Duration
	idleTimeouts event.IdleTimeouts
	// ignoreSilence says that silent attempts are not broken off, silences counts their reports.
	ignoreSilence bool
	silences      int

	mu            sync.Mutex
	ends          []event.AttemptEnded
	callerHasLeft bool
	attempts      uint64
	result        callerResult
}

// callerResult is what the caller was given.
type callerResult struct {
	Status  int
	Body    string
	Outcome event.Outcome
	Code    codes.ID
}

func newFixture(t *testing.T, hs ...http.HandlerFunc) *fixture {
	t.Helper()
	b := &fixture{deadline: testTimeout}
	for i, h := range hs {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		b.targets = append(b.targets, event.Target{ID: ident.TargetID(fmt.Sprint(i)), URL: srv.URL})
	}
	svc := clock.New()
	t.Cleanup(svc.Stop)
	lp := loop.New(loop.Config{Step: b.step, Clock: svc, Log: logr.Discard(), Carry: func(event.Effect) {}})
	t.Cleanup(lp.Stop)
	b.rn = &Runner{
		Loop: lp, Clock: svc, Log: logr.Discard(), Targets: target.New(),
		Answers: &AnswerCache{}, MaxAnswer: 1 << 20, Budget: NewBudget(4 << 20),
	}
	return b
}

func (b *fixture) step(now ident.Time, ev event.Event) []event.Effect {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch e := ev.(type) {
	case event.RequestArrived:
		return b.dispatchNext(now, 0)
	case event.CallerLeft:
		b.callerHasLeft = true
	case event.AttemptSilent:
		b.silences++
		if b.ignoreSilence {
			return nil
		}
		return []event.Effect{event.BreakOff{
			Request: testID, Attempt: e.Attempt, Silence: event.Silence{Since: e.Since, Begun: e.Begun},
		}}
	case event.AttemptEnded:
		b.ends = append(b.ends, e)
		switch {
		case e.Result == event.ResultDone:
			return []event.Effect{event.Finish{Request: testID, Outcome: event.Done}}
		case e.Result == event.ResultNotRun, e.Resumable, e.Delivered == 0 && !b.once:
			return b.dispatchNext(now, e.Delivered)
		}
		return []event.Effect{event.Refuse{Request: testID, Code: codes.TargetFailed.ID, Outcome: event.Unknown}}
	}
	return nil
}

func (b *fixture) dispatchNext(now ident.Time, resume ident.Tokens) []event.Effect {
	if int(b.attempts) >= len(b.targets) {
		return []event.Effect{event.Refuse{Request: testID, Code: codes.NoTarget.ID, Outcome: event.NotRun}}
	}
	b.attempts++
	return []event.Effect{event.Dispatch{
		Request: testID, Attempt: ident.Attempt{Entry: "e", Incarnation: 1, Number: b.attempts}, Target: b.targets[b.attempts-1],
		Deadline: now.Add(b.deadline), Resume: resume, Once: b.once, Keep: b.once, IdleTimeouts: b.idleTimeouts,
	}}
}

// results lists how the attempts ended.
func (b *fixture) results() []event.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rs []event.Result
	for _, e := range b.ends {
		rs = append(rs, e.Result)
	}
	return rs
}

func (b *fixture) sink() Sink {
	return Sink{
		Begin:  func(status int, _ http.Header) { b.result.Status = status },
		Data:   func(p []byte, _ ident.Tokens) error { b.result.Body += string(p); return nil },
		Finish: func(o event.Outcome) { b.result.Outcome = o },
		Refuse: func(r event.Refuse) { b.result.Code, b.result.Outcome = r.Code, r.Outcome },
	}
}

func (b *fixture) run(ctx context.Context, call Call) callerResult {
	b.rn.Run(ctx, call, event.Request{ID: testID}, b.sink())
	return b.result
}

// The calls of the tests.
var (
	streamCall  = Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}"), Stream: true, Engine: true}
	plainCall   = Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}"), Engine: true}
	serviceCall = Call{Method: http.MethodGet, Path: "/jobs"}
)

// openStream starts the stream of an engine.
func openStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
	w.Header().Set("Content-Type", "text/event-stream")
}

// token returns the event of token n.
func token(n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"%s\",\"t\":%d}\n\n", n, testID, n)
}

// tokens returns the events of tokens from and to, both included.
func tokens(from, to int) string {
	text := ""
	for n := from; n <= to; n++ {
		text += token(n)
	}
	return text
}

const doneEvent = "data: [DONE]\n\n"

// streamAnswer answers with a stream of the given text.
func streamAnswer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		openStream(w, r)
		_, _ = w.Write([]byte(text))
	}
}

// jsonAnswer answers with JSON.
func jsonAnswer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// truncatedAnswer answers with less than the length that it announces.
func truncatedAnswer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "99")
		jsonAnswer(200, body)(w, r)
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(target.HeaderNotRun, target.NotRunTrue)
}
