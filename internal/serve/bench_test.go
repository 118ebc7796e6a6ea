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
	testID    = ident.RequestID("req-0001")
	waitLimit = 20 * time.Second
)

// bench runs one request before targets that the test makes up. Its step
// function stands in for the reducer: it sends to each target in turn until an
// answer is whole.
type bench struct {
	rn       *Runner
	targets  []event.Target
	once     bool
	deadline time.Duration
	silence  event.IdleTimeouts
	// keeps says that silent attempts are not broken off, silences counts their reports.
	keeps    bool
	silences int

	mu   sync.Mutex
	ends []event.AttemptEnded
	left bool
	num  uint64
	got  got
}

// got is what the caller was given.
type got struct {
	Status  int
	Body    string
	Outcome event.Outcome
	Code    codes.ID
}

func newBench(t *testing.T, hs ...http.HandlerFunc) *bench {
	t.Helper()
	b := &bench{deadline: waitLimit}
	for i, h := range hs {
		srv := httptest.NewServer(h)
		t.Cleanup(srv.Close)
		b.targets = append(b.targets, event.Target{ID: ident.TargetID(fmt.Sprint(i)), URL: srv.URL})
	}
	svc := clock.New()
	t.Cleanup(svc.Stop)
	lp := loop.New(loop.Config{Step: b.step, Clock: svc, Log: logr.Discard(), Execute: func(event.Effect) {}})
	t.Cleanup(lp.Stop)
	b.rn = &Runner{
		Loop: lp, Clock: svc, Log: logr.Discard(), Targets: target.New(),
		Outcomes: &Outcomes{}, MaxAnswer: 1 << 20, Budget: NewBudget(4 << 20),
	}
	return b
}

func (b *bench) step(now ident.Time, ev event.Event) []event.Effect {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch e := ev.(type) {
	case event.RequestArrived:
		return b.next(now, 0)
	case event.CallerLeft:
		b.left = true
	case event.AttemptSilent:
		b.silences++
		if b.keeps {
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
			return b.next(now, e.Delivered)
		}
		return []event.Effect{event.Refuse{Request: testID, Code: codes.TargetFailed.ID, Outcome: event.Unknown}}
	}
	return nil
}

func (b *bench) next(now ident.Time, resume ident.Tokens) []event.Effect {
	if int(b.num) >= len(b.targets) {
		return []event.Effect{event.Refuse{Request: testID, Code: codes.NoTarget.ID, Outcome: event.NotRun}}
	}
	b.num++
	return []event.Effect{event.Dispatch{
		Request: testID, Attempt: ident.Attempt{Entry: "e", Incarnation: 1, Number: b.num}, Target: b.targets[b.num-1],
		Deadline: now.Add(b.deadline), Resume: resume, Once: b.once, Keep: b.once, IdleTimeouts: b.silence,
	}}
}

// results lists how the attempts ended.
func (b *bench) results() []event.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rs []event.Result
	for _, e := range b.ends {
		rs = append(rs, e.Result)
	}
	return rs
}

func (b *bench) sink() Sink {
	return Sink{
		Begin:  func(status int, _ http.Header) { b.got.Status = status },
		Data:   func(p []byte, _ ident.Tokens) error { b.got.Body += string(p); return nil },
		Finish: func(o event.Outcome) { b.got.Outcome = o },
		Refuse: func(r event.Refuse) { b.got.Code, b.got.Outcome = r.Code, r.Outcome },
	}
}

func (b *bench) run(ctx context.Context, call Call) got {
	b.rn.Run(ctx, call, event.Request{ID: testID}, b.sink())
	return b.got
}

// The calls of the tests.
var (
	streamCall  = Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}"), Stream: true, Engine: true}
	plainCall   = Call{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte("{}"), Engine: true}
	serviceCall = Call{Method: http.MethodGet, Path: "/jobs"}
)

// open starts the stream of an engine.
func open(w http.ResponseWriter, r *http.Request) {
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

const endEvent = "data: [DONE]\n\n"

// says answers with a stream of the given text.
func says(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		open(w, r)
		_, _ = w.Write([]byte(text))
	}
}

// whole answers with JSON.
func whole(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// short answers with less than the length that it announces.
func short(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "99")
		whole(200, body)(w, r)
	}
}

func notRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(target.HeaderNotRun, target.NotRunTrue)
}
