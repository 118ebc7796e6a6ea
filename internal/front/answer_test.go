package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/target"
)

// sender sends one call and delivers its reply on done.
type sender struct {
	b    *fixture
	t    *testing.T
	c    call
	done chan reply
}

func (s *sender) run() { s.done <- s.b.send(s.t, s.c) }

// bodyFlood holds open connections whose bodies never end.
type bodyFlood struct {
	b       *fixture
	head    string
	refused chan int
	conns   []net.Conn
}

func (f *bodyFlood) start(t *testing.T) {
	conn, br := f.b.raw(t, f.head)
	f.conns = append(f.conns, conn)
	s := &statusReader{conn: conn, r: br, refused: f.refused}
	go s.run()
}

func (f *bodyFlood) stop() {
	for _, c := range f.conns {
		c.Close()
	}
}

// statusReader reads the status of the answer on one connection.
type statusReader struct {
	conn    net.Conn
	r       io.Reader
	refused chan int
}

func (s *statusReader) run() {
	var status int
	if _, err := fmt.Fscanf(s.r, "HTTP/1.1 %d", &status); err == nil {
		s.refused <- status
	}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	const tries = 2000
	for range tries {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition was not met in time")
}

const streamChat = `{"model":"draft","stream":true,"messages":[{"role":"user","content":"hi"}]}`

// Guards against a stream without its end marker or its trailer.
func TestStream(t *testing.T) {
	b := newFixture(t, streamed(3))
	rep := b.send(t, call{"POST", chatPath, streamChat, nil})
	check(t, "status", http.StatusOK, rep.status)
	check(t, "end marker", true, strings.HasSuffix(rep.body, "data: [DONE]\n\n"))
	check(t, "events", 4, strings.Count(rep.body, "data: "))
	check(t, "trailer", "done", rep.trailer.Get(HeaderOutcome))
	check(t, "no outcome before the end", "", rep.header.Get(HeaderOutcome))
	check(t, "contains the request id", true, strings.Contains(rep.body, rep.header.Get(HeaderRequest)))
}

// Guards against an end marker on a stream whose target failed.
func TestStreamCut(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 1\ndata: {\"id\":\"%s\"}\n\n", r.Header.Get(target.HeaderRequest))
	})
	rep := b.send(t, call{"POST", chatPath, streamChat, nil})
	check(t, "cut", true, rep.err != nil)
	check(t, "error event", true, strings.Contains(rep.body, "event: error\ndata: {\"error\""))
	check(t, "no end marker", false, strings.Contains(rep.body, "[DONE]"))
}

// Guards against a stream of a service that is broken off because its caller has closed its sending side, and ends as
// complete, and against an empty success.
func TestAnswerToHalfClosedCallerDoesNotLookComplete(t *testing.T) {
	for name, begins := range map[string]bool{"stream": true, "no answer yet": false} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				if begins {
					w.Header().Set("Content-Type", "text/event-stream")
					fmt.Fprint(w, "data: first\n\n")
					_ = http.NewResponseController(w).Flush()
				}
				close(arrived)
				<-r.Context().Done()
			})
			conn, br := b.raw(t, "GET /v1/services/vans/x HTTP/1.1\r\nHost: x\r\nAccept: text/event-stream\r\nAuthorization: Bearer key\r\n\r\n")
			<-arrived
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(br, nil)
			if err != nil {
				return
			}
			text, err := io.ReadAll(res.Body)
			if err == nil {
				t.Errorf("the answer looks complete: status %d, %q", res.StatusCode, text)
			}
		})
	}
}

// Guards against a part of a stream that looks complete, since an answer in HTTP/1.0 ends with its connection.
func TestHTTP10IsRefused(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "data: first\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	conn, br := b.raw(t, "GET /v1/services/vans/x HTTP/1.0\r\nHost: x\r\nAccept: text/event-stream\r\nAuthorization: Bearer key\r\n\r\n")
	res, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	text, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == http.StatusOK {
		t.Errorf("the answer looks complete: %q", text)
	}
	check(t, "status", http.StatusHTTPVersionNotSupported, res.StatusCode)
}

// Guards against appending the end marker of a stream to a JSON error of an engine.
func TestStreamAnsweredPlain(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusBadRequest)
		fmt.Fprint(w, `{"error":{}}`)
	})
	rep := b.send(t, call{"POST", chatPath, streamChat, nil})
	check(t, "status", http.StatusBadRequest, rep.status)
	check(t, "body", `{"error":{}}`, rep.body)
	check(t, "outcome", "done", rep.header.Get(HeaderOutcome))
}

// Guards against a service call that loses its method, query, body or status, or that leaks keys
// and cookies.
func TestService(t *testing.T) {
	b := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Location", "/jobs/7")
		w.Header().Set("Set-Cookie", "a=b")
		w.WriteHeader(http.StatusCreated)
		fmt.Fprintf(w, "%s %s %s|%s|%s|%s", r.Method, r.URL, body, r.Header.Get("Accept-Language"),
			r.Header.Get("Authorization")+r.Header.Get("Cookie"), r.Header.Get("Via"))
	})
	rep := b.send(t, call{"PUT", "/v1/services/vans/a%20b/c?x=1&y=%2F", "text", []string{"Accept-Language: gd", "Cookie: c=d", "Via: 1.1 office"}})
	check(t, "status", http.StatusCreated, rep.status)
	check(t, "body", "PUT /a%20b/c?x=1&y=%2F text|gd||1.1 office, 1.1 verbenadale", rep.body)
	check(t, "location", "/jobs/7", rep.header.Get("Location"))
	check(t, "cookie", "", rep.header.Get("Set-Cookie"))
	check(t, "outcome", "done", rep.header.Get(HeaderOutcome))
}

// Checks the lists of models and entry hosts, and the ticket, that callers request first.
func TestLists(t *testing.T) {
	b := newFixture(t, plainAnswer)
	few := []string{"Authorization: Bearer few"}
	check(t, "models", `{"object":"list","data":[{"id":"draft","object":"model","created":0,"owned_by":"verbenadale"}]}`+"\n",
		b.send(t, call{"GET", "/v1/models", "", few}).body)
	check(t, "entries", `{"entries":["http://192.0.2.1:8080"],"validForMs":5000}`+"\n",
		b.send(t, call{"GET", "/v1/entries?profile=far", "", nil}).body)
	rep := b.send(t, call{"POST", "/v1/tickets?profile=vans", "", nil})
	check(t, "ticket", true, strings.HasPrefix(rep.body, `{"ticket":"tk-`) && strings.Contains(rep.body, `"validForMs":60000`))
}
