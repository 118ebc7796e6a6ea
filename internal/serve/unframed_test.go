package serve

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/codes"
)

// onceStream is a stream that may not be resumed.
var onceStream = Call{Method: http.MethodPost, Path: "/x/", Routed: true, Stream: true}

// unframedAnswer returns a handler whose answer has neither a length nor chunks and ends with its connection.
func unframedAnswer(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Type: %s\r\n%s: %s\r\n\r\n%s", status, contentType, target.HeaderAttempt, r.Header.Get(target.HeaderAttempt), body)
	}
}

// withLives replaces the query that shows whether a target lives.
func (f *fixture) withLives(lives bool) *int {
	asked := 0
	f.rn.Lives = func(context.Context, event.Target) bool {
		asked++
		return lives
	}
	f.rn.Ended = func(context.Context, event.Target) bool { return false }
	return &asked
}

// Guards against passing on as whole an unframed answer whose target does not show that it lives, although something
// accepts connections at its address.
func TestUnframedAnswersNeedALivingTarget(t *testing.T) {
	const twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	done := func(status int, body string) callerResult {
		return callerResult{Status: status, Body: body, Outcome: event.Done}
	}
	failed := callerResult{Code: codes.TargetFailed.ID, Outcome: event.Unknown}
	for name, c := range map[string]struct {
		call   Call
		status int
		kind   string
		body   string
		want   callerResult
		// asked is how often the target is asked whether it lives.
		asked int
		lives bool
	}{
		"a body, lives":                 {routedCall, 200, "text/plain", "whole", done(200, "whole"), 1, true},
		"a body":                        {routedCall, 200, "text/plain", "whole", failed, 1, false},
		"no body, lives":                {routedCall, 200, "text/plain", "", failed, 0, true},
		"no body of a stream, lives":    {onceStream, 200, "text/event-stream", "", failed, 0, true},
		"a part of an event, lives":     {onceStream, 200, "text/event-stream", "id: 1\ndata: a\n", failed, 0, true},
		"events, lives":                 {onceStream, 200, "text/event-stream", twoEvents, done(200, twoEvents), 1, true},
		"events":                        {onceStream, 200, "text/event-stream", twoEvents, callerResult{Status: 200, Body: twoEvents, Code: codes.TargetFailed.ID, Outcome: event.Unknown}, 1, false},
		"a failure, lives":              {routedCall, 404, "text/plain", "gone", done(404, "gone"), 1, true},
		"a failure":                     {routedCall, 404, "text/plain", "gone", failed, 1, false},
		"a failure without body, lives": {routedCall, 404, "text/plain", "", done(404, ""), 1, true},
		"its own failure":               {routedCall, 500, "text/plain", "broke", failed, 1, false},
		"a redirect":                    {routedCall, 302, "text/plain", "", failed, 1, false},
		"an empty status":               {routedCall, 204, "text/plain", "", done(204, ""), 0, false},
		"not modified":                  {routedCall, 304, "text/plain", "", done(304, ""), 0, false},
		"an engine's json":              {plainCall, 200, "application/json", fmt.Sprintf(`{"id":"%s"}`, testID), done(200, fmt.Sprintf(`{"id":"%s"}`, testID)), 0, false},
		"an engine's stream":            {streamCall, 200, "text/event-stream", tokens(1, 2) + doneEvent, done(200, tokens(1, 2)), 0, false},
		"an engine's refusal":           {plainCall, 404, "application/json", "{}", failed, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, unframedAnswer(c.status, c.kind, c.body))
			f.atMostOnce = true
			asked := f.withLives(c.lives)
			check(t, "caller", c.want, f.run(t.Context(), c.call))
			check(t, "queries", c.asked, *asked)
			end := f.ends[0]
			check(t, "unframed", c.status != 204 && c.status != 304, end.Unframed)
			check(t, "proven whole", end.Unframed && c.want.Outcome == event.Done, end.ProvenWhole)
		})
	}
}

// Guards against asking a target whether it lives after the answer to a HEAD request, which has no body.
func TestAnswersToHeadAreFramed(t *testing.T) {
	f := newFixture(t, unframedAnswer(200, "text/plain", ""))
	asked := f.withLives(false)
	check(t, "caller", callerResult{Status: 200, Outcome: event.Done}, f.run(t.Context(), Call{Method: http.MethodHead, Path: "/jobs", Routed: true}))
	check(t, "queries", 0, *asked)
}

// Guards against breaking off a whole answer, as silent, while its target is asked whether it lives.
func TestWaitForALivingTargetIsNotSilence(t *testing.T) {
	const idle = 50 * time.Millisecond
	for name, c := range map[string]struct {
		call Call
		kind string
	}{"call": {routedCall, "text/plain"}, "stream": {onceStream, "text/event-stream"}} {
		t.Run(name, func(t *testing.T) {
			const text = "id: 1\ndata: a\n\n"
			f := newFixture(t, unframedAnswer(200, c.kind, text))
			f.idleTimeouts = event.IdleTimeouts{First: idle, Gap: idle}
			var delivered string
			f.rn.Lives = func(ctx context.Context, _ event.Target) bool {
				delivered = f.result.Body
				select {
				case <-ctx.Done():
					return false
				case <-time.After(4 * idle):
					return true
				}
			}
			check(t, "caller", callerResult{Status: 200, Body: text, Outcome: event.Done}, f.run(t.Context(), c.call))
			check(t, "silences", 0, f.silences)
			if c.call.Stream {
				check(t, "delivered before the query", text, delivered)
			}
		})
	}
}
