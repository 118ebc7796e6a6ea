package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// Kinds of requests. Each kind is also the path of its route.
const (
	kindDraft   = "draft"
	kindPublish = "publish"
	kindFetch   = "fetch"
	kindHome    = "home"
)

var kinds = []string{kindDraft, kindPublish, kindFetch, kindHome}

const (
	callerInterval = 20 * time.Millisecond
	listTTL        = time.Second
)

// observation is one request as its caller saw it.
type observation struct {
	id, kind string
	// host is the index of the entry host, process the number of its process.
	host, process int
	// route is the first segment of the path. path and text are the whole path and the body, if they
	// differ from those of other requests of the kind.
	route      string
	path, text string
	// prompt names the parts of the prompt, empty for none.
	prompt string
	// first is the request that began the stream that this one takes up again, received how many events
	// its caller has by then. builds are the builds that the events of the answer name.
	first      string
	received   int
	builds     []string
	began, end time.Time
	status     int
	header     http.Header
	// answer is the whole answer, body the answer without the lines that name builds.
	answer, body string
	// framed is set if the answer has a length or chunks.
	framed bool
	// err is set if no complete answer was received.
	err error
	// settled is set if no fault was active shortly before or during the request, inStep if its host was not isolated then.
	// restarted is set if the process of the host ended meanwhile. termAt is when the process was sent SIGTERM.
	settled, inStep, restarted bool
	termAt                     time.Time
}

// callerPool runs all callers and records their requests.
type callerPool struct {
	deployment   *deployment
	t            tomb.Tomb
	mu           sync.Mutex
	n            int
	observations []observation
}

func newCallerPool(s *deployment) *callerPool { return &callerPool{deployment: s} }

func (c *callerPool) start() {
	for _, region := range c.deployment.regions() {
		for n := range c.deployment.cfg.Callers {
			k := newCaller(c, region, uint64(n))
			c.t.Go(k.run)
		}
	}
}

func (c *callerPool) stop() {
	c.t.Kill(nil)
	_ = c.t.Wait()
}

func (c *callerPool) newID(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return kind + "-" + strconv.FormatUint(c.deployment.cfg.Seed, 36) + "-" + strconv.Itoa(c.n)
}

func (c *callerPool) record(a observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations = append(c.observations, a)
}

func (c *callerPool) outcomes() map[string]int {
	out := make(map[string]int)
	for _, a := range c.observations {
		name := strconv.Itoa(a.status)
		if a.err != nil {
			name = "cut"
		}
		out[name]++
	}
	return out
}

// awaitServing waits until every host answers every kind of request with 200, and reports
// whether it did within timeout.
func (c *callerPool) awaitServing(ctx context.Context, timeout time.Duration) bool {
	var t tomb.Tomb
	for n, h := range c.deployment.hosts {
		w := &servingWait{ctx: ctx, caller: newCaller(c, h.region, uint64(n)), host: n, until: time.Now().Add(timeout)}
		t.Go(w.run)
	}
	return t.Wait() == nil
}

// servingWait waits until a host answers every kind of request.
type servingWait struct {
	ctx    context.Context
	caller *caller
	host   int
	until  time.Time
}

func (w *servingWait) run() error {
	defer w.caller.http.CloseIdleConnections()
	for _, kind := range kinds {
		for !w.caller.request(w.ctx, w.host, kind).isServed() {
			if time.Now().After(w.until) || !sleep(w.ctx, 5*callerInterval) {
				return ErrStart
			}
		}
	}
	return nil
}

// caller sends requests one after the other.
type caller struct {
	pool       *callerPool
	region     string
	rnd        *rand.Rand
	http       *http.Client
	addresses  []string
	resolvedAt time.Time
	// stays is set if the caller keeps to a host until a request is not served there. last is the host that it asked last.
	stays      bool
	last       int
	lastFailed bool
}

