package proofs

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/store"
	"verbenadale.example/verbenadale/pkg/rules"
)

var measure = flag.Bool("measure", false, "measure an entry host, which takes about a minute")

// Load of the measurement.
const (
	measureRate     = 500
	measureDuration = 8 * time.Second
	idleStreams     = 2000
	streamTokens    = 8
)

// probe sends requests and records the time to the first line of a stream or to the end of a
// buffered answer.
type probe struct {
	url    string
	key    string
	stream bool

	mu        sync.Mutex
	wg        sync.WaitGroup
	latencies []time.Duration
	failures  int
	client    *http.Client
}

func (p *probe) body() string {
	return fmt.Sprintf(`{"model":"draft","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, p.stream, streamTokens)
}

func (p *probe) run() {
	defer p.wg.Done()
	startedAt := time.Now()
	took, err := p.send(startedAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failures++
		return
	}
	p.latencies = append(p.latencies, took)
}

func (p *probe) send(startedAt time.Time) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodPost, p.url+"/v1/chat/completions", strings.NewReader(p.body()))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	req.Header.Set("X-Request-Id", "direct")
	res, err := p.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	br := bufio.NewReader(res.Body)
	_, err = br.ReadString('\n')
	first := time.Since(startedAt)
	rest, readErr := io.ReadAll(br)
	switch {
	case res.StatusCode != http.StatusOK:
		return 0, fmt.Errorf("status %d", res.StatusCode)
	case readErr != nil:
		return 0, readErr
	case p.stream && !strings.Contains(string(rest), "[DONE]"):
		return 0, fmt.Errorf("no end marker")
	case p.stream:
		return first, err
	}
	return time.Since(startedAt), nil
}

// load sends requests at a fixed average rate, independent of the answers.
func (p *probe) load() {
	p.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	// Random gaps prevent synchronisation with the token intervals of the engine.
	at, rnd := time.Now(), rand.New(rand.NewPCG(1, 2))
	const gap = time.Second / measureRate
	for range int(measureDuration / gap) {
		at = at.Add(time.Duration(rnd.ExpFloat64() * float64(gap)))
		time.Sleep(time.Until(at))
		p.wg.Add(1)
		go p.run()
	}
	p.wg.Wait()
	p.client.CloseIdleConnections()
	slices.Sort(p.latencies)
}

func (p *probe) quantile(q float64) time.Duration {
	return p.latencies[int(float64(len(p.latencies)-1)*q)]
}

// An entry host may add at most 1 ms (median) and 3 ms (p99) of latency, and an idle stream may take
// at most 64 KB of its memory.
func TestMeasureEntry(t *testing.T) {
	if !*measure {
		t.Skip("measures for about a minute; run with -measure")
	}
	place := event.Place{DataCentre: "uvs", Region: "uvs"}
	platform := startPlatform(t)
	eng := startEngine(t, "uvs-e1", place, "-model", "draft", "-slots", "512", "-tokenTime", "1ms", "-prefillRate", "1000000")
	slow := startEngine(t, "uvs-e2", place, "-model", "slow", "-slots", "4096", "-tokenTime", "500ms", "-prefillRate", "1000000")
	putHosts(t, platform, store.Hosts{Targets: []event.Target{eng, slow}})
	set := entrySettings(platform, "uvs-1", place)
	set.Limits.MaxConnections, set.Limits.MaxRequests = 2*idleStreams, 2*idleStreams
	en := startEntryWith(t, set)
	applyItems(t, en,
		item(t, rules.KindProfile, "draft", rules.Profile{Models: []rules.Serve{{Model: "draft"}}}),
		item(t, rules.KindProfile, "idle", rules.Profile{Models: []rules.Serve{{Model: "slow"}}}),
		item(t, rules.KindAccount, "foundation", rules.Client{KeyDigest: rules.Digest("key-1")}),
	)
	warm := &probe{url: en.callers(), key: "key-1", client: http.DefaultClient}
	eventually(t, "an answer comes", func() bool { _, err := warm.send(time.Now()); return err == nil })
	t.Run("idle", func(t *testing.T) { measureIdle(t, en) })
	t.Run("load", func(t *testing.T) { measureLoad(t, eng, en) })
}

func measureLoad(t *testing.T, eng event.Target, en *entry) {
	for _, stream := range []bool{true, false} {
		direct := &probe{url: eng.URL, key: "key-1", stream: stream}
		direct.load()
		through := &probe{url: en.callers(), key: "key-1", stream: stream}
		through.load()
		t.Logf("stream %t: direct median %v p99 %v (%d failed), through an entry host median %v p99 %v (%d failed)",
			stream, direct.quantile(0.5), direct.quantile(0.99), direct.failures, through.quantile(0.5), through.quantile(0.99), through.failures)
		median, tail := through.quantile(0.5)-direct.quantile(0.5), through.quantile(0.99)-direct.quantile(0.99)
		t.Logf("stream %t: added median %v p99 %v", stream, median, tail)
		if through.failures > 0 || median > time.Millisecond || tail > 3*time.Millisecond {
			t.Errorf("stream %t: requests failed, or the added latency exceeds 1 ms (median) or 3 ms (p99)", stream)
		}
	}
}

func measureIdle(t *testing.T, en *entry) {
	before := rss(t, en)
	var open []*idleStream
	for range idleStreams {
		req, err := http.NewRequest(http.MethodPost, en.callers()+"/v1/chat/completions",
			strings.NewReader(`{"model":"idle","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"hello"}]}`))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer key-1")
		s := &idleStream{t: t, req: req, firstLine: make(chan struct{})}
		go s.run()
		open = append(open, s)
	}
	for _, s := range open {
		<-s.firstLine
	}
	bytesPerStream := (rss(t, en) - before) / idleStreams
	t.Logf("memory of an idle stream: %d bytes over %d streams", bytesPerStream, idleStreams)
	if bytesPerStream > 64<<10 {
		t.Errorf("an idle stream takes more than 64 KB")
	}
}

// idleStream is one stream that waits for its second token.
type idleStream struct {
	t         *testing.T
	req       *http.Request
	firstLine chan struct{}
}

func (s *idleStream) run() {
	defer close(s.firstLine)
	res, err := http.DefaultClient.Do(s.req)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.t.Cleanup(func() { _ = res.Body.Close() })
	if _, err := bufio.NewReader(res.Body).ReadString('\n'); err != nil || res.StatusCode != http.StatusOK {
		s.t.Errorf("status %d: %v", res.StatusCode, err)
	}
}

// rss returns the resident memory of an entry host in bytes.
func rss(t *testing.T, en *entry) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", en.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	var kb int
	_, tail, _ := strings.Cut(string(b), "VmRSS:")
	if _, err := fmt.Sscan(tail, &kb); err != nil {
		t.Fatal(err)
	}
	return kb << 10
}
