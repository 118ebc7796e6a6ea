package proofs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/dev/ports"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// openMark finds the head of a request that is passed on in what was taped, by
// the field that holds the id of the request.
var openMark = regexp.MustCompile(`\x12\x24(req-[0-9a-f]{32})`)

// crossings counts how often each request has been passed between regions.
func (tp *tape) crossings() map[string]int {
	tp.mu.Lock()
	defer tp.mu.Unlock()
	ns := make(map[string]int)
	for _, b := range tp.buf {
		for _, m := range openMark.FindAllSubmatch(b.Bytes(), -1) {
			ns[string(m[1])]++
		}
	}
	return ns
}

// traffic is load on several regions, and where each request came from.
type traffic struct {
	*fleet
	mu   sync.Mutex
	from map[string]ident.DataCentre
}

// pulse sends requests to all hosts of data centres at once. Each runs whole
// or not at all.
func (tr *traffic) pulse(t *testing.T, dcs ...ident.DataCentre) {
	t.Helper()
	const each = 8
	var wg sync.WaitGroup
	for _, dc := range dcs {
		for _, m := range tr.at(dc) {
			for range each {
				wg.Go(func() { tr.one(t, m) })
			}
		}
	}
	wg.Wait()
}

func (tr *traffic) one(t *testing.T, m *member) {
	rep := post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "load", 40))
	if rep.status != http.StatusOK && refusalOf(rep).Error.Outcome != event.NotRun {
		t.Errorf("at %s: %d %s", m.id, rep.status, rep.body)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.from[rep.header.Get("Verbenadale-Request-Id")] = m.place.DataCentre
}

// attempts counts the attempts for each request at all engines, and the
// requests of each data centre that ran at an engine of another.
func (tr *traffic) attempts() (map[string]int, map[ident.DataCentre]int) {
	ns, away := make(map[string]int), make(map[ident.DataCentre]int)
	for _, tg := range tr.targets {
		for id, n := range tr.engineLedger(tg.ID).Requests {
			ns[id] += n
			if from, ok := tr.from[id]; ok && from != tg.Place.DataCentre {
				away[from]++
			}
		}
	}
	return ns, away
}

// Two full regions that believe each other idle send requests to and fro.
func TestTwoRegionsDoNotSwapRequests(t *testing.T) {
	slow := []string{"-slots", "4", "-tokenTime", "10ms"}
	f := startTuned(t, verbose,
		site{place: placeOf("uvs"), entries: 2, engines: 1, engineArgs: slow},
		site{place: placeOf("erdenet"), entries: 2, engines: 1, engineArgs: slow})
	tp := f.tapeRegions()
	f.configure()
	for _, m := range f.hosts {
		eventually(t, "an answer at "+string(m.id), func() bool {
			return post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "first", 2)).status == http.StatusOK
		})
	}
	f.feign("uvs", "erdenet", rules.Serve{Model: "draft"})
	f.feign("erdenet", "uvs", rules.Serve{Model: "draft"})
	tr := &traffic{fleet: f, from: make(map[string]ident.DataCentre)}
	const most = 10
	for wave := 1; ; wave++ {
		tr.pulse(t, "uvs", "erdenet")
		if _, away := tr.attempts(); away["uvs"] >= minCrossed && away["erdenet"] >= minCrossed {
			t.Logf("after %d waves, sent to engines of the other region: %v", wave, away)
			break
		}
		if wave == most {
			t.Fatalf("after %d waves requests have not crossed both ways", most)
		}
	}
	tr.judge(t, tp)
}

// judge bounds the journey of each request.
func (tr *traffic) judge(t *testing.T, tp *tape) {
	t.Helper()
	ns, _ := tr.attempts()
	tries, hops := 0, 0
	for id, n := range ns {
		tries = max(tries, n)
		if n > retry.MaxTries {
			t.Errorf("%s was sent to engines %d times", id, n)
		}
	}
	crossed := tp.crossings()
	for id, n := range crossed {
		hops = max(hops, n)
		if n > 1 {
			t.Errorf("%s crossed %d times", id, n)
		}
	}
	if len(crossed) == 0 {
		t.Error("the tape has no request that crossed")
	}
	t.Logf("%d requests, %d crossed; at most %d attempts at engines and %d crossings of one request", len(tr.from), len(crossed), tries, hops)
}

