package serve

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
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

// routedEvents returns the events with the ids from through to, as the target of a route sends
// them.
func routedEvents(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\r\ndata: piece %d\r\n\r\n", n, n)
	}
	return b.String()
}

// Guards against a resumed stream that repeats, loses or splits an event when the first target
// fails in the middle of one.
func TestRoutedStreamResumes(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		streamAnswer(routedEvents(1, 2)+"id: 3\r\ndata: pie")(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		check(t, "requested resume", "2", r.Header.Get(target.HeaderResume))
		streamAnswer(routedEvents(3, 4))(w, r)
	})
	check(t, "caller", callerResult{Status: 200, Body: routedEvents(1, 4), Outcome: event.Done}, f.run(t.Context(), routedStream))
}

// Guards against reporting a stream as complete when the target that should resume it fails.
func TestFailedResumeDoesNotEndStream(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"failure":   jsonAnswer(500, "{}"),
		"no events": jsonAnswer(200, "{}"),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				streamAnswer(routedEvents(1, 2))(w, r)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}, second, streamAnswer(routedEvents(3, 3)))
			check(t, "caller", callerResult{Status: 200, Body: routedEvents(1, 3), Outcome: event.Done}, f.run(t.Context(), routedStream))
			check(t, "held", false, f.ends[1].AnswerBuffered)
			f.result, f.attempts, f.targets = callerResult{}, 0, f.targets[:2]
			cut := f.run(t.Context(), routedStream)
			check(t, "body", routedEvents(1, 2), cut.Body)
			check(t, "reported as complete", false, cut.Outcome == event.Done)
		})
	}
}

// steppedEvents returns count events whose ids are the multiples of step that follow after.
func steppedEvents(after, step, count int) string {
	var b strings.Builder
	for n := 1; n <= count; n++ {
		fmt.Fprintf(&b, "id: %d\r\ndata: piece %d\r\n\r\n", after+n*step, after+n*step)
	}
	return b.String()
}

// brokenStream returns a handler whose stream breaks off.
func brokenStream(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		streamAnswer(text)(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// Guards against breaking off streams whose ids increase by more than one, as where an event has several tokens.
func TestIDsMayIncreaseByMoreThanOne(t *testing.T) {
	irregular := "id: 1\ndata: a\n\nid: 4\ndata: b\n\nid: 5\ndata: c\n\n"
	for name, c := range map[string]struct {
		resume  int
		answers []string
	}{
		"steps of eight":         {0, []string{steppedEvents(0, 8, 3), steppedEvents(24, 8, 2)}},
		"irregular":              {0, []string{irregular, steppedEvents(5, 3, 2)}},
		"taken up by the caller": {16, []string{steppedEvents(16, 8, 1), steppedEvents(24, 8, 1)}},
		"one event each":         {0, []string{steppedEvents(0, 8, 1), steppedEvents(8, 8, 1), steppedEvents(16, 8, 1)}},
	} {
		t.Run(name, func(t *testing.T) {
			var hs []http.HandlerFunc
			for i, text := range c.answers {
				if i < len(c.answers)-1 {
					hs = append(hs, brokenStream(text+"id: 99\ndata: pa"))
				} else {
					hs = append(hs, streamAnswer(text))
				}
			}
			f := newFixture(t, hs...)
			f.resumeFirst = ident.Tokens(c.resume)
			call := routedStream
			call.Resume = f.resumeFirst
			check(t, "caller", callerResult{Status: 200, Body: strings.Join(c.answers, ""), Outcome: event.Done}, f.run(t.Context(), call))
		})
	}
}

// Guards against a pace by events beside lengths by ids, by which streams would seem to miss their deadline.
func TestPaceIsByID(t *testing.T) {
	const step, events = 8, gapEvents + 1
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		for n := range events {
			streamAnswer(steppedEvents(n*step, step, 1))(w, r)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * time.Millisecond)
		}
	})
	start := time.Now()
	f.run(t.Context(), routedStream)
	elapsed := time.Since(start)
	if len(f.gaps) != 1 || f.gaps[0] <= 0 || f.gaps[0]*step*gapEvents > elapsed {
		t.Errorf("gaps %v in a stream of %v", f.gaps, elapsed)
	}
}

// Guards against relaying a stream past a missing or repeated event, within an answer and between two of them.
func TestRoutedGapIsCut(t *testing.T) {
	for name, c := range map[string]struct{ first, second string }{
		"twice":                     {routedEvents(1, 2) + routedEvents(2, 3), routedEvents(3, 3)},
		"back":                      {routedEvents(1, 2) + routedEvents(1, 1), routedEvents(3, 3)},
		"no number":                 {routedEvents(1, 2) + "id: x\ndata: x\n\n", routedEvents(3, 3)},
		"too large":                 {routedEvents(1, 2) + "id: 9223372036854775808\ndata: x\n\n", routedEvents(3, 3)},
		"negative":                  {routedEvents(1, 2) + "id: -3\ndata: x\n\n", routedEvents(3, 3)},
		"two ids, the last is back": {routedEvents(1, 2) + "id: 4\ndata: x\nid: 3\n\n", routedEvents(3, 3)},
		"gap between two answers":   {routedEvents(1, 2), routedEvents(4, 5)},
		"repeat in a second answer": {routedEvents(1, 2), routedEvents(2, 5)},
		"begun anew":                {routedEvents(1, 2), routedEvents(1, 5)},
		"steps of two, begun anew":  {routedEvents(1, 2), steppedEvents(0, 2, 3)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, brokenStream(c.first), streamAnswer(c.second), streamAnswer(c.second))
			want := callerResult{Status: 200, Body: routedEvents(1, 2), Outcome: event.Unknown, Code: codes.TargetFailed.ID}
			check(t, "caller", want, f.run(t.Context(), routedStream))
			check(t, "fault of the last answer", "outOfSequence", f.ends[len(f.ends)-1].Fault)
		})
	}
}

