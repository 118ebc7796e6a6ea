package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

var place = event.Place{DataCentre: "uvs-a", Region: "uvs"}

func someHost(n int) event.Host {
	return event.Host{
		ID: ident.EntryID(fmt.Sprintf("uvs-%d", n)), Incarnation: 1764700000000000000, Place: place,
		CallerURL: fmt.Sprintf("http://10.1.1.%d:8080", n), PeerAddr: fmt.Sprintf("10.1.1.%d:7070", n),
	}
}

// someDigest returns the digest of one second in which five targets were used and the
// load of two was read.
func someDigest() event.Digest {
	d := event.Digest{Host: someHost(1), Seq: 4711, Revision: 8400}
	for n := range 5 {
		d.Use = append(d.Use, event.TargetUse{Target: ident.TargetID(fmt.Sprintf("uvs-e%d", n)), Running: 3 + n, Tokens: 2100})
	}
	for n := range 2 {
		d.Loads = append(d.Loads, event.Load{
			Target: ident.TargetID(fmt.Sprintf("uvs-e%d", n)), Incarnation: 1764700000000000000, Seq: 99,
			Age: 120 * time.Millisecond, Slots: 8, Running: 5, Queued: 1, QueuedTokens: 700,
			PrefillRate: 9000, DecodeRate: 42.5,
		})
	}
	for n := range 4 {
		d.Accounts = append(d.Accounts, event.AccountUse{Account: ident.Account(fmt.Sprintf("account-%d", n)), Requests: 12.5, Tokens: 4096})
	}
	d.Draining = []event.DrainNotice{{Target: "uvs-e9", Incarnation: 7}}
	return d
}

func someSummary() event.Summary {
	s := event.Summary{
		From: "uvs-1", Place: place, Incarnation: 1764700000000000000, Seq: 17, Age: 80 * time.Millisecond,
		InForce: 8399, Highest: 8400,
	}
	for n := range 8 {
		s.Hosts = append(s.Hosts, someHost(n))
	}
	for n := range 3 {
		s.Pools = append(s.Pools, event.Pool{
			Serve: rules.Serve{Model: ident.Model(fmt.Sprintf("draft-%d", n)), Version: "3"}, Slots: 80, Free: 12,
			Offer: 2, Wait: 40 * time.Millisecond, PrefillRate: 9000, DecodeRate: 42.5, Price: 0.25,
		})
	}
	s.Accounts = []event.AccountUse{{Account: "foundation", Requests: 90, Tokens: 30000}}
	return s
}

func golden(t *testing.T, name string, m proto.Message) {
	t.Helper()
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	text := fmt.Sprintf("%d bytes\n%s", len(b), hex.Dump(b))
	goldie.New(t, goldie.WithFixtureDir("testdata/golden")).Assert(t, name, []byte(text))
}

// Hosts of different versions exchange these messages, so the encoding must not change.
func TestGolden(t *testing.T) {
	golden(t, "digest", &Frame{Body: &Frame_Digest{Digest: FromDigest(someDigest())}})
	golden(t, "summary", &Frame{Body: &Frame_Summary{Summary: FromSummary(someSummary())}})
	golden(t, "ping", &Frame{Body: &Frame_Ping{Ping: &Ping{}}})
}

func roundTrip[M proto.Message](t *testing.T, m, into M) M {
	t.Helper()
	var buf bytes.Buffer
	if err := Write(&buf, m); err != nil {
		t.Fatal(err)
	}
	if err := Read(bufio.NewReader(&buf), into, MaxFrame); err != nil {
		t.Fatal(err)
	}
	return into
}

