package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"sort"
	"sync"
	"time"
)

// The limit of the tenant and the bounds of the deployment. Rate and burst are in requests.
const (
	tenant    = "acme"
	key       = "k1"
	rate      = 50
	burst     = 50
	window    = 8 * time.Second
	overshoot = 0.1
	slack     = 50
	allowed   = (rate*8+burst)*(1+overshoot) + slack
)

// The load and the disruption. The tenant sends rate/1.8 requests a second, and hotFactor times as many for hotTime.
const (
	usualRate   = rate / 1.8
	hotFactor   = 7.5
	usualBefore = 4 * time.Second
	hotTime     = 6500 * time.Millisecond
	usualAfter  = 2 * time.Second
	// cutLead is the time between the cut and the beginning of the load.
	cutLead     = 200 * time.Millisecond
	workerCount = 3
	// deadlineMs is what callers grant, and answerTimeout when they give up.
	deadlineMs    = "4000"
	answerTimeout = 4 * time.Second
)

// hostIPs are those of three hosts of one zone. One of three is cut off: 0.33 of the machines.
var hostIPs = []string{"127.0.0.21", "127.0.0.22", "127.0.0.23"}

// call is one request and what became of it.
type call struct {
	id, host string
	sent     time.Time
	status   int
	// ran is when a worker began to run it, zero if none has.
	ran    time.Time
	tenant string
}

// caller sends the requests of the tenant.
type caller struct {
	sys *system
	rec *record

	mu    sync.Mutex
	calls map[string]*call
	// addrs is the last answer of the directory.
	addrs  []string
	client *http.Client
	wg     sync.WaitGroup
}

// runQuota runs the case and returns its exit status.
func runQuota(file string, trouble bool) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	s, err := newSystem(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.stop()
	c := &caller{sys: s, rec: rec, calls: make(map[string]*call), client: &http.Client{
		Timeout: answerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
	if err := startDeployment(s, c); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	c.sendAll(trouble)
	return c.judge()
}

func startDeployment(s *system, c *caller) error {
	s.limits = map[string]string{
		"limitWindowSeconds": fmt.Sprint(window.Seconds()), "limitOvershoot": fmt.Sprint(overshoot), "limitSlack": fmt.Sprint(slack),
	}
	err := s.put("op/config", map[string]any{
		"Version": 3,
		"Routes": []any{map[string]any{
			"Name": "fetch", "Host": siteName, "Prefix": "/fetch/", "Kind": "idempotent", "Service": service,
			"TimeoutMs": 4000, "TargetLatencyMs": 600, "MaxAttempts": 1, "Priority": 1,
		}},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConnections": 360}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": tenant, "ApiKeys": []string{key}, "RatePerS": rate, "Burst": burst}},
	})
	if err != nil {
		return err
	}
	if err := s.addWorkers(workerCount, c.recordRun); err != nil {
		return err
	}
	var seeds []string
	for _, ip := range hostIPs {
		advertised, err := s.addHost(ip, seeds)
		if err != nil {
			return err
		}
		seeds = append(seeds, advertised)
	}
	time.Sleep(settleTime)
	return nil
}

// sendAll sends the load, with trouble cuts the first host off before it becomes heavy.
func (c *caller) sendAll(trouble bool) {
	done := make(chan struct{})
	go c.askDirectory(done)
	time.Sleep(time.Second)
	c.send(usualRate, usualBefore)
	if trouble {
		c.rec.printf("%s is cut off from the other hosts and the store", hostIPs[0])
		c.sys.net.cut(hostIPs[0])
	}
	c.send(usualRate, cutLead)
	c.rec.printf("the tenant sends %.1f times its usual", hotFactor)
	c.send(usualRate*hotFactor, hotTime)
	c.rec.printf("the tenant sends its usual again")
	c.send(usualRate, usualAfter)
	c.wg.Wait()
	close(done)
}

// send sends requests at a rate for a time.
func (c *caller) send(perSecond float64, d time.Duration) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-tick.C {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.sendOne()
		}()
	}
}

func (c *caller) sendOne() {
	c.mu.Lock()
	if len(c.addrs) == 0 {
		c.mu.Unlock()
		return
	}
	r := &call{id: fmt.Sprintf("%016x", rand.Uint64()), host: c.addrs[rand.IntN(len(c.addrs))], sent: time.Now()}
	c.calls[r.id] = r
	c.mu.Unlock()
	req, err := http.NewRequest(http.MethodGet, "http://"+r.host+"/fetch/1", nil)
	if err != nil {
		return
	}
	req.Host = siteName
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Verbenadale-Request-Id", r.id)
	req.Header.Set("Verbenadale-Request-Deadline", deadlineMs)
	res, err := c.client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	c.mu.Lock()
	r.status = res.StatusCode
	c.mu.Unlock()
}

// recordRun records that a worker has begun to run a request.
func (c *caller) recordRun(request, tenant string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.calls[request]; r != nil && r.ran.IsZero() {
		r.ran, r.tenant = at, tenant
	}
}

// askDirectory asks one of the hosts where to connect, again when its answer is no longer valid.
func (c *caller) askDirectory(done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		h := c.sys.hosts[rand.IntN(len(c.sys.hosts))]
		q := url.Values{"Name": {siteName}, "Region": {region}, "Zone": {dataCentre}}
		ttl := 100 * time.Millisecond
		if addrs, valid, err := resolve(client, "http://"+h.directory+"/-/resolve?"+q.Encode()); err == nil {
			c.mu.Lock()
			c.addrs = addrs
			c.mu.Unlock()
			ttl = valid
		}
		select {
		case <-time.After(ttl):
		case <-done:
			return
		}
	}
}

func resolve(client *http.Client, target string) (addrs []string, valid time.Duration, err error) {
	res, err := client.Get(target)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	var doc struct {
		Addresses []string
		TtlS      float64 //nolint:revive // the platform's spelling
	}
	if err := json.NewDecoder(res.Body).Decode(&doc); err != nil {
		return nil, 0, err
	}
	return doc.Addresses, time.Duration(doc.TtlS * float64(time.Second)), nil
}

// judge writes all requests and returns the exit status.
func (c *caller) judge() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var runs []*call
	statuses := make(map[int]int)
	for _, r := range c.calls {
		statuses[r.status]++
		if !r.ran.IsZero() {
			runs = append(runs, r)
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].sent.Before(runs[j].sent) })
	byHost := make(map[string]int)
	for _, r := range runs {
		byHost[r.host]++
		c.rec.printf("request %s by %s, sent at %.3f s, ran at %.3f s for %q, answered %d", r.id, r.host,
			r.sent.Sub(c.rec.began).Seconds(), r.ran.Sub(c.rec.began).Seconds(), r.tenant, r.status)
	}
	most, from := mostInWindow(runs)
	text := fmt.Sprintf("%d requests, answers by status %v (0: none), %d ran, by host %v; at most %d in %v (from %.1f s), %.0f allowed",
		len(c.calls), statuses, len(runs), byHost, most, window, from.Sub(c.rec.began).Seconds(), float64(allowed))
	c.rec.printf("result: %s", text)
	fmt.Println(text)
	switch {
	case float64(most) > allowed:
		return exitBroken
	case len(runs) < rate:
		return exitFailed
	}
	return exitHeld
}

// mostInWindow returns the largest number of runs that were both sent and began inside one window. The runs
// are in the order in which they were sent.
func mostInWindow(runs []*call) (most int, from time.Time) {
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if !r.ran.After(first.sent.Add(window)) {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}
