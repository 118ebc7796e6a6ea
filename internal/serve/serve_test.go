package serve

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

func check(t *testing.T, what string, want, have any) {
	t.Helper()
	if diff := cmp.Diff(want, have); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// Guards against a resumed stream that repeats or loses tokens.
func TestResume(t *testing.T) {
	f := newFixture(t, streamAnswer(tokens(1, 3)), func(w http.ResponseWriter, r *http.Request) {
		check(t, "requested resume", "3", r.Header.Get(target.HeaderResume))
		streamAnswer(tokens(4, 5)+doneEvent)(w, r)
	})
	check(t, "caller", callerResult{Status: 200, Body: tokens(1, 5), Outcome: event.Done}, f.run(t.Context(), streamCall))
	check(t, "results", []event.Result{event.ResultBroken, event.ResultDone}, f.results())
}

// Guards against relaying repeated or skipped text from an engine that ignores the resume point.
func TestResumeIgnored(t *testing.T) {
	for name, second := range map[string]string{
		"starts again": tokens(1, 5) + doneEvent,
		"skips":        tokens(5, 6) + doneEvent,
		"repeats":      tokens(3, 5) + doneEvent,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, streamAnswer(tokens(1, 3)), streamAnswer(second))
			want := callerResult{Status: 200, Body: tokens(1, 3), Outcome: event.Unknown, Code: codes.TargetFailed.ID}
			check(t, "caller", want, f.run(t.Context(), streamCall))
		})
	}
}

// Guards against repeating events without a token after a resume.
func TestEventsWithoutToken(t *testing.T) {
	role := fmt.Sprintf("data: {\"id\":\"%s\",\"role\":\"assistant\"}\n\n", testID)
	counts := fmt.Sprintf("data: {\"id\":\"%s\",\"usage\":{}}\n\n", testID)
	f := newFixture(t, streamAnswer(role+tokens(1, 2)+counts), streamAnswer(role+tokens(3, 3)+counts+doneEvent))
	want := callerResult{Status: 200, Body: role + tokens(1, 3) + counts, Outcome: event.Done}
	check(t, "caller", want, f.run(t.Context(), streamCall))
}

// Guards against rejecting a valid form of a stream.
func TestStreamForms(t *testing.T) {
	long := fmt.Sprintf("id: 1\ndata: {\"id\":\"%s\",\"t\":\"%s\"}\n\n", testID, strings.Repeat("x", 3*streamBufferSize))
	for name, c := range map[string]struct{ text, want string }{
		"crlf":      {strings.ReplaceAll(tokens(1, 2)+doneEvent, "\n", "\r\n"), tokens(1, 2)},
		"comments":  {": ping\n\n" + token(1) + ": ping\n" + token(2) + doneEvent, tokens(1, 2)},
		"long line": {long + doneEvent, long},
		"no space":  {strings.ReplaceAll(token(1), ": ", ":") + doneEvent, strings.ReplaceAll(token(1), ": ", ":")},
		"empty":     {doneEvent, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, streamAnswer(c.text))
			check(t, "caller", callerResult{Status: 200, Body: c.want, Outcome: event.Done}, f.run(t.Context(), streamCall))
		})
	}
}

// Guards against giving the caller an answer to another request, or an incomplete or unbounded one.
func TestBadAnswers(t *testing.T) {
	good := fmt.Sprintf(`{"id":"%s","usage":{"completion_tokens":7}}`, testID)
	other := strings.ReplaceAll(token(1), string(testID), "req-0002")
	for name, bad := range map[string]http.HandlerFunc{
		"other request body":      jsonAnswer(200, `{"id":"req-0002"}`),
		"truncated json":          jsonAnswer(200, good[:9]),
		"empty":                   jsonAnswer(200, ""),
		"too large":               jsonAnswer(200, strings.Repeat(" ", 1<<20)+good),
		"status 500":              jsonAnswer(500, "{}"),
		"status 429":              jsonAnswer(429, "{}"),
		"other request stream":    streamAnswer(other + doneEvent),
		"no echo":                 func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, good) },
		"short of Content-Length": truncatedAnswer(good),
		"not run":                 notRun,
		"endless line":            streamAnswer("id: 1\ndata: " + string(testID) + strings.Repeat("x", maxEventBytes+1)),
		"aborted":                 func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			call, want := plainCall, callerResult{Status: 200, Body: good, Outcome: event.Done}
			answer := jsonAnswer(200, good)
			if strings.Contains(name, "stream") || strings.Contains(name, "line") {
				call, answer, want.Body = streamCall, streamAnswer(tokens(1, 2)+doneEvent), tokens(1, 2)
			}
			f := newFixture(t, bad, answer)
			check(t, "caller", want, f.run(t.Context(), call))
			check(t, "attempts", 2, len(f.results()))
		})
	}
}

