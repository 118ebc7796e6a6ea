package serve

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
)

// eventStream are the headers of a stream of events.
var eventStream = http.Header{"Content-Type": {"text/event-stream"}}

// relayAnswer returns another entry host that relays an answer and its end.
func relayAnswer(status int, h http.Header, body string, result event.Result) func(ForwardedRequest, Relay) event.AttemptEnded {
	return func(req ForwardedRequest, relay Relay) event.AttemptEnded {
		relay.Begin(status, h)
		if body != "" {
			if err := relay.Data([]byte(body), req.Forward.ResumeAfter); err != nil {
				return event.AttemptEnded{Result: event.ResultBroken}
			}
		}
		return event.AttemptEnded{Result: result, Delivered: req.Forward.ResumeAfter}
	}
}

// Guards against a stream that ends as complete because another region has relayed a failure, or any other answer that
// is no stream, in place of its rest.
func TestForwardedAnswerInPlaceOfRestDoesNotEndStream(t *testing.T) {
	for name, host := range map[string]func(ForwardedRequest, Relay) event.AttemptEnded{
		"failure":            relayAnswer(500, http.Header{}, "{}", event.ResultDone),
		"failure, no body":   relayAnswer(504, http.Header{}, "", event.ResultDone),
		"no content":         relayAnswer(204, http.Header{}, "", event.ResultDone),
		"redirect":           relayAnswer(307, eventStream, "", event.ResultDone),
		"no events":          relayAnswer(200, http.Header{}, "{}", event.ResultDone),
		"no events, no body": relayAnswer(200, http.Header{}, "", event.ResultDone),
		"broken":             relayAnswer(200, http.Header{}, "{", event.ResultBroken),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				streamAnswer(routedEvents(1, 2))(w, r)
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			})
			f.hosts = append(f.hosts, host)
			got := f.run(t.Context(), routedStream)
			check(t, "body", routedEvents(1, 2), got.Body)
			check(t, "reported as complete", false, got.Outcome == event.Done)
			check(t, "resumable", true, f.ends[1].Resumable)
			check(t, "faults", []string{"truncated", "notContinued"}, []string{f.ends[0].Fault, f.ends[1].Fault})
		})
	}
}

// relayEvents returns another entry host that relays the events of a stream one by one.
func relayEvents(t *testing.T, text string) func(ForwardedRequest, Relay) event.AttemptEnded {
	return func(req ForwardedRequest, relay Relay) event.AttemptEnded {
		relay.Begin(200, eventStream)
		end := event.AttemptEnded{Result: event.ResultDone, Delivered: req.Forward.ResumeAfter}
		r := &eventReader{br: bufio.NewReader(strings.NewReader(text)), lastID: req.Forward.ResumeAfter}
		for {
			ev, err := r.next()
			if errors.Is(err, io.EOF) {
				return end
			}
			if err != nil {
				t.Error(err)
				return end
			}
			if relay.Data(ev, r.lastID) != nil {
				end.Result = event.ResultBroken
				return end
			}
			end.Delivered = r.lastID
		}
	}
}

// Guards against a rest from another region that lacks an event: only this host knows which one comes next.
func TestForwardedRestWithGapIsCut(t *testing.T) {
	for name, c := range map[string]struct {
		first, second string
		want          string
		outcome       event.Outcome
	}{
		"goes on":              {routedEvents(1, 2), routedEvents(3, 4), routedEvents(1, 4), event.Done},
		"gap":                  {routedEvents(1, 2), routedEvents(4, 5), routedEvents(1, 2), event.Unknown},
		"goes on by eight":     {steppedEvents(0, 8, 2), steppedEvents(16, 8, 1), steppedEvents(0, 8, 3), event.Done},
		"larger steps on both": {steppedEvents(0, 8, 2), steppedEvents(16, 4, 1), steppedEvents(0, 8, 2) + steppedEvents(16, 4, 1), event.Done},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, brokenStream(c.first))
			f.hosts = append(f.hosts, relayEvents(t, c.second))
			got := f.run(t.Context(), routedStream)
			check(t, "body", c.want, got.Body)
			check(t, "outcome", c.outcome, got.Outcome)
		})
	}
}
