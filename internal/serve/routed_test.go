package serve

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

var (
	routedStream = Call{Method: http.MethodPost, Path: "/x/", Stream: true, Routed: true, Resumable: true}
	routedCall   = Call{Method: http.MethodGet, Path: "/x/", Routed: true}
)

// routedEvents returns events with the given ids, as a target of a route sends them.
func routedEvents(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\r\ndata: piece %d\r\n\r\n", n, n)
	}
	return b.String()
}

// A resumed stream repeats, loses or splits an event.
func TestRoutedStreamResumes(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		streamAnswer(routedEvents(1, 2)+"id: 3\r\ndata: pie")(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		check(t, "resume asked for", "2", r.Header.Get(target.HeaderResume))
		streamAnswer(routedEvents(3, 4))(w, r)
	})
	check(t, "caller", callerResult{Status: 200, Body: routedEvents(1, 4), Outcome: event.Done}, b.run(t.Context(), routedStream))
}

// A failed resume ends the stream as complete.
func TestFailedResumeDoesNotEndStream(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"failure":   jsonAnswer(500, "{}"),
		"no events": jsonAnswer(200, "{}"),
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				streamAnswer(routedEvents(1, 2))(w, r)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}, second, streamAnswer(routedEvents(3, 3)))
			check(t, "caller", callerResult{Status: 200, Body: routedEvents(1, 3), Outcome: event.Done}, b.run(t.Context(), routedStream))
			check(t, "held", false, b.ends[1].Held)
			b.result, b.attempts, b.targets = callerResult{}, 0, b.targets[:2]
			cut := b.run(t.Context(), routedStream)
			check(t, "body", routedEvents(1, 2), cut.Body)
			check(t, "does not count as whole", false, cut.Outcome == event.Done)
		})
	}
}

// A stream goes on with a gap.
func TestRoutedGapIsCut(t *testing.T) {
	for name, text := range map[string]string{"gap": routedEvents(1, 2) + routedEvents(4, 5), "twice": routedEvents(1, 2) + routedEvents(2, 3)} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, streamAnswer(text))
			want := callerResult{Status: 200, Body: routedEvents(1, 2), Outcome: event.Unknown, Code: codes.TargetFailed.ID}
			check(t, "caller", want, b.run(t.Context(), routedStream))
		})
	}
}

// A failure of a target is delivered before a second try.
func TestServerErrorIsBuffered(t *testing.T) {
	b := newFixture(t, jsonAnswer(500, "broken"))
	b.once = true
	b.run(t.Context(), routedCall)
	check(t, "result", event.ResultFailed, b.ends[0].Result)
	check(t, "held", true, b.ends[0].Held)
}

// A silent attempt waits until the deadline.
func TestSilentAttemptIsAborted(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "an event": routedEvents(1, 1)} {
		t.Run(name, func(t *testing.T) {
			freed := make(chan struct{})
			b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				if text != "" {
					streamAnswer(text)(w, r)
					_ = http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
				close(freed)
			}, func(w http.ResponseWriter, r *http.Request) {
				streamAnswer(routedEvents(1+strings.Count(text, "id:"), 3))(w, r)
			})
			b.idleTimeouts = event.IdleTimeouts{First: 80 * time.Millisecond, Gap: 80 * time.Millisecond}
			began := time.Now()
			check(t, "caller", callerResult{Status: 200, Body: routedEvents(1, 3), Outcome: event.Done}, b.run(t.Context(), routedStream))
			if took := time.Since(began); took > testTimeout/2 {
				t.Errorf("the caller waited for %s", took)
			}
			select {
			case <-freed:
			case <-time.After(testTimeout):
				t.Error("the silent target still works")
			}
		})
	}
}

// A silent attempt is ended although the reducer keeps it.
func TestSilentAttemptContinuesIfNotAborted(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		streamAnswer(routedEvents(1, 1))(w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3 * silenceReportInterval)
		_, _ = w.Write([]byte(routedEvents(2, 3)))
	})
	b.idleTimeouts = event.IdleTimeouts{First: 80 * time.Millisecond, Gap: 80 * time.Millisecond}
	b.ignoreSilence = true
	check(t, "caller", callerResult{Status: 200, Body: routedEvents(1, 3), Outcome: event.Done}, b.run(t.Context(), routedStream))
	if b.silences < 2 || b.silences > 4 {
		t.Errorf("the silence was reported %d times", b.silences)
	}
}

// An attempt is broken off although its answer has gone on since the silence was reported.
func TestProgressSinceSilence(t *testing.T) {
	tr := &attempt{}
	tr.lastByteAt.Store(100)
	for since, want := range map[ident.Time]bool{0: false, 99: true, 100: false} {
		check(t, fmt.Sprint("silent since ", since), want, tr.progressedSince(event.Silence{Since: since}))
	}
}

// Headers of a target's answer go on as they came, with its status.
func TestRoutedAnswerIsUnchanged(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Anything", "kept")
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, "no such notice")
	})
	var header http.Header
	sink := b.sink()
	begin := sink.Begin
	sink.Begin = func(status int, h http.Header) { header = h; begin(status, h) }
	b.rn.Run(context.Background(), routedCall, event.Request{ID: testID}, sink)
	check(t, "caller", callerResult{Status: 404, Body: "no such notice", Outcome: event.Done}, b.result)
	check(t, "header", "kept", header.Get("X-Anything"))
	check(t, "memory given back", ident.Bytes(0), b.rn.Budget.Used())
}