func TestDigestAndSummaryArriveAsSent(t *testing.T) {
	d := someDigest()
	d.Summaries = []event.Summary{someSummary()}
	d.Targets = []event.Target{
		{ID: "uvs-e1", Incarnation: 5, Kind: event.Engine, Place: place, URL: "http://10.1.2.1:8000", Price: 1.5},
		{ID: "uvs-s1", Kind: event.Service, Place: place, URL: "http://10.1.2.2:8000", Service: "publish", Draining: true},
	}
	d.Use[0].PendingPrefill = 1200
	d.Use = append(d.Use, event.TargetUse{Key: 77, Running: 2, Tokens: 900, PendingPrefill: 300})
	d.Demand = []event.PrefillDemand{{Service: "writers", UnsharedPrefill: 1500, SharedPrefill: 250.5}}
	pool := &d.Summaries[0].Pools[0]
	pool.Targets, pool.UnsharedPrefill, pool.SharedPrefill = 12, 64000, 512
	d.Loads[0].Serves = []rules.Serve{{Model: "draft", Version: "3", Adapter: "formal"}}
	d.Host.Draining = true
	host := d.Host
	host.Draining = false
	got := roundTrip(t, FromDigest(d), &Digest{}).ToEvent(host)
	if diff := cmp.Diff(d, got); diff != "" {
		t.Errorf("digest (-want +got):\n%s", diff)
	}
}

func TestChangesAndBookArriveAsSent(t *testing.T) {
	cs := []rules.Change{{
		Revision: 1, ID: "c-1", Operator: "ops", Approver: "other", Note: "a note",
		Items: []rules.Item{{Kind: rules.KindAccount, Name: "foundation", Doc: json.RawMessage(`{"name":"foundation"}`)}},
	}}
	if diff := cmp.Diff(cs, roundTrip(t, FromChanges(cs), &Changes{}).ToEvent()); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	book, err := (*rules.Book)(nil).Apply(cs[0])
	if err != nil {
		t.Fatal(err)
	}
	snap, err := FromBook(book)
	if err != nil {
		t.Fatal(err)
	}
	got, err := roundTrip(t, snap, &Snapshot{}).ToEvent()
	if err != nil {
		t.Fatal(err)
	}
	want, _ := json.Marshal(book)
	have, _ := json.Marshal(got)
	if diff := cmp.Diff(string(want), string(have)); diff != "" {
		t.Errorf("book (-want +got):\n%s", diff)
	}
}

