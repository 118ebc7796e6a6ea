package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/certs"
	"verbenadale.example/verbenadale/internal/dev/engine"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

const testTimeout = 20 * time.Second

// relay is a reducer that forwards each request of a caller to its only peer and
// dispatches each forwarded request to its only engine.
type relay struct {
	book   *rules.Book
	engine event.Target

	mu       sync.Mutex
	self     event.Host
	peer     event.Host
	number   uint64
	attempts map[ident.Attempt]ident.RequestID
	draining bool
}

func (r *relay) step(now ident.Time, ev event.Event) []event.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e := ev.(type) {
	case event.Tick:
		return []event.Effect{event.InForceNow{Book: r.book}}
	case event.PeerUp:
		r.peer = e.Host
	case event.RequestArrived:
		return []event.Effect{r.arrive(now, e.Request)}
	case event.AttemptEnded:
		return r.ended(e)
	case event.DrainAsked:
		r.draining = true
	}
	return r.drainEffects()
}

func (r *relay) arrive(now ident.Time, req event.Request) event.Effect {
	r.number++
	a := ident.Attempt{Entry: r.self.ID, Incarnation: r.self.Incarnation, Number: r.number}
	r.attempts[a] = req.ID
	deadline := now.Add(testTimeout)
	if _, forwarded := req.Envelope.Get(); forwarded {
		return event.Dispatch{Request: req.ID, Serve: rules.Serve{Model: "draft"}, Attempt: a, Target: r.engine, Deadline: deadline}
	}
	env := event.Envelope{Attempt: a, ToIncarnation: r.peer.Incarnation, Visited: []ident.EntryID{r.self.ID}}
	return event.Forward{Request: req.ID, To: r.peer, Envelope: env, Deadline: deadline}
}

func (r *relay) ended(e event.AttemptEnded) []event.Effect {
	id := r.attempts[e.Attempt]
	delete(r.attempts, e.Attempt)
	if e.Result != event.ResultDone {
		return append(r.drainEffects(), event.Refuse{Request: id, Code: codes.TargetFailed.ID, Outcome: event.Unknown})
	}
	return append([]event.Effect{event.Finish{Request: id, Outcome: event.Done}}, r.drainEffects()...)
}

func (r *relay) drainEffects() []event.Effect {
	if r.draining && len(r.attempts) == 0 {
		return []event.Effect{event.Drained{}}
	}
	return nil
}

func (r *relay) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}

func testBook(t *testing.T) *rules.Book {
	t.Helper()
	item := func(kind rules.Kind, name string, doc any) rules.Item {
		b, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		return rules.Item{Kind: kind, Name: name, Doc: b}
	}
	book, err := (*rules.Book)(nil).Apply(rules.Change{Revision: 1, Items: []rules.Item{
		item(rules.KindProfile, "obituary", rules.Profile{Name: "obituary", Models: []rules.Serve{{Model: "draft"}}}),
		item(rules.KindAccount, "foundation", rules.Client{Name: "foundation", KeyDigest: rules.Digest("key-1")}),
	}})
	if err != nil {
		t.Fatal(err)
	}
	return book
}

