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

// openPattern matches the request id field in the first message of a forwarded request.
var openPattern = regexp.MustCompile(`\x12\x24(req-[0-9a-f]{32})`)

// crossingCounts counts how often each request was forwarded between regions.
func (cp *capture) crossingCounts() map[string]int {
	cp.mu.Lock()
	defer cp.mu.Unlock()
	ns := make(map[string]int)
	for _, b := range cp.buf {
		for _, m := range openPattern.FindAllSubmatch(b.Bytes(), -1) {
			ns[string(m[1])]++
		}
	}
	return ns
}

// traffic is load on several regions, with the origin of each request.
type traffic struct {
	*fleet
	mu      sync.Mutex
	origins map[string]ident.DataCentre
}

// sendBurst sends requests to all hosts of some data centres at once. Each must either be done or
// be reported as not run.
func (tr *traffic) sendBurst(t *testing.T, dcs ...ident.DataCentre) {
	t.Helper()
	const each = 8
	var wg sync.WaitGroup
	for _, dc := range dcs {
		for _, m := range tr.hostsIn(dc) {
			for range each {
				wg.Go(func() { tr.sendOne(t, m) })
			}
		}
	}
	wg.Wait()
}

func (tr *traffic) sendOne(t *testing.T, m *fleetHost) {
	rep := post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "load", 40))
	if rep.status != http.StatusOK && refusalOf(rep).Error.Outcome != event.NotRun {
		t.Errorf("failed at %s: %d %s", m.id, rep.status, rep.body)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.origins[rep.header.Get("Verbenadale-Request-Id")] = m.place.DataCentre
}

// attempts returns how often each request was sent to engines, and for each data centre how many
// of its requests were sent to engines of another one.
func (tr *traffic) attempts() (map[string]int, map[ident.DataCentre]int) {
	ns, remote := make(map[string]int), make(map[ident.DataCentre]int)
	for _, tg := range tr.targets {
		for id, n := range tr.engineLedger(tg.ID).Requests {
			ns[id] += n
			if from, ok := tr.origins[id]; ok && from != tg.Place.DataCentre {
				remote[from]++
			}
		}
	}
	return ns, remote
}

// Two overloaded regions must not forward the same request back and forth. False summaries make
// each region consider the other one idle.
func TestTwoRegionsDoNotSwapRequests(t *testing.T) {
	slow := []string{"-slots", "4", "-tokenTime", "10ms"}
	f := startFleetWith(t, logEverything,
		site{place: placeOf("uvs"), entries: 2, engines: 1, engineArgs: slow},
		site{place: placeOf("erdenet"), entries: 2, engines: 1, engineArgs: slow})
	cp := f.captureRegions()
	f.configure()
	for _, m := range f.hosts {
		eventually(t, "an answer at "+string(m.id), func() bool {
			return post(t, m.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "first", 2)).status == http.StatusOK
		})
	}
	f.reportIdle("uvs", "erdenet", rules.Serve{Model: "draft"})
	f.reportIdle("erdenet", "uvs", rules.Serve{Model: "draft"})
	tr := &traffic{fleet: f, origins: make(map[string]ident.DataCentre)}
	const maxBursts = 10
	for burst := 1; ; burst++ {
		tr.sendBurst(t, "uvs", "erdenet")
		if _, remote := tr.attempts(); remote["uvs"] >= minCrossed && remote["erdenet"] >= minCrossed {
			t.Logf("after %d bursts, requests that ran in the other region: %v", burst, remote)
			break
		}
		if burst == maxBursts {
			t.Fatalf("after %d bursts requests have not crossed in both directions", maxBursts)
		}
	}
	tr.checkBounds(t, cp)
}

// checkBounds checks the attempts and crossings of each request against their limits.
func (tr *traffic) checkBounds(t *testing.T, cp *capture) {
	t.Helper()
	ns, _ := tr.attempts()
	maxAttempts, maxCrossings := 0, 0
	for id, n := range ns {
		maxAttempts = max(maxAttempts, n)
		if n > retry.MaxAttempts {
			t.Errorf("%s was sent to engines %d times", id, n)
		}
	}
	crossed := cp.crossingCounts()
	for id, n := range crossed {
		maxCrossings = max(maxCrossings, n)
		if n > 1 {
			t.Errorf("%s crossed %d times", id, n)
		}
	}
	if len(crossed) == 0 {
		t.Error("the capture has no request that crossed")
	}
	t.Logf("%d requests, %d crossed; at most %d attempts at engines and %d crossings of one request", len(tr.origins), len(crossed), maxAttempts, maxCrossings)
}

