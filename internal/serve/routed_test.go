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

// routed returns events with the given ids, as a target of a route sends them.
func routed(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\r\ndata: piece %d\r\n\r\n", n, n)
	}
	return b.String()
}

// A resumed stream repeats, loses or splits an event.
func TestRoutedStreamResumes(t *testing.T) {
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		says(routed(1, 2)+"id: 3\r\ndata: pie")(w, r)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		check(t, "resume asked for", "2", r.Header.Get(target.HeaderResume))
		says(routed(3, 4))(w, r)
	})
	check(t, "caller", got{Status: 200, Body: routed(1, 4), Outcome: event.Done}, b.run(t.Context(), routedStream))
}

// A failed resume ends the stream as complete.
func TestFailedResumeIsNoEnd(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"failure":   whole(500, "{}"),
		"no events": whole(200, "{}"),
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
				says(routed(1, 2))(w, r)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			}, second, says(routed(3, 3)))
			check(t, "caller", got{Status: 200, Body: routed(1, 3), Outcome: event.Done}, b.run(t.Context(), routedStream))
			check(t, "held", false, b.ends[1].Held)
			b.got, b.num, b.targets = got{}, 0, b.targets[:2]
			cut := b.run(t.Context(), routedStream)
			check(t, "body", routed(1, 2), cut.Body)
			check(t, "does not count as whole", false, cut.Outcome == event.Done)
		})
	}
}

// A stream goes on with a gap.
func TestRoutedGapIsCut(t *testing.T) {
	for name, text := range map[string]string{"gap": routed(1, 2) + routed(4, 5), "twice": routed(1, 2) + routed(2, 3)} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, says(text))
			want := got{Status: 200, Body: routed(1, 2), Outcome: event.Unknown, Code: codes.TargetFailed.ID}
			check(t, "caller", want, b.run(t.Context(), routedStream))
		})
	}
}

// A failure of a target is delivered before a second try.
func TestFailureIsHeld(t *testing.T) {
	b := newBench(t, whole(500, "broken"))
	b.once = true
	b.run(t.Context(), routedCall)
	check(t, "result", event.ResultFailed, b.ends[0].Result)
	check(t, "held", true, b.ends[0].Held)
}

// A silent attempt waits until the deadline.
func TestSilentAttemptIsBrokenOff(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "an event": routed(1, 1)} {
		t.Run(name, func(t *testing.T) {
			freed := make(chan struct{})
			b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
				if text != "" {
					says(text)(w, r)
					_ = http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
				close(freed)
			}, func(w http.ResponseWriter, r *http.Request) {
				says(routed(1+strings.Count(text, "id:"), 3))(w, r)
			})
			b.silence = event.IdleTimeouts{First: 80 * time.Millisecond, Gap: 80 * time.Millisecond}
			began := time.Now()
			check(t, "caller", got{Status: 200, Body: routed(1, 3), Outcome: event.Done}, b.run(t.Context(), routedStream))
			if took := time.Since(began); took > waitLimit/2 {
				t.Errorf("the caller waited for %s", took)
			}
			select {
			case <-freed:
			case <-time.After(waitLimit):
				t.Error("the silent target still works")
			}
		})
	}
}

// A silent attempt is ended although the reducer keeps it.
func TestKeptSilentAttemptGoesOn(t *testing.T) {
	b := newBench(t, func(w http.ResponseWriter, r *http.Request) {
		says(routed(1, 1))(w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3 * silentAgain)
		_, _ = w.Write([]byte(routed(2, 3)))
	})
	b.silence = event.IdleTimeouts{First: 80 * time.Millisecond, Gap: 80 * time.Millisecond}
	b.keeps = true
	check(t, "caller", got{Status: 200, Body: routed(1, 3), Outcome: event.Done}, b.run(t.Context(), routedStream))
	if b.silences < 2 || b.silences > 4 {
		t.Errorf("the silence was reported %d times", b.silences)
	}
}

// An attempt is broken off although its answer has gone on since the silence was reported.
func TestAttemptThatGoesOnIsNotBrokenOff(t *testing.T) {
	tr := &try{}
	tr.lastByte.Store(100)
	for since, want := range map[ident.Time]bool{0: false, 99: true, 100: false} {
		check(t, fmt.Sprint("silent since ", since), want, tr.progressed(event.Silence{Since: since}))
	}
}

// Headers of a target's answer go on as they came, with its status.
func TestRoutedAnswerIsUnchanged(t *testing.T) {
	b := newBench(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Anything", "kept")
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, "no such notice")
	})
	var header http.Header
	sink := b.sink()
	begin := sink.Begin
	sink.Begin = func(status int, h http.Header) { header = h; begin(status, h) }
	b.rn.Run(context.Background(), routedCall, event.Request{ID: testID}, sink)
	check(t, "caller", got{Status: 404, Body: "no such notice", Outcome: event.Done}, b.got)
	check(t, "header", "kept", header.Get("X-Anything"))
	check(t, "memory given back", ident.Bytes(0), b.rn.Budget.Taken())
}
