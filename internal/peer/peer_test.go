package peer

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
	metrics "github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/dev/certs"
	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/logs"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// waitLimit bounds every wait, long enough that no verdict hangs on a tight
// timing.
const waitLimit = 20 * time.Second

// node is one entry host with a mesh and no reducer.
type node struct {
	*Mesh
	reg metrics.Registry
	out *lines

	mu  sync.Mutex
	evs []event.Event
}

type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func (n *node) post(ev event.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.evs = append(n.evs, ev)
}

// has reports whether an event has come that ok holds for.
func (n *node) has(ok func(ev event.Event) bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, ev := range n.evs {
		if ok(ev) {
			return true
		}
	}
	return false
}

func (n *node) count(name string) int64 {
	return metrics.GetOrRegisterCounter("peer."+name, n.reg).Count()
}

func hostAt(id ident.EntryID, dc ident.DataCentre, addr string) event.Host {
	return event.Host{
		ID: id, Incarnation: ident.Incarnation(time.Now().UnixNano()), PeerAddr: addr,
		Place: event.Place{DataCentre: dc, Region: ident.Region(dc)}, CallerURL: "http://" + addr,
	}
}

// startNode starts a host that answers requests of peers with run.
func startNode(t testing.TB, cfg Config, run ServeFunc) *node {
	t.Helper()
	n := &node{reg: metrics.NewRegistry(), out: &lines{}}
	svc := clock.New()
	cfg.Clock, cfg.Metrics, cfg.Listen = svc, n.reg, cfg.Self.PeerAddr
	cfg.Log = logs.New(n.out, logs.NewLevel(1))
	n.Mesh = New(cfg)
	if err := n.Start(n.post, run); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n.Stop(ctx)
		svc.Stop()
		if t.Failed() {
			t.Logf("%s:\n%s", cfg.Self.ID, n.out.buf.String())
		}
	})
	return n
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", waitLimit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func isUp(id ident.EntryID) func(ev event.Event) bool {
	return func(ev event.Event) bool {
		up, ok := ev.(event.PeerUp)
		return ok && up.Host.ID == id
	}
}

func isDown(id ident.EntryID) func(ev event.Event) bool {
	return func(ev event.Event) bool {
		down, ok := ev.(event.PeerDown)
		return ok && down.Entry == id
	}
}

func seedOf(h event.Host) config.Seed {
	return config.Seed{Entry: h.ID, Addr: h.PeerAddr, DataCentre: h.Place.DataCentre, Region: h.Place.Region}
}

// pair starts two hosts, the first of which dials the second.
func pair(t testing.TB, a, b Config, run ServeFunc) (*node, *node) {
	t.Helper()
	if b.Self.ID == "" {
		b.Self = hostAt("uvs-2", "uvs", ports.Next())
	}
	if a.Self.ID == "" {
		a.Self = hostAt("uvs-1", "uvs", ports.Next())
	}
	a.Seeds = []config.Seed{seedOf(b.Self)}
	y := startNode(t, b, run)
	x := startNode(t, a, nil)
	return x, y
}

func linked(t testing.TB, x, y *node) {
	t.Helper()
	eventually(t, "both see the link", func() bool {
		return x.has(isUp(y.cfg.Self.ID)) && y.has(isUp(x.cfg.Self.ID))
	})
}