func TestRequestArrivesAsSent(t *testing.T) {
	env := event.Envelope{
		Attempt: ident.Attempt{Entry: "uvs-1", Incarnation: 9, Number: 4}, ToIncarnation: 8, From: "uvs-1", FromPlace: place,
		Crossings: 1, Visited: []ident.EntryID{"uvs-1", "uvs-2"}, Revision: 3,
	}
	req := event.Request{ID: "req-1", Account: "foundation", Profile: "obituary", Prompt: 3, MaxTokens: 9, Prefix: []uint64{1}}
	o := roundTrip(t, FromRequest(req, env, 1500*time.Millisecond), &Open{})
	if diff := cmp.Diff(env, o.GetEnvelope().ToEvent(someHost(1))); diff != "" {
		t.Errorf("envelope (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1500*time.Millisecond, o.TimeLeft()); diff != "" {
		t.Errorf("time left (-want +got):\n%s", diff)
	}
	h := http.Header{"Content-Type": {"application/json"}, "X-A": {"1", "2"}}
	if diff := cmp.Diff(h, ToHeader(FromHeader(h))); diff != "" {
		t.Errorf("header (-want +got):\n%s", diff)
	}
	end := event.AttemptEnded{
		Result: event.ResultNotRun, Code: "VB1007", Status: 503, RetryAfter: time.Second, Generated: 5, Cached: 2,
		Draining: true, Resumable: true,
	}
	got, err := roundTrip(t, FromEnd(end, 77), &End{}).ToEvent()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(end, got); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
}

// A rate of NaN makes every comparison of costs false, so it must be read as unknown.
func TestInvalidNumbersCountAsUnknown(t *testing.T) {
	in := &Load{PrefillRate: float32(math.NaN()), DecodeRate: float32(math.Inf(1)), Running: -4}
	if diff := cmp.Diff(event.Load{}, toLoad(in)); diff != "" {
		t.Errorf("load (-want +got):\n%s", diff)
	}
}

// Guards against allocating memory for the announced length of a message before the
// length is checked.
func TestHugeMessageIsRefusedBeforeAllocation(t *testing.T) {
	b := append(protowire.AppendVarint(nil, 1<<30), 1, 2, 3, 4)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := Read(bufio.NewReader(bytes.NewReader(b)), &Frame{}, MaxFrame)
	runtime.ReadMemStats(&after)
	if !errors.Is(err, ErrFormat) {
		t.Errorf("got %v", err)
	}
	if n := after.TotalAlloc - before.TotalAlloc; n > 1<<24 {
		t.Errorf("%d bytes allocated", n)
	}
}

// An end frame with an unknown result must not count as a success.
func TestUnknownResultIsMalformed(t *testing.T) {
	for _, n := range []Result{0, -1, 99} {
		if _, err := (&End{Result: n}).ToEvent(); !errors.Is(err, ErrFormat) {
			t.Errorf("result %d: %v", n, err)
		}
	}
}

// FuzzFrame feeds arbitrary bytes to the control stream. No input may end the process,
// and a decoded message must decode to the same value after it is encoded again.
func FuzzFrame(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &Frame{}
		if err := Read(bufio.NewReader(bytes.NewReader(b)), m, MaxFrame); err != nil {
			return
		}
		host := m.GetHello().GetHost().ToEvent()
		dig := m.GetDigest().ToEvent(host)
		again := roundTrip(t, FromDigest(dig), &Digest{}).ToEvent(host)
		if diff := cmp.Diff(dig, again); diff != "" {
			t.Errorf("digest (-want +got):\n%s", diff)
		}
		_ = m.GetSummary().ToEvent()
		_ = m.GetChanges().ToEvent()
		if s := m.GetSnapshot(); s != nil {
			_, _ = s.ToEvent()
		}
		_ = m.GetBarAsk().ToEvent("uvs-1")
		_, _ = m.GetBarAnswer().ToEvent("uvs-1")
	})
}

// FuzzPart does the same for the stream of a forwarded request.
func FuzzPart(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &Part{}
		if err := Read(bufio.NewReader(bytes.NewReader(b)), m, MaxPart); err != nil {
			return
		}
		env := m.GetOpen().GetEnvelope().ToEvent(event.Host{})
		again := roundTrip(t, FromEnvelope(env), &Envelope{}).ToEvent(event.Host{})
		if diff := cmp.Diff(env, again); diff != "" {
			t.Errorf("envelope (-want +got):\n%s", diff)
		}
		_ = m.GetOpen().TimeLeft()
		_ = ToHeader(m.GetOpen().GetHeader())
		end, err := m.GetEnd().ToEvent()
		if err == nil && end.Result == "" {
			t.Error("an end without a result")
		}
	})
}

// Guards against ends of targets that lose a field, or columns of different lengths that are read past
// their end.
func TestTargetEnds(t *testing.T) {
	ends := []event.TargetEnd{
		{Content: 1, Run: 2, Age: 3 * time.Millisecond, Running: 4 * time.Millisecond, AnsweredIn: 5 * time.Millisecond},
		{Content: 6, Cleared: true, Confined: true},
		{Content: 7, Run: 8, Part: true, Under: 0xfedc, Condemned: true},
	}
	p := FromTargetEnds(ends, true)
	got, err := p.ToEvent("uvs-1")
	if diff := cmp.Diff(event.TargetEndsReceived{From: "uvs-1", Ends: ends, Relay: true}, got); err != nil || diff != "" {
		t.Errorf("error %v (-want +got):\n%s", err, diff)
	}
	p.Runs = p.Runs[:1]
	if _, err := p.ToEvent("uvs-1"); !errors.Is(err, ErrFormat) {
		t.Errorf("columns of different lengths: error %v", err)
	}
}