// A request that has reached its crossing limit, or has visited the host before, must not be
// forwarded again.
func TestPassedOnNoFurther(t *testing.T) {
	f := startFleet(t, siteOf("uvs", 1, 1, 0), siteOf("khovd", 1, 0, 0))
	f.configure()
	khovd := f.host("khovd-1")
	eventually(t, "khovd forwards the requests of its callers", func() bool {
		return post(t, khovd.callers()+"/v1/chat/completions", "key-1", chatBody("draft", "own", 2)).status == http.StatusOK
	})
	rh := f.startRogue(khovd, "stray-1", placeOf("erdenet"))
	body := chatBody("draft", "x", 2)
	forward := func(id ident.RequestID, crossings ident.Hops, seen ...ident.EntryID) forwardResult {
		env := rh.envelope()
		env.Crossings, env.Visited = crossings, append([]ident.EntryID{"stray-1"}, seen...)
		return rh.forward(event.Request{ID: id, Account: "foundation", Profile: "draft", MaxTokens: 2, Stream: true}, env, body)
	}
	got := []forwardResult{
		forward("req-fresh", 0), forward("req-spent", 1), forward("req-over", 2), forward("req-seen", 0, "khovd-1"),
	}
	want := []forwardResult{
		{BodyRequested: true, Result: event.ResultDone},
		{Result: event.ResultNotRun, Code: codes.NoTarget.ID},
		{Result: event.ResultNotRun, Code: codes.TooManyHops.ID},
		{Result: event.ResultNotRun, Code: codes.TooManyHops.ID},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results of forwarded requests (-want +got):\n%s", diff)
	}
	ran := f.engineLedger("uvs-e1").Requests
	if diff := cmp.Diff([]int{1, 0, 0, 0}, []int{ran["req-fresh"], ran["req-spent"], ran["req-over"], ran["req-seen"]}); diff != "" {
		t.Errorf("attempts at the engine (-want +got):\n%s", diff)
	}
}

// proxyTarget is a target that sends each request back to an entry host, like a misconfigured
// external proxy.
type proxyTarget struct {
	to []string
	// rounds counts the requests that the target received.
	rounds atomic.Int32
	seq    atomic.Uint64
	mu     sync.Mutex
	codes  map[codes.ID]int
}

// maxRounds stops a loop that the system fails to stop.
const maxRounds = 40

func (d *proxyTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(event.Load{
			Target: "detour", Incarnation: 1, Seq: d.seq.Add(1), Slots: 100, DecodeRate: 100, PrefillRate: 1000,
			Serves: []rules.Serve{{Model: "round"}},
		})
		return
	}
	n := d.rounds.Add(1)
	if n > maxRounds {
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
	d.recordCode(answer)
	w.Header().Set("Verbenadale-Attempt", r.Header.Get("Verbenadale-Attempt"))
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(answer)
}

func (d *proxyTarget) recordCode(answer []byte) {
	var got expectResult
	got.fill(answer)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.codes[got.Code]++
}

func totalSlots(st event.StatusAnswered) int {
	n := 0
	for _, tg := range st.Targets {
		n += tg.Load.Slots
	}
	return n
}

// A target that is a proxy to the entry hosts must not make a request circulate until its deadline.
func TestLoopThroughAProxyEnds(t *testing.T) {
	f := startFleet(t, siteOf("uvs", 2, 0, 0))
	d := &proxyTarget{codes: make(map[codes.ID]int)}
	for _, m := range f.hosts {
		d.to = append(d.to, m.callers())
	}
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ports.IP(), targetPort))
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: d, ReadHeaderTimeout: testTimeout}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	putHosts(t, f.platform, store.Hosts{Targets: []event.Target{
		{ID: "detour", Kind: event.Engine, Place: placeOf("uvs"), URL: "http://" + ln.Addr().String()},
	}})
	f.configure(item(t, rules.KindProfile, "round", rules.Profile{Name: "round", Models: []rules.Serve{{Model: "round"}}, MaxCrossings: 1}))
	for _, m := range f.hosts {
		eventually(t, "the target is known at "+string(m.id), func() bool { return totalSlots(f.status(m)) > 0 })
	}

	startedAt := time.Now()
	rep := post(t, f.host("uvs-1").callers()+"/v1/chat/completions", "key-1", chatBody("round", "x", 2))
	if diff := cmp.Diff(codes.TargetFailed.ID, refusalOf(rep).Error.Code); diff != "" {
		t.Errorf("code of the caller's answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, d.codes[codes.TooManyHops.ID]); diff != "" {
		t.Errorf("rounds refused for too many hops (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int32(2), d.rounds.Load()); diff != "" {
		t.Errorf("rounds (-want +got):\n%s", diff)
	}
	t.Logf("ended after %v", time.Since(startedAt))
}