// Guards against relaying a failure of a target before the reducer can try another one.
func TestServerErrorIsBuffered(t *testing.T) {
	f := newFixture(t, jsonAnswer(500, "broken"))
	f.atMostOnce = true
	f.run(t.Context(), routedCall)
	check(t, "result", event.ResultFailed, f.ends[0].Result)
	check(t, "held", true, f.ends[0].AnswerBuffered)
}

// Guards against waiting for a silent target until the deadline instead of trying the next one.
func TestSilentAttemptIsAborted(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "an event": routedEvents(1, 1)} {
		t.Run(name, func(t *testing.T) {
			cancelled := make(chan struct{})
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				if text != "" {
					streamAnswer(text)(w, r)
					_ = http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
				close(cancelled)
			}, func(w http.ResponseWriter, r *http.Request) {
				streamAnswer(routedEvents(1+strings.Count(text, "id:"), 3))(w, r)
			})
			f.idleTimeouts = event.IdleTimeouts{First: 80 * time.Millisecond, Gap: 80 * time.Millisecond}
			start := time.Now()
			check(t, "caller", callerResult{Status: 200, Body: routedEvents(1, 3), Outcome: event.Done}, f.run(t.Context(), routedStream))
			if elapsed := time.Since(start); elapsed > testTimeout/2 {
				t.Errorf("the caller waited for %s", elapsed)
			}
			select {
			case <-cancelled:
			case <-time.After(testTimeout):
				t.Error("the request at the silent target was not cancelled")
			}
		})
	}
}

// Guards against aborting a silent attempt that the reducer decided not to abort.
func TestSilentAttemptContinuesIfNotAborted(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		streamAnswer(routedEvents(1, 1))(w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3 * silenceReportInterval)
		_, _ = w.Write([]byte(routedEvents(2, 3)))
	})
	f.idleTimeouts = event.IdleTimeouts{First: 80 * time.Millisecond, Gap: 80 * time.Millisecond}
	f.ignoreSilence = true
	check(t, "caller", callerResult{Status: 200, Body: routedEvents(1, 3), Outcome: event.Done}, f.run(t.Context(), routedStream))
	if f.silences < 2 || f.silences > 4 {
		t.Errorf("the silence was reported %d times", f.silences)
	}
}

// Guards against aborting an attempt that has received data since its silence was reported.
func TestProgressSinceSilence(t *testing.T) {
	a := &attempt{}
	a.lastByteAt.Store(100)
	for since, want := range map[ident.Time]bool{0: false, 99: true, 100: false} {
		check(t, fmt.Sprint("silent since ", since), want, a.progressedSince(event.Silence{Since: since}))
	}
}

// Guards against changing the status, headers or body of an answer of a routed target.
func TestRoutedAnswerIsUnchanged(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Anything", "kept")
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, "no such notice")
	})
	var header http.Header
	sink := f.sink()
	begin := sink.Begin
	sink.Begin = func(status int, h http.Header) { header = h; begin(status, h) }
	f.rn.Run(context.Background(), routedCall, event.Request{ID: testID}, sink)
	check(t, "caller", callerResult{Status: 404, Body: "no such notice", Outcome: event.Done}, f.result)
	check(t, "header", "kept", header.Get("X-Anything"))
	check(t, "memory released", ident.Bytes(0), f.rn.Budget.Used())
}

// Guards against taking an attempt that this host ended for one whose target closed the connection,
// and the reverse.
func TestDisconnectsOfTargetsAreReported(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	abortLater := func(w http.ResponseWriter, r *http.Request) {
		streamAnswer(routedEvents(1, 2))(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	wait := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, c := range map[string]struct {
		handler      http.HandlerFunc
		idleTimeouts event.IdleTimeouts
		deadline     time.Duration
		want         bool
	}{
		"before the answer": {handler: abort, deadline: testTimeout, want: true},
		"in the answer":     {handler: abortLater, deadline: testTimeout, want: true},
		"silent":            {handler: wait, deadline: testTimeout, idleTimeouts: event.IdleTimeouts{First: 20 * time.Millisecond}},
		"deadline":          {handler: wait, deadline: 20 * time.Millisecond},
		"failure":           {handler: jsonAnswer(500, "{}"), deadline: testTimeout},
		"complete":          {handler: streamAnswer(routedEvents(1, 2)), deadline: testTimeout},
		"gap":               {handler: streamAnswer(routedEvents(2, 3)), deadline: testTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.handler)
			f.deadline, f.idleTimeouts = c.deadline, c.idleTimeouts
			f.run(t.Context(), routedStream)
			check(t, "disconnected", c.want, f.ends[0].Disconnected)
			check(t, "ended", false, f.ends[0].TargetEnded)
		})
	}
}

// Guards against taking a target that closes one connection for one whose process has ended, and the
// reverse.
func TestEndOfATargetIsReported(t *testing.T) {
	var srv *httptest.Server
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {
		_ = srv.Listener.Close()
		panic(http.ErrAbortHandler)
	})
	srv = f.servers[0]
	f.run(t.Context(), routedStream)
	check(t, "disconnected", true, f.ends[0].Disconnected)
	check(t, "ended", true, f.ends[0].TargetEnded)
}