func newCaller(c *callerPool, region string, n uint64) *caller {
	return &caller{
		pool: c, region: region, rnd: rand.New(rand.NewPCG(c.deployment.cfg.Seed, n)), stays: c.deployment.cfg.Ends && n%2 == 0, lastFailed: true,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

func (k *caller) run() error {
	ctx := k.pool.t.Context(context.Background())
	defer k.http.CloseIdleConnections()
	for sleep(ctx, callerInterval) {
		if k.pool.deployment.callersRest.Load() {
			continue
		}
		n := k.chooseHost(ctx)
		// The request in flight is completed when the pool stops: an aborted one would show
		// nothing about the system.
		a := k.request(context.Background(), n, k.drawKind())
		k.last, k.lastFailed = n, a.err != nil || a.status != http.StatusOK
		k.takeUp(a)
	}
	return nil
}

// drawKind draws the kind of the next request: in one of eight cases a route that a later
// configuration added.
func (k *caller) drawKind() string {
	s := k.pool.deployment
	s.mu.Lock()
	v := s.version
	s.mu.Unlock()
	if s.cfg.Retries && k.rnd.IntN(4) > 0 {
		return kindFetch
	}
	if s.cfg.Releases && k.rnd.IntN(draftParts) < draftShare {
		return kindDraft
	}
	if v > 1 && k.rnd.IntN(8) == 0 {
		return fmt.Sprint("v", 2+k.rnd.IntN(v-1))
	}
	return kinds[k.rnd.IntN(len(kinds))]
}

// chooseHost draws a host from the address list of the directory, as real callers do, and
// resolves again once the list has expired. It keeps the expired list if no directory answers.
func (k *caller) chooseHost(ctx context.Context) int {
	s := k.pool.deployment
	if n := s.onlyHost.Load(); n > 0 {
		return int(n) - 1
	}
	if k.stays && !k.lastFailed {
		return k.last
	}
	if time.Since(k.resolvedAt) > listTTL {
		resolver := s.hosts[k.rnd.IntN(len(s.hosts))]
		if list := k.resolve(ctx, resolver); len(list) > 0 {
			k.addresses, k.resolvedAt = list, time.Now()
		}
	}
	if len(k.addresses) == 0 {
		return k.rnd.IntN(len(s.hosts))
	}
	addr := k.addresses[k.rnd.IntN(len(k.addresses))]
	n := slices.IndexFunc(s.hosts, func(h *host) bool { return h.settings.Callers.Listen == addr })
	return max(n, 0)
}

func (k *caller) resolve(ctx context.Context, h *host) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q := url.Values{"Name": {hostName}, "Region": {k.region}, "Zone": {centreOf(k.region)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.Fleet.Directory+"/-/resolve?"+q.Encode(), nil)
	if err != nil {
		return nil
	}
	res, err := k.http.Do(req)
	if err != nil {
		return nil
	}
	defer res.Body.Close()
	var doc struct{ Addresses []string }
	if json.NewDecoder(res.Body).Decode(&doc) != nil {
		return nil
	}
	return doc.Addresses
}

// request sends one request and records its outcome.
func (k *caller) request(ctx context.Context, n int, kind string) observation {
	h := k.pool.deployment.hosts[n]
	a := observation{id: k.pool.newID(kind), kind: kind, host: n, route: kind, began: time.Now(), settled: k.pool.deployment.settled()}
	a.text = k.drawText(kind)
	if k.pool.deployment.cfg.Parts && kind == kindDraft {
		a.prompt = fmt.Sprintf("f1a57:800,%x:40,%x:10", k.rnd.IntN(8), k.rnd.Uint64())
	}
	a.process, _ = h.state()
	k.send(ctx, h, &a)
	a.end = time.Now()
	a.settled, a.inStep = a.settled && k.pool.deployment.settled(), k.pool.deployment.inStep(n, a.began)
	if process, termAt := h.state(); process == a.process {
		a.termAt = termAt
	}
	k.pool.record(a)
	return a
}

// isServed reports whether the request was answered with success, and whole unless its caller left.
func (a observation) isServed() bool {
	return a.status == http.StatusOK && (a.err == nil || errors.Is(a.err, errCallerLeft))
}

// target returns the target of the request.
func (a observation) target() string { return cmp.Or(a.path, "/"+a.route+"/x?of="+a.id) }

func (k *caller) send(ctx context.Context, h *host, a *observation) {
	deadline := k.pool.deployment.cfg.timing().deadline
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	if readTime := k.drawReadTime(a); readTime > 0 {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeoutCause(ctx, readTime, errCallerLeft)
		defer leave()
	}
	// The body cannot be rewound, so that net/http does not send the request a second time on
	// its own.
	text, path := cmp.Or(a.text, "body of "+a.id), a.target()
	body := io.MultiReader(strings.NewReader(text))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.Callers.Listen+path, body)
	if err != nil {
		a.err = err
		return
	}
	req.Host = hostName
	req.Header.Set("Verbenadale-Request-Id", a.id)
	req.Header.Set("Verbenadale-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	if a.prompt != "" {
		req.Header.Set("Verbenadale-Prompt-Prefix", a.prompt)
	}
	if a.first != "" {
		req.Header.Set("Resumes", a.first)
		req.Header.Set("Last-Event-Id", strconv.Itoa(k.pool.deployment.cfg.writer("").IDOf(a.received)))
	}
	res, err := k.http.Do(req)
	if err != nil {
		a.err = leftOr(ctx, err)
		return
	}
	defer res.Body.Close()
	answer, err := k.readPart(res, a)
	err = leftOr(ctx, err)
	a.status, a.header, a.answer, a.err = res.StatusCode, res.Header, string(answer), err
	a.framed = res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	a.splitBuilds()
}

// leftOr returns errCallerLeft for the error of a request that its caller has left.
func leftOr(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errCallerLeft) {
		return errCallerLeft
	}
	return err
}

// wantCall returns the body that a successful answer to a call must have, without the id of the target at its end.
func (a observation) wantCall() string {
	return fmt.Sprintf("POST /%s/x?of=%s body of %s by ", a.route, a.id, a.id)
}
