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

// A resumed stream repeats or loses tokens.
func TestResume(t *testing.T) {
	b := newFixture(t, streamAnswer(tokens(1, 3)), func(w http.ResponseWriter, r *http.Request) {
		check(t, "resume asked for", "3", r.Header.Get(target.HeaderResume))
		streamAnswer(tokens(4, 5)+doneEvent)(w, r)
	})
	check(t, "caller", callerResult{Status: 200, Body: tokens(1, 5), Outcome: event.Done}, b.run(t.Context(), streamCall))
	check(t, "results", []event.Result{event.ResultBroken, event.ResultDone}, b.results())
}

// An engine that ignores the resume point repeats or skips text.
func TestResumeIgnored(t *testing.T) {
	for name, second := range map[string]string{
		"starts again": tokens(1, 5) + doneEvent,
		"skips":        tokens(5, 6) + doneEvent,
		"repeats":      tokens(3, 5) + doneEvent,
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, streamAnswer(tokens(1, 3)), streamAnswer(second))
			want := callerResult{Status: 200, Body: tokens(1, 3), Outcome: event.Unknown, Code: codes.TargetFailed.ID}
			check(t, "caller", want, b.run(t.Context(), streamCall))
		})
	}
}

// Events without tokens are repeated after a resume.
func TestEventsWithoutToken(t *testing.T) {
	role := fmt.Sprintf("data: {\"id\":\"%s\",\"role\":\"assistant\"}\n\n", testID)
	counts := fmt.Sprintf("data: {\"id\":\"%s\",\"usage\":{}}\n\n", testID)
	b := newFixture(t, streamAnswer(role+tokens(1, 2)+counts), streamAnswer(role+tokens(3, 3)+counts+doneEvent))
	want := callerResult{Status: 200, Body: role + tokens(1, 3) + counts, Outcome: event.Done}
	check(t, "caller", want, b.run(t.Context(), streamCall))
}

// A valid form of a stream is rejected.
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
			b := newFixture(t, streamAnswer(c.text))
			check(t, "caller", callerResult{Status: 200, Body: c.want, Outcome: event.Done}, b.run(t.Context(), streamCall))
		})
	}
}

// A crossed, incomplete or unbounded answer reaches the caller.
func TestBadAnswers(t *testing.T) {
	good := fmt.Sprintf(`{"id":"%s","usage":{"completion_tokens":7}}`, testID)
	other := strings.ReplaceAll(token(1), string(testID), "req-0002")
	for name, bad := range map[string]http.HandlerFunc{
		"crossed body":    jsonAnswer(200, `{"id":"req-0002"}`),
		"cut json":        jsonAnswer(200, good[:9]),
		"empty":           jsonAnswer(200, ""),
		"too large":       jsonAnswer(200, strings.Repeat(" ", 1<<20)+good),
		"status 500":      jsonAnswer(500, "{}"),
		"status 429":      jsonAnswer(429, "{}"),
		"crossed stream":  streamAnswer(other + doneEvent),
		"no echo":         func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, good) },
		"short of length": truncatedAnswer(good),
		"not run":         notRun,
		"endless line":    streamAnswer("id: 1\ndata: " + string(testID) + strings.Repeat("x", maxEventBytes+1)),
		"no end":          func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			call, want := plainCall, callerResult{Status: 200, Body: good, Outcome: event.Done}
			answer := jsonAnswer(200, good)
			if strings.Contains(name, "stream") || strings.Contains(name, "line") {
				call, answer, want.Body = streamCall, streamAnswer(tokens(1, 2)+doneEvent), tokens(1, 2)
			}
			b := newFixture(t, bad, answer)
			check(t, "caller", want, b.run(t.Context(), call))
			check(t, "attempts", 2, len(b.results()))
		})
	}
}

// The refusal of a draining target is not reported.
func TestDrainingTarget(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(target.HeaderNotRun, target.NotRunDraining)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	b.run(t.Context(), serviceCall)
	check(t, "result", event.ResultNotRun, b.ends[0].Result)
	check(t, "draining", true, b.ends[0].Draining)
}

// A request that was never sent is reported as unknown.
func TestUnreachable(t *testing.T) {
	b := newFixture(t)
	b.targets = []event.Target{{ID: "gone", URL: "http://127.0.0.1:1"}}
	check(t, "caller", callerResult{Code: codes.NoTarget.ID, Outcome: event.NotRun}, b.run(t.Context(), plainCall))
	check(t, "results", []event.Result{event.ResultNotRun}, b.results())
}

