package serve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/codes"
)

// uploadBytes is the length of an upload that does not fit into the buffers of a connection.
const uploadBytes = 4 << 20

// rawAnswer returns a handler that sends bytes of its own and then ends the connection. ATTEMPT and REQUEST stand for the ids that an
// answer names.
func rawAnswer(text string, end func(c *net.TCPConn, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		text := strings.NewReplacer("ATTEMPT", target.HeaderAttempt+": "+r.Header.Get(target.HeaderAttempt), "REQUEST", r.Header.Get(target.HeaderRequest)).Replace(text)
		_, _ = io.WriteString(c, text)
		end(c.(*net.TCPConn), r)
	}
}

func resetAfter(wait time.Duration) func(c *net.TCPConn, r *http.Request) {
	return func(c *net.TCPConn, _ *http.Request) {
		time.Sleep(wait)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// Guards against passing on as whole a part of an unframed answer whose connection was reset while the request was still being written.
func TestAnswerResetDuringAnUploadIsNotWhole(t *testing.T) {
	const events = "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct {
		call Call
		head string
		body string
	}{
		"service":             {serviceCall, "200 OK\r\nATTEMPT\r\n", "part"},
		"call":                {routedCall, "200 OK\r\nATTEMPT\r\n", "part"},
		"failure":             {routedCall, "404 Not Found\r\nATTEMPT\r\n", "part"},
		"stream":              {onceStream, "200 OK\r\nATTEMPT\r\nContent-Type: text/event-stream\r\n", events},
		"an engine's refusal": {plainCall, "404 Not Found\r\nATTEMPT\r\n", "part"},
	} {
		c.call.Method, c.call.Body = http.MethodPost, []byte(strings.Repeat("u", uploadBytes))
		for _, wait := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprint(name, wait), func(t *testing.T) {
				for range 5 {
					f := newFixture(t, rawAnswer("HTTP/1.1 "+c.head+"\r\n"+c.body, resetAfter(wait)))
					f.atMostOnce = true
					f.withLives(true)
					if got := f.run(t.Context(), c.call); got.Code != codes.TargetFailed.ID {
						t.Fatalf("the caller got %+v", got)
					}
				}
			})
		}
	}
}

func closeConn(*net.TCPConn, *http.Request) {}

// malformedHeads are heads of answers, by what is wrong with them.
var malformedHeads = map[string]string{
	"status 000": "HTTP/1.1 000\r\nATTEMPT\r\n", "status 042": "HTTP/1.1 042 X\r\nATTEMPT\r\n", "status +20": "HTTP/1.1 +20 X\r\nATTEMPT\r\n",
	"status 101": "HTTP/1.1 101 Switching Protocols\r\nATTEMPT\r\nConnection: upgrade\r\nUpgrade: x\r\n",
	"a blank":    "HTTP/1.1 200 OK\r\nATTEMPT\r\nX-A : b\r\n", "blanks": "HTTP/1.1 404 Not Found\r\nATTEMPT\r\nX A: b\r\n",
	"a length behind a blank": "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length : 3\r\n",
	"a control byte":          "HTTP/1.1 200 OK\r\nATTEMPT\r\nX\x07A: b\r\n",
}

// Guards against passing on a malformed answer: with its own body, with an answer that its body holds, or as a promise.
func TestMalformedAnswersAreNotPassedOn(t *testing.T) {
	const events = "id: 1\ndata: a\n\n"
	for name, head := range malformedHeads {
		for kind, c := range map[string]struct {
			call Call
			body string
		}{
			"service":  {serviceCall, "text"},
			"call":     {routedCall, "text"},
			"stream":   {onceStream, events},
			"engine":   {plainCall, `{"id":"REQUEST"}`},
			"events":   {streamCall, tokens(1, 2) + doneEvent},
			"answer":   {routedCall, "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 4\r\n\r\ntext"},
			"refusal":  {routedCall, ""},
			"no event": {streamCall, ""},
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				fields := ""
				switch kind {
				case "stream", "events":
					fields = "Content-Type: text/event-stream\r\n"
				case "refusal":
					fields = target.HeaderNotRun + ": true\r\n"
				}
				f := newFixture(t, rawAnswer(head+fields+"\r\n"+c.body, closeConn))
				f.atMostOnce = true
				f.withLives(true)
				got := f.run(t.Context(), c.call)
				check(t, "status and body", callerResult{}, callerResult{Status: got.Status, Body: got.Body})
				check(t, "results of the attempts", []event.Result{event.ResultBroken}, f.results())
			})
		}
	}
}