// A request that has crossed as often as it may is passed on again.
func TestPassedOnNoFurther(t *testing.T) {
	f := startFleet(t, siteOf("uvs", 1, 1, 0), siteOf("khovd", 1, 0, 0))
	f.configure()
	khovd := f.host("khovd-1")
	eventually(t, "khovd passes its own work on", func() bool {
		return post(t, khovd.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "own", 2)).status == http.StatusOK
	})
	g := f.forge(khovd, "stray-1", placeOf("erdenet"))
	body := chatBody("draft", "x", 2)
	pass := func(id ident.RequestID, crossings ident.Hops, seen ...ident.EntryID) fate {
		env := g.envelope()
		env.Crossings, env.Visited = crossings, append([]ident.EntryID{"stray-1"}, seen...)
		return g.pass(event.Request{ID: id, Account: "foundation", Profile: "draft", MaxTokens: 2, Stream: true}, env, body)
	}
	got := []fate{
		pass("req-fresh", 0), pass("req-spent", 1), pass("req-over", 2), pass("req-seen", 0, "khovd-1"),
	}
	want := []fate{
		{Wanted: true, Result: event.ResultDone},
		{Result: event.ResultNotRun, Code: codes.NoTarget.ID},
		{Result: event.ResultNotRun, Code: codes.TooManyHops.ID},
		{Result: event.ResultNotRun, Code: codes.TooManyHops.ID},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("fates (-want +got):\n%s", diff)
	}
	ran := f.engineLedger("uvs-e1").Requests
	if diff := cmp.Diff([]int{1, 0, 0, 0}, []int{ran["req-fresh"], ran["req-spent"], ran["req-over"], ran["req-seen"]}); diff != "" {
		t.Errorf("attempts at the engine (-want +got):\n%s", diff)
	}
}

// detour is a target that sends each request back to an entry host, as a
// proxy outside of the system does that was set up to point at itself.
type detour struct {
	to     []string
	rounds atomic.Int32
	seq    atomic.Uint64
	mu     sync.Mutex
	codes  map[codes.ID]int
}

// mostRounds ends a loop that the system does not end.
const mostRounds = 40

func (d *detour) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(event.Load{
			Target: "detour", Incarnation: 1, Seq: d.seq.Add(1), Slots: 100, DecodeRate: 100, PrefillRate: 1000,
			Serves: []rules.Serve{{Model: "round"}},
		})
		return
	}
	n := d.rounds.Add(1)
	if n > mostRounds {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body, _ := io.ReadAll(r.Body)
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, d.to[int(n)%len(d.to)]+r.URL.Path, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header["Via"] = append(r.Header.Values("Via"), "1.1 detour")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer res.Body.Close()
	answer, _ := io.ReadAll(res.Body)
	d.note(answer)
	w.Header().Set("Verbenadale-Attempt", r.Header.Get("Verbenadale-Attempt"))
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(answer)
}

func (d *detour) note(answer []byte) {
	var in interim
	in.fill(answer)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.codes[in.Code]++
}

func roomOf(st event.StatusAnswered) int {
	n := 0
	for _, tg := range st.Targets {
		n += tg.Load.Slots
	}
	return n
}

// A target that is a proxy to the entry hosts makes a request go round until its deadline.
func TestLoopThroughAProxyEnds(t *testing.T) {
	f := startFleet(t, siteOf("uvs", 2, 0, 0))
	d := &detour{codes: make(map[codes.ID]int)}
	for _, m := range f.hosts {
		d.to = append(d.to, m.callers())
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ports.IP(), targetPort))
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: d, ReadHeaderTimeout: waitLimit}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	putHosts(t, f.platform, store.Hosts{Targets: []event.Target{
		{ID: "detour", Kind: event.Engine, Place: placeOf("uvs"), URL: "http://" + ln.Addr().String()},
	}})
	f.configure(item(t, rules.KindProfile, "round", rules.Profile{Name: "round", Models: []rules.Serve{{Model: "round"}}, MaxCrossings: 1}))
	for _, m := range f.hosts {
		eventually(t, "the target is known at "+string(m.id), func() bool { return roomOf(f.status(m)) > 0 })
	}

	began := time.Now()
	rep := post(t, f.host("uvs-1").callers()+"/v1/chat/completions", "key-1", chatBody("round", "x", 2))
	if diff := cmp.Diff(codes.TargetFailed.ID, refusalOf(rep).Error.Code); diff != "" {
		t.Errorf("what the caller gets (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, d.codes[codes.TooManyHops.ID]); diff != "" {
		t.Errorf("rounds refused for their hops (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int32(2), d.rounds.Load()); diff != "" {
		t.Errorf("rounds (-want +got):\n%s", diff)
	}
	t.Logf("ended after %v", time.Since(began))
}
