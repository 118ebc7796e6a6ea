package soak

import (
	"context"
	"encoding/json"
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

	"verbenadale.example/verbenadale/internal/dev/worker"
)

// The kinds of requests, which are the paths of their routes.
const (
	kindDraft   = "draft"
	kindPublish = "publish"
	kindFetch   = "fetch"
	kindHome    = "home"
)

var kinds = []string{kindDraft, kindPublish, kindFetch, kindHome}

// Times of callers.
const (
	callerPause = 20 * time.Millisecond
	listFor     = time.Second
)

// asked is one request as its caller saw it.
type asked struct {
	id, kind string
	// host is an index, run counts its processes.
	host, run int
	// route is the first part of the path.
	route      string
	began, end time.Time
	status     int
	header     http.Header
	body       string
	// err says that there was no whole answer.
	err error
	// calm says that no fault was near, termAt when the process got SIGTERM.
	calm   bool
	termAt time.Time
}

// crowd is all callers.
type crowd struct {
	site *site
	t    tomb.Tomb
	mu   sync.Mutex
	n    int
	// asked is what was asked so far.
	asked []asked
}

func newCrowd(s *site) *crowd { return &crowd{site: s} }

func (c *crowd) start() {
	for _, region := range regions {
		for n := range c.site.cfg.Callers {
			k := newCaller(c, region, uint64(n))
			c.t.Go(k.run)
		}
	}
}

func (c *crowd) stop() {
	c.t.Kill(nil)
	_ = c.t.Wait()
}

func (c *crowd) newID(kind string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return kind + "-" + strconv.FormatUint(c.site.cfg.Seed, 36) + "-" + strconv.Itoa(c.n)
}

func (c *crowd) note(a asked) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, a)
}

func (c *crowd) outcomes() map[string]int {
	out := make(map[string]int)
	for _, a := range c.asked {
		name := strconv.Itoa(a.status)
		if a.err != nil {
			name = "cut"
		}
		out[name]++
	}
	return out
}

// served waits until every host serves every kind.
func (c *crowd) served(ctx context.Context, most time.Duration) bool {
	until := time.Now().Add(most)
	k := newCaller(c, regions[0], 0)
	for n := range c.site.hosts {
		for _, kind := range kinds {
			for k.ask(ctx, n, kind).status != http.StatusOK {
				if time.Now().After(until) || !rest(ctx, 5*callerPause) {
					return false
				}
			}
		}
	}
	return true
}

// caller sends one request after the other.
type caller struct {
	crowd  *crowd
	region string
	rnd    *rand.Rand
	http   *http.Client
	list   []string
	listAt time.Time
}

func newCaller(c *crowd, region string, n uint64) *caller {
	return &caller{
		crowd: c, region: region, rnd: rand.New(rand.NewPCG(c.site.cfg.Seed, n)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

func (k *caller) run() error {
	ctx := k.crowd.t.Context(context.Background())
	defer k.http.CloseIdleConnections()
	for rest(ctx, callerPause) {
		n := k.choose(ctx)
		// A request under way is finished: a caller that leaves sees nothing.
		k.ask(context.Background(), n, k.kind())
	}
	return nil
}

// kind draws what to ask for, now and then a route of a late configuration.
func (k *caller) kind() string {
	s := k.crowd.site
	s.mu.Lock()
	v := s.version
	s.mu.Unlock()
	if v > 1 && k.rnd.IntN(8) == 0 {
		return fmt.Sprint("v", 2+k.rnd.IntN(v-1))
	}
	return kinds[k.rnd.IntN(len(kinds))]
}

// choose goes by the list that a host gave out, as callers do, and asks for a new
// one when it is old. It keeps to it where nobody answers.
func (k *caller) choose(ctx context.Context) int {
	s := k.crowd.site
	if time.Since(k.listAt) > listFor {
		ask := s.hosts[k.rnd.IntN(len(s.hosts))]
		if list := k.resolve(ctx, ask); len(list) > 0 {
			k.list, k.listAt = list, time.Now()
		}
	}
	if len(k.list) == 0 {
		return k.rnd.IntN(len(s.hosts))
	}
	addr := k.list[k.rnd.IntN(len(k.list))]
	n := slices.IndexFunc(s.hosts, func(h *host) bool { return h.set.Callers.Listen == addr })
	return max(n, 0)
}

func (k *caller) resolve(ctx context.Context, h *host) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q := url.Values{"Name": {hostName}, "Region": {k.region}, "Zone": {centreOf(k.region)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.set.Fleet.Directory+"/-/resolve?"+q.Encode(), nil)
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

// ask sends one request and notes what came back.
func (k *caller) ask(ctx context.Context, n int, kind string) asked {
	h := k.crowd.site.hosts[n]
	a := asked{id: k.crowd.newID(kind), kind: kind, host: n, route: kind, began: time.Now(), calm: k.crowd.site.calm()}
	a.run, _ = h.state()
	k.send(ctx, h, &a)
	a.end = time.Now()
	a.calm = a.calm && k.crowd.site.calm()
	if run, termAt := h.state(); run == a.run {
		a.termAt = termAt
	}
	k.crowd.note(a)
	return a
}

func (k *caller) send(ctx context.Context, h *host, a *asked) {
	deadline := k.crowd.site.cfg.tempo().deadline
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	// The body can not be rewound, so that the library can't send a
	// request twice by itself.
	body := io.MultiReader(strings.NewReader("body of " + a.id))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.set.Callers.Listen+"/"+a.route+"/x?of="+a.id, body)
	if err != nil {
		a.err = err
		return
	}
	req.Host = hostName
	req.Header.Set("Verbenadale-Request-Id", a.id)
	req.Header.Set("Verbenadale-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	res, err := k.http.Do(req)
	if err != nil {
		a.err = err
		return
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	a.status, a.header, a.body, a.err = res.StatusCode, res.Header, string(text), err
}

// whole is the answer that a request must get if it gets a success, as far as it
// is known before a target is chosen.
func (a asked) whole() string {
	if a.kind == kindDraft {
		return worker.StreamText(streamEvents)
	}
	return fmt.Sprintf("POST /%s/x?of=%s body of %s by ", a.route, a.id, a.id)
}
