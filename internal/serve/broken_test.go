package serve

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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