// A control message is lost, or attributed to another host.
func TestControl(t *testing.T) {
	x, y := pair(t, Config{}, Config{}, nil)
	linked(t, x, y)
	to := y.cfg.Self
	dig := event.Digest{Host: x.cfg.Self, Seq: 7, Revision: 3}
	sum := event.Summary{From: "uvs-1", Place: x.cfg.Self.Place, Seq: 2}
	a := ident.Attempt{Entry: "uvs-1", Incarnation: x.cfg.Self.Incarnation, Number: 4}
	x.Send(event.SendDigest{To: []event.Host{to}, Digest: dig})
	x.Send(event.SendSummary{To: to, Summary: sum})
	x.Send(event.AskChanges{To: to, After: 9})
	x.Send(event.SendChanges{To: []event.Host{to}, Changes: []rules.Change{{Revision: 1, ID: "c-1"}}})
	x.Send(event.SendSnapshot{To: to, Book: &rules.Book{Revision: 6}})
	x.Send(event.AskBar{To: to, Incarnation: to.Incarnation, Attempt: a})
	for _, want := range []event.Event{
		event.DigestReceived{Digest: dig},
		event.SummaryReceived{Summary: sum},
		event.ChangesWanted{From: "uvs-1", After: 9},
		event.ChangesReceived{From: "uvs-1", Changes: []rules.Change{{Revision: 1, ID: "c-1"}}},
		event.BarAsked{From: "uvs-1", Attempt: a, To: to.Incarnation},
	} {
		eventually(t, event.TypeName(want), func() bool {
			return y.has(func(ev event.Event) bool { return cmp.Equal(want, ev) })
		})
	}
	eventually(t, "the snapshot", func() bool {
		return y.has(func(ev event.Event) bool {
			s, ok := ev.(event.SnapshotReceived)
			return ok && s.From == "uvs-1" && s.Book.Revision == 6
		})
	})
	y.Send(event.AnswerBar{To: "uvs-1", Attempt: a, Answer: event.Barred})
	want := event.BarAnswered{Attempt: a, Answer: event.Barred}
	eventually(t, "the answer", func() bool {
		return x.has(func(ev event.Event) bool { return cmp.Equal(event.Event(want), ev) })
	})
}

// An unrequested "barred" makes a request run twice.
func TestUnaskedBarAnswerIsDropped(t *testing.T) {
	x, y := pair(t, Config{}, Config{}, nil)
	linked(t, x, y)
	a := ident.Attempt{Entry: "uvs-1", Incarnation: x.cfg.Self.Incarnation, Number: 4}
	y.Send(event.AnswerBar{To: "uvs-1", Attempt: a, Answer: event.Barred})
	eventually(t, "the answer is counted as rejected", func() bool { return x.count("rejected") == 1 })
	if x.has(func(ev event.Event) bool { _, ok := ev.(event.BarAnswered); return ok }) {
		t.Error("the reducer was notified")
	}
}

func keysFor(t testing.TB, ca *certs.Authority, id ident.EntryID) *Keys {
	t.Helper()
	fs, err := ca.Issue(t.TempDir(), string(id))
	if err != nil {
		t.Fatal(err)
	}
	k := &Keys{CertFile: fs.Cert, KeyFile: fs.Key, CAFile: fs.CA, Log: logr.Discard()}
	if err := k.Open(); err != nil {
		t.Fatal(err)
	}
	return k
}

func newCA(t testing.TB) *certs.Authority {
	t.Helper()
	ca, err := certs.New()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// someCall is a request of a caller that is to be passed on.
func someCall(to event.Host, body string) serve.ForwardedRequest {
	return serve.ForwardedRequest{
		Forward: event.Forward{
			Request: "req-1", To: to, Deadline: ident.Time(time.Hour),
			Envelope: event.Envelope{
				Attempt: ident.Attempt{Entry: "uvs-1", Number: 1}, To: to.Incarnation,
				Seen: []ident.EntryID{"uvs-1"}, Crossings: 1,
			},
		},
		Request: event.Request{ID: "req-1", Account: "foundation", Profile: "obituary", Prompt: 5, Stream: true, Prefix: []uint64{1, 2}},
		Call: serve.Call{
			Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(body), Stream: true, Engine: true,
			Header: http.Header{"Content-Type": {"application/json"}},
		},
	}
}

// answer is what a caller's side has received.
type answer struct {
	status int
	body   bytes.Buffer
	upto   ident.Tokens
	sent   int
}

func (a *answer) relay() serve.Relay {
	return serve.Relay{
		Begin: func(status int, _ http.Header) { a.status = status },
		Data: func(b []byte, upto ident.Tokens) error {
			a.upto = upto
			a.body.Write(b)
			return nil
		},
	}
}

// forward passes a request from x on to y.
func forward(ctx context.Context, x, y *node, body string, change func(p *serve.ForwardedRequest)) (*answer, event.AttemptEnded) {
	p := someCall(y.cfg.Self, body)
	p.Forward.Envelope.Attempt.Incarnation = x.cfg.Self.Incarnation
	if change != nil {
		change(&p)
	}
	a := &answer{}
	end := x.Forward(ctx, p, func() { a.sent++ }, a.relay())
	return a, end
}