// startEntry starts an entry host with its own TLS keys.
func startEntry(t *testing.T, id ident.EntryID, ca *certs.Authority, r *relay, seeds ...config.Seed) *Daemon {
	t.Helper()
	fs, err := ca.Issue(t.TempDir(), string(id))
	if err != nil {
		t.Fatal(err)
	}
	set := config.Defaults()
	set.Entry, set.DataCentre, set.Region = id, "uvs", "uvs"
	set.Callers.Listen, set.Operators.Listen = ports.Next(), ports.Next()
	set.Peers = config.Peers{Listen: ports.Next(), Seeds: seeds, CertFile: fs.Cert, KeyFile: fs.Key, CAFile: fs.CA}
	r.attempts = make(map[ident.Attempt]ident.RequestID)
	r.book = testBook(t)
	d, err := Start(Config{Settings: set, Log: logr.Discard(), Level: logs.NewLevel(0), Step: r.step})
	if err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	r.self = d.self
	r.mu.Unlock()
	t.Cleanup(d.Stop)
	return d
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not reached within %v: %s", testTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// twoEntries starts host x, which serves callers, and host y, which has an engine
// and gets the requests that x forwards.
func twoEntries(t *testing.T, tokenTime time.Duration) (x, y *Daemon, ry *relay) {
	t.Helper()
	return twoEntriesWith(t, engine.New(engine.Config{ID: "e1", Serves: []rules.Serve{{Model: "draft"}}, Slots: 8, TokenTime: tokenTime}))
}

func twoEntriesWith(t *testing.T, h http.Handler) (x, y *Daemon, ry *relay) {
	t.Helper()
	eng := httptest.NewServer(h)
	t.Cleanup(eng.Close)
	ca, err := certs.New()
	if err != nil {
		t.Fatal(err)
	}
	rx, ry := &relay{}, &relay{engine: event.Target{ID: "e1", Kind: event.Engine, URL: eng.URL}}
	y = startEntry(t, "uvs-2", ca, ry)
	x = startEntry(t, "uvs-1", ca, rx, config.Seed{Entry: "uvs-2", Addr: y.self.PeerAddr, DataCentre: "uvs", Region: "uvs"})
	eventually(t, "the hosts are linked", func() bool {
		rx.mu.Lock()
		defer rx.mu.Unlock()
		return rx.peer.ID == "uvs-2"
	})
	return x, y, ry
}

func sendChat(t *testing.T, d *Daemon, stream bool, tokens int) string {
	t.Helper()
	body := fmt.Sprintf(`{"model":"obituary","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, stream, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+d.cfg.Settings.Callers.Listen+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer key-1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(http.StatusOK, res.StatusCode); diff != "" {
		t.Fatalf("status (-want +got):\n%s\n%s", diff, b)
	}
	if own := res.Header.Get("Verbenadale-Request-Id"); !strings.Contains(string(b), own) {
		t.Errorf("the answer does not name its request %s: %s", own, b)
	}
	return string(b)
}

// Guards against an incomplete answer to a request that only another entry host can
// serve.
func TestForwardedRequest(t *testing.T) {
	x, _, _ := twoEntries(t, 0)
	stream := sendChat(t, x, true, 20)
	if n := strings.Count(stream, "chat.completion.chunk"); n != 20 || !strings.HasSuffix(stream, "data: [DONE]\n\n") {
		t.Errorf("%d tokens in %s", n, stream)
	}
	if answer := sendChat(t, x, false, 20); !strings.Contains(answer, `"completion_tokens":20`) {
		t.Errorf("answer %s", answer)
	}
}

// Guards against a draining host that closes its peer links while it still serves a
// request of another host, whose caller then gets an incomplete answer.
func TestDrainCompletesForwardedAnswers(t *testing.T) {
	x, y, ry := twoEntries(t, 10*time.Millisecond)
	s := &drainer{d: y, r: ry, done: make(chan struct{})}
	go s.run()
	stream := sendChat(t, x, true, 50)
	if n := strings.Count(stream, "chat.completion.chunk"); n != 50 || !strings.HasSuffix(stream, "data: [DONE]\n\n") {
		t.Errorf("%d tokens in %s", n, stream)
	}
	eventually(t, "the host stops", s.stopped)
}

// drainer drains and stops a host once it serves a request.
type drainer struct {
	d    *Daemon
	r    *relay
	done chan struct{}
}

func (s *drainer) stopped() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

func (s *drainer) run() {
	for s.r.running() == 0 {
		time.Sleep(time.Millisecond)
	}
	s.d.Drain()
	<-s.d.Drained()
	s.d.Stop()
	close(s.done)
}