// Guards against not reporting that a target refused because it is draining.
func TestDrainingTarget(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(target.HeaderNotRun, target.NotRunDraining)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.run(t.Context(), serviceCall)
	check(t, "result", event.ResultNotRun, f.ends[0].Result)
	check(t, "draining", true, f.ends[0].Draining)
}

// Guards against reporting the outcome of a request as unknown although it was never sent.
func TestUnreachable(t *testing.T) {
	f := newFixture(t)
	f.targets = []event.Target{{ID: "gone", URL: "http://127.0.0.1:1"}}
	check(t, "caller", callerResult{Code: codes.NoTarget.ID, Outcome: event.NotRun}, f.run(t.Context(), plainCall))
	check(t, "results", []event.Result{event.ResultNotRun}, f.results())
}

// Guards against an attempt that outlasts its deadline and against a late answer that reaches the
// caller.
func TestLateAnswer(t *testing.T) {
	ended := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-ended
		jsonAnswer(200, fmt.Sprintf(`{"id":"%s"}`, testID))(w, r)
	})
	f.atMostOnce = true
	f.deadline = 50 * time.Millisecond
	check(t, "caller", callerResult{Code: codes.TargetFailed.ID, Outcome: event.Unknown}, f.run(t.Context(), plainCall))
	close(ended)
	check(t, "results", []event.Result{event.ResultBroken}, f.results())
}

func (f *fixture) callerLeft() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.callerHasLeft
}

// Guards against an engine that keeps generating after its caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	cancelled := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		streamAnswer(tokens(1, 2))(w, r)
		_ = http.NewResponseController(w).Flush()
		cancel()
		<-r.Context().Done()
		close(cancelled)
	})
	f.run(ctx, streamCall)
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the request at the engine was not cancelled")
	}
	// The reducer receives the event on the control thread, possibly after the goroutine of the
	// request has ended.
	deadline := time.Now().Add(testTimeout)
	for !f.callerLeft() {
		if time.Now().After(deadline) {
			t.Fatal("the reducer was not notified that the caller left")
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against losing the outcome of a non-idempotent call because its caller has disconnected.
func TestAtMostOnceOutlivesCaller(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		cancel()
		w.Header().Set("Location", "/jobs/7")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "booked")
	})
	f.atMostOnce = true
	check(t, "caller", callerResult{Status: 201, Body: "booked", Outcome: event.Done}, f.run(ctx, serviceCall))
	kept, ok := f.rn.Answers.Get(testID)
	check(t, "kept", true, ok && f.ends[0].OutcomeStored)
	check(t, "kept body", "booked", string(kept.Body))
	check(t, "kept status", http.StatusCreated, kept.Status)
	check(t, "kept header", "/jobs/7", kept.Header.Get("Location"))
}

// Guards against having no stored answer for the repeat of an at-most-once stream.
func TestAtMostOnceStreamKept(t *testing.T) {
	f := newFixture(t, streamAnswer(tokens(1, 3)+doneEvent))
	f.atMostOnce = true
	f.run(t.Context(), streamCall)
	kept, _ := f.rn.Answers.Get(testID)
	check(t, "kept body", tokens(1, 3), string(kept.Body))
	check(t, "memory released", ident.Bytes(0), f.rn.Budget.Used())
}

// Guards against buffered answers that together exceed the memory of the host.
func TestAnswersShareBudget(t *testing.T) {
	f := newFixture(t, jsonAnswer(200, strings.Repeat(" ", 8<<10)+fmt.Sprintf(`{"id":"%s"}`, testID)))
	f.rn.Budget = NewBudget(4 << 10)
	f.atMostOnce = true
	check(t, "caller", callerResult{Code: codes.TargetFailed.ID, Outcome: event.Unknown}, f.run(t.Context(), plainCall))
	check(t, "memory released", ident.Bytes(0), f.rn.Budget.Used())
}