// An attempt outlasts its deadline, or a late answer reaches the caller.
func TestLateAnswer(t *testing.T) {
	ended := make(chan struct{})
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		<-ended
		jsonAnswer(200, fmt.Sprintf(`{"id":"%s"}`, testID))(w, r)
	})
	b.once = true
	b.deadline = 50 * time.Millisecond
	check(t, "caller", callerResult{Code: codes.TargetFailed.ID, Outcome: event.Unknown}, b.run(t.Context(), plainCall))
	close(ended)
	check(t, "results", []event.Result{event.ResultBroken}, b.results())
}

func (b *fixture) callerLeft() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.callerHasLeft
}

// An engine works on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	freed := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		streamAnswer(tokens(1, 2))(w, r)
		_ = http.NewResponseController(w).Flush()
		cancel()
		<-r.Context().Done()
		close(freed)
	})
	b.run(ctx, streamCall)
	select {
	case <-freed:
	case <-time.After(testTimeout):
		t.Fatal("the engine still generates")
	}
	// The reducer learns of it on the control thread, maybe after the request's
	// goroutine has ended.
	deadline := time.Now().Add(testTimeout)
	for !b.callerLeft() {
		if time.Now().After(deadline) {
			t.Fatal("the reducer does not learn that the caller left")
		}
		time.Sleep(time.Millisecond)
	}
}

// A call that is not idempotent is broken off with its caller, and its outcome is lost.
func TestAtMostOnceOutlivesCaller(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	b := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		cancel()
		w.Header().Set("Location", "/jobs/7")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprint(w, "booked")
	})
	b.once = true
	check(t, "caller", callerResult{Status: 201, Body: "booked", Outcome: event.Done}, b.run(ctx, serviceCall))
	kept, ok := b.rn.Answers.Get(testID)
	check(t, "kept", true, ok && b.ends[0].Kept)
	check(t, "kept body", "booked", string(kept.Body))
	check(t, "kept status", http.StatusCreated, kept.Status)
	check(t, "kept header", "/jobs/7", kept.Header.Get("Location"))
}

// The repeat of a stream that ran once gets no answer.
func TestAtMostOnceStreamKept(t *testing.T) {
	b := newFixture(t, streamAnswer(tokens(1, 3)+doneEvent))
	b.once = true
	b.run(t.Context(), streamCall)
	kept, _ := b.rn.Answers.Get(testID)
	check(t, "kept body", tokens(1, 3), string(kept.Body))
	check(t, "memory given back", ident.Bytes(0), b.rn.Budget.Used())
}

// Buffered answers exceed the memory of the host.
func TestAnswersShareBudget(t *testing.T) {
	b := newFixture(t, jsonAnswer(200, strings.Repeat(" ", 8<<10)+fmt.Sprintf(`{"id":"%s"}`, testID)))
	b.rn.Budget = NewBudget(4 << 10)
	b.once = true
	check(t, "caller", callerResult{Code: codes.TargetFailed.ID, Outcome: event.Unknown}, b.run(t.Context(), plainCall))
	check(t, "memory given back", ident.Bytes(0), b.rn.Budget.Used())
}

// A stream of a plain service is buffered, or ends early.
func TestServiceStream(t *testing.T) {
	call := serviceCall
	call.Stream = true
	text := "event: row\ndata: 1\n\n: note\n\ndata: 2\n\n"
	b := newFixture(t, streamAnswer(text))
	check(t, "caller", callerResult{Status: 200, Body: text, Outcome: event.Done}, b.run(t.Context(), call))
}

// The stored answers of repeats are bounded in number and size.
func TestAnswerCacheBounded(t *testing.T) {
	var o AnswerCache
	check(t, "too large", false, o.Put("big", BufferedAnswer{Body: make([]byte, maxKeptAnswer+1)}))
	n := 0
	for o.Put(ident.RequestID(fmt.Sprint(n)), BufferedAnswer{}) {
		n++
	}
	check(t, "bounded", true, n > 0 && n <= maxKeptTotal>>10)
	o.Delete("0")
	check(t, "room again", true, o.Put("again", BufferedAnswer{}))
}
