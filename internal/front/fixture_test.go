package front

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/loop"
	"verbenadale.example/verbenadale/internal/meter"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/internal/target"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

const maxTestBody = 1 << 10

// fixture is a front with one target. Its step function replaces the reducer and sends every
// request to that target.
type fixture struct {
	fr  *Front
	srv *httptest.Server
	// targetCalls counts the calls that reached the target.
	targetCalls atomic.Int32

	mu       sync.Mutex
	reqs     []event.Request
	url      string
	attempts uint64
	// refuse, if set, is the answer of the reducer to every request.
	refuse *event.Refuse
}

// configOption changes the configuration of the front under test.
type configOption func(cfg *Config)

func newFixture(t testing.TB, answer http.HandlerFunc, changes ...configOption) *fixture {
	t.Helper()
	b := &fixture{}
	tgt := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.targetCalls.Add(1)
		w.Header().Set(target.HeaderAttempt, r.Header.Get(target.HeaderAttempt))
		answer(w, r)
	}))
	t.Cleanup(tgt.Close)
	b.url = tgt.URL
	svc := clock.New()
	t.Cleanup(svc.Stop)
	lp := loop.New(loop.Config{Step: b.step, Clock: svc, Log: logr.Discard(), Execute: func(event.Effect) {}})
	t.Cleanup(lp.Stop)
	book := testBook(t)
	cfg := Config{
		Self: event.Host{ID: "e", Place: event.Place{Region: "uvs"}}, Loop: lp, Clock: svc, Log: logr.Discard(),
		Book: func() *rules.Book { return book }, MaxBody: maxTestBody, Budget: serve.NewBudget(1 << 20),
		Meter: meter.New(metrics.NewRegistry()),
	}
	cfg.Runner = &serve.Runner{
		Loop: lp, Clock: svc, Log: logr.Discard(), Targets: target.New(),
		Answers: &serve.AnswerCache{}, MaxAnswer: 1 << 20, Budget: cfg.Budget,
	}
	for _, c := range changes {
		c(&cfg)
	}
	b.fr = New(cfg)
	b.srv = httptest.NewServer(b.fr)
	t.Cleanup(b.srv.Close)
	return b
}

func testBook(t testing.TB) *rules.Book {
	t.Helper()
	items := []rules.Item{
		item(t, rules.KindProfile, "draft", rules.Profile{Models: []rules.Serve{{Model: "m"}}, MaxCrossings: 1}),
		item(t, rules.KindProfile, "far", rules.Profile{Models: []rules.Serve{{Model: "m"}}, Regions: []ident.Region{"khovd"}}),
		item(t, rules.KindProfile, "vans", rules.Profile{Service: "vans"}),
		item(t, rules.KindAccount, "all", rules.Client{KeyDigest: rules.Digest("key")}),
		item(t, rules.KindAccount, "few", rules.Client{KeyDigest: rules.Digest("few"), Profiles: []ident.Profile{"draft"}}),
	}
	book, err := (&rules.Book{}).Apply(rules.Change{Revision: 1, ID: "c", Items: items})
	if err != nil {
		t.Fatal(err)
	}
	return book
}

func item(t testing.TB, kind rules.Kind, name string, doc any) rules.Item {
	t.Helper()
	b, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return rules.Item{Kind: kind, Name: name, Doc: b}
}

func (b *fixture) step(now ident.Time, ev event.Event) []event.Effect {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch e := ev.(type) {
	case event.RequestArrived:
		b.reqs = append(b.reqs, e.Request)
		if b.refuse != nil {
			ref := *b.refuse
			ref.Request = e.Request.ID
			return []event.Effect{ref}
		}
		b.attempts++
		return []event.Effect{event.Dispatch{
			Request: e.Request.ID, Attempt: ident.Attempt{Entry: ident.EntryID(e.Request.ID), Number: b.attempts},
			Target: event.Target{URL: b.url}, Deadline: now.Add(time.Minute),
		}}
	case event.AttemptEnded:
		id := ident.RequestID(e.Attempt.Entry)
		if e.Result == event.ResultDone {
			return []event.Effect{event.Finish{Request: id, Outcome: event.Done}}
		}
		return []event.Effect{event.Refuse{Request: id, Code: "VB1020", Outcome: event.Unknown}}
	case event.EntriesAsked:
		return []event.Effect{event.EntriesAnswered{Ask: e.Ask, TTL: 5 * time.Second, Entries: []event.Host{{CallerURL: "http://192.0.2.1:8080"}}}}
	case event.TicketAsked:
		return []event.Effect{event.TicketIssued{Ask: e.Ask, Ticket: "tk-" + e.Secret, TTL: time.Minute}}
	}
	return nil
}

// call is one request of a test.
type call struct {
	method, path, body string
	// header holds lines of the form "Name: value".
	header []string
}

// reply is the answer to a call.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (b *fixture) send(t *testing.T, c call) reply {
	t.Helper()
	req, err := http.NewRequest(c.method, b.srv.URL+c.path, strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key")
	for _, line := range c.header {
		k, v, _ := strings.Cut(line, ": ")
		if k == "Authorization" {
			req.Header.Del(k)
		}
		req.Header.Add(k, v)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, trailer: res.Trailer, body: string(text), err: err}
}

// raw opens a connection, writes text to it and returns it with a reader for the answer.
func (b *fixture) raw(t *testing.T, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", b.srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func check(t *testing.T, what string, want, have any) {
	t.Helper()
	if diff := cmp.Diff(want, have); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// streamed returns a handler that answers with a stream of n tokens.
func streamed(n int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range n {
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"%s\"}\n\n", i+1, r.Header.Get(target.HeaderRequest))
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func plainAnswer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"id":"%s"}`, r.Header.Get(target.HeaderRequest))
}