// Guards against buffering a stream of a plain service, or ending it early.
func TestServiceStream(t *testing.T) {
	call := serviceCall
	call.Stream = true
	text := "event: row\ndata: 1\n\n: note\n\ndata: 2\n\n"
	f := newFixture(t, streamAnswer(text))
	check(t, "caller", callerResult{Status: 200, Body: text, Outcome: event.Done}, f.run(t.Context(), call))
}

// Checks that the stored answers for repeats are bounded in number and size.
func TestAnswerCacheBounded(t *testing.T) {
	var c AnswerCache
	check(t, "too large", false, c.Put("big", BufferedAnswer{Body: make([]byte, maxStoredAnswer+1)}))
	n := 0
	for c.Put(ident.RequestID(fmt.Sprint(n)), BufferedAnswer{}) {
		n++
	}
	check(t, "bounded", true, n > 0 && n <= maxStoredTotal>>10)
	c.Delete("0")
	check(t, "room again", true, c.Put("again", BufferedAnswer{}))
}

// Guards against a stored answer that lacks the piece for which the memory budget was full, and that
// a repeat of the request gets as the whole answer.
func TestIncompleteCopyIsNotStored(t *testing.T) {
	for name, c := range map[string]struct {
		full   bool
		stored bool
	}{
		"budget full for one piece": {full: true},
		"control":                   {stored: true},
	} {
		t.Run(name, func(t *testing.T) {
			received, proceed := make(chan struct{}), make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				openStream(w, r)
				for n := 1; n <= 3; n++ {
					fmt.Fprint(w, token(n))
					w.(http.Flusher).Flush()
					<-proceed
				}
				fmt.Fprint(w, doneEvent)
			})
			f.atMostOnce = true
			s := f.sink()
			data := s.Data
			s.Data = func(b []byte, tokens ident.Tokens) error {
				defer func() { received <- struct{}{} }()
				return data(b, tokens)
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				f.rn.Run(t.Context(), streamCall, event.Request{ID: testID}, s)
			}()
			<-received
			filler := 0
			if c.full {
				filler = int(f.rn.Budget.limit - f.rn.Budget.Used())
				f.rn.Budget.Reserve(filler)
			}
			proceed <- struct{}{}
			<-received
			f.rn.Budget.Release(filler)
			proceed <- struct{}{}
			<-received
			proceed <- struct{}{}
			<-done
			check(t, "caller", callerResult{Status: 200, Body: tokens(1, 3), Outcome: event.Done}, f.result)
			answer, stored := f.rn.Answers.Get(testID)
			check(t, "stored", c.stored, stored)
			if c.stored {
				check(t, "stored body", tokens(1, 3), string(answer.Body))
			}
			check(t, "reported as stored", c.stored, f.ends[0].OutcomeStored)
		})
	}
}

// Guards against storing the rest of a stream, which its caller resumes, as the whole answer.
func TestResumedCopyIsNotStored(t *testing.T) {
	f := newFixture(t, streamAnswer(tokens(3, 5)+doneEvent))
	f.atMostOnce = true
	call := streamCall
	call.Resume = 2
	f.resumeFirst = 2
	check(t, "caller", callerResult{Status: 200, Body: tokens(3, 5), Outcome: event.Done}, f.run(t.Context(), call))
	_, stored := f.rn.Answers.Get(testID)
	check(t, "stored", false, stored)
}

// Guards against reporting an answer as delivered although its caller did not accept it.
func TestUnacceptedAnswerIsNotFinished(t *testing.T) {
	f := newFixture(t, jsonAnswer(200, fmt.Sprintf(`{"id":"%s"}`, testID)))
	s := f.sink()
	s.Data = func([]byte, ident.Tokens) error { return http.ErrHandlerTimeout }
	f.rn.Run(t.Context(), plainCall, event.Request{ID: testID}, s)
	check(t, "outcome", event.Outcome(""), f.result.Outcome)
}
