package serve

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
)

// Guards against a rest that repeats or omits events without an id, or follows a stream of which no position is known.
func TestStreamIsNotContinuedAfterAnEventWithoutID(t *testing.T) {
	const note = "data: note\n\n"
	for name, first := range map[string]string{
		"no ids":             note + note,
		"last one":           routedEvents(1, 2) + note,
		"empty id":           routedEvents(1, 2) + "id:\ndata: note\n\n",
		"empty id, a space":  routedEvents(1, 2) + "id: \ndata: note\n\n",
		"id without a colon": routedEvents(1, 2) + "id\ndata: note\n\n",
		"no value":           routedEvents(1, 2) + "data\n\n",
		"named":              routedEvents(1, 2) + "event: note\r\ndata: x\r\n\r\n",
		"unknown field":      "verbenadale-weight-versions: 7\nid : 1\ndata: x\n\n",
		"then a comment":     routedEvents(1, 2) + note + ": ping\n\n",
		"id in other case":   "ID: 1\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, brokenStream(first+"data: pa"), streamAnswer(first), streamAnswer(first))
			got := f.run(t.Context(), routedStream)
			check(t, "body", first, got.Body)
			check(t, "reported as complete", false, got.Outcome == event.Done)
		})
	}
}

// Guards against an end of streams that could go on: the position is known again after the next id, and comments and
// fields of other names need none.
func TestStreamIsContinuedAfterTheNextID(t *testing.T) {
	for name, c := range map[string]struct{ first, second, want string }{
		"an id follows":         {routedEvents(1, 2) + "data: note\n\n" + routedEvents(3, 3), routedEvents(4, 4), ""},
		"comment":               {routedEvents(1, 2) + ": ping\n\n", routedEvents(3, 4), ""},
		"comment first":         {": ping\n\n", routedEvents(1, 2), ""},
		"time to come back":     {routedEvents(1, 2) + "retry: 100\n\n", ": pong\n\n" + routedEvents(3, 4), ""},
		"version of weights":    {"verbenadale-weight-versions: 7\nid: 1\ndata: x\n\n", "verbenadale-weight-versions: 7\n" + routedEvents(2, 3), ""},
		"id after the data":     {"data: x\nid: 1\n\n", routedEvents(2, 3), ""},
		"id without a space":    {"id:1\ndata:x\n\n", "id:2\ndata:y\n\n", ""},
		"without data":          {routedEvents(1, 2) + "id: 3\n\n", routedEvents(4, 4), ""},
		"byte order mark":       {"\ufeffid: 1\ndata: x\n\n", "id: 2\ndata: y\n\n", ""},
		"mark before the rest":  {routedEvents(1, 2), "\ufeff" + routedEvents(3, 4), routedEvents(1, 4)},
		"notes within the rest": {routedEvents(1, 2), routedEvents(3, 3) + "data: note\n\n" + routedEvents(4, 4), ""},
	} {
		t.Run(name, func(t *testing.T) {
			if c.want == "" {
				c.want = c.first + c.second
			}
			f := newFixture(t, brokenStream(c.first+"id: 9"), streamAnswer(c.second))
			check(t, "caller", callerResult{Status: 200, Body: c.want, Outcome: event.Done}, f.run(t.Context(), routedStream))
		})
	}
}

// Guards against a rest that begins with an event of which it is not known where it belongs, from a target here or from
// another region.
func TestRestThatBeginsWithoutIDIsCut(t *testing.T) {
	rest := "data: opening\n\n" + routedEvents(3, 4)
	for name, f := range map[string]*fixture{
		"target":         newFixture(t, brokenStream(routedEvents(1, 2)), streamAnswer(rest)),
		"another region": newFixture(t, brokenStream(routedEvents(1, 2))),
	} {
		t.Run(name, func(t *testing.T) {
			f.hosts = append(f.hosts, relayEvents(t, rest))
			got := f.run(t.Context(), routedStream)
			check(t, "body", routedEvents(1, 2), got.Body)
			check(t, "reported as complete", false, got.Outcome == event.Done)
		})
	}
}

// Guards against an answer that begins anew, or at an unknown position, for a caller that takes its stream up again.
func TestTakenUpStreamThatBeginsWithoutIDIsCut(t *testing.T) {
	for name, text := range map[string]string{"no ids": "data: a\n\ndata: b\n\n", "opening": "data: opening\n\n" + routedEvents(3, 4)} {
		t.Run(name, func(t *testing.T) {
			call := routedStream
			call.Resume = 2
			got := newFixture(t, streamAnswer(text)).run(t.Context(), call)
			check(t, "body", "", got.Body)
			check(t, "reported as complete", false, got.Outcome == event.Done)
		})
	}
}

// Guards against breaking off a target that pauses when no other one may continue the stream.
func TestPauseAfterAnEventWithoutIDIsNotReported(t *testing.T) {
	text := "data: note\n\n"
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		streamAnswer(text)(w, r)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(200 * time.Millisecond)
		_, _ = w.Write([]byte(text))
	}, streamAnswer("data: other\n\n"))
	f.idleTimeouts = event.IdleTimeouts{First: testTimeout, Gap: 20 * time.Millisecond}
	check(t, "caller", callerResult{Status: 200, Body: strings.Repeat(text, 2), Outcome: event.Done}, f.run(t.Context(), routedStream))
	check(t, "reports", 0, f.silences)
}
