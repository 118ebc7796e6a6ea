package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"verbenadale.example/verbenadale/internal/dev/worker"
)

// maxPoisonEnds is the number of targets after which a request that ends its targets is not sent
// again.
const maxPoisonEnds = 3

const (
	// poisonLength is how long a caller repeats a request that ends its targets.
	poisonLength = 3 * time.Second
	// meanPoisonInterval is the mean time between the starts of two such callers.
	meanPoisonInterval = 2500 * time.Millisecond
	// minRepeatDelay and maxRepeatDelay bound the time until the caller repeats its request.
	minRepeatDelay = 100 * time.Millisecond
	maxRepeatDelay = 400 * time.Millisecond
)

// poisonSeries is a request that ends each target that runs it, and its repeats.
type poisonSeries struct {
	name string
	// ends counts the targets that have ended.
	ends int
	// disturbed is set if a fault of another kind was active shortly before or meanwhile, so that
	// hosts may not have known of each other's targets.
	disturbed bool
}

// drawPoison draws callers that repeat requests which end their targets: within span, and once the
// other faults have settled.
func drawPoison(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	var plan []fault
	var times []time.Duration
	for at := settleTime; at < span; at += time.Duration(rnd.Int64N(int64(2 * meanPoisonInterval))) {
		times = append(times, at)
	}
	for _, at := range append(times, span+finalDelay, span+finalDelay+poisonLength) {
		kind := []string{kindDraft, kindFetch, kindPublish}[rnd.IntN(3)]
		p := &poisonCaller{
			series: &poisonSeries{name: fmt.Sprintf("%s-%d", kind, len(plan))}, kind: kind,
			rnd: rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())), deployment: s,
		}
		plan = append(plan, fault{name: "caller repeats a request that ends its targets: " + p.series.name, at: at, target: true, begin: p.run})
	}
	return plan
}

// poisonCaller sends the requests of one series.
type poisonCaller struct {
	series     *poisonSeries
	kind       string
	rnd        *rand.Rand
	deployment *deployment
}

func (p *poisonCaller) run(ctx context.Context) {
	s := p.deployment
	s.mu.Lock()
	s.poison = append(s.poison, p.series)
	s.mu.Unlock()
	calm := s.sendSeries(ctx, p.rnd, poisonLength, func() (observation, time.Duration) {
		a := observation{kind: p.kind, path: "/" + p.kind + "/" + worker.PoisonSegment + "/" + p.series.name, text: p.series.name}
		return a, minRepeatDelay + time.Duration(p.rnd.Int64N(int64(maxRepeatDelay-minRepeatDelay)))
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	p.series.disturbed = !calm
}

// sendSeries sends requests to any host for a while, each after the answer to the one before and a delay. It reports whether
// the hosts could reach each other all the while.
func (s *deployment) sendSeries(ctx context.Context, rnd *rand.Rand, length time.Duration, next func() (observation, time.Duration)) bool {
	k := newCaller(s.pool, regions[0], rnd.Uint64())
	defer k.http.CloseIdleConnections()
	calm := s.undisturbed()
	for until := time.Now().Add(length); time.Now().Before(until); {
		a, delay := next()
		a.id, a.route, a.host, a.began = s.pool.newID(a.kind), a.kind, rnd.IntN(len(s.hosts)), time.Now()
		h := s.hosts[a.host]
		a.process, _ = h.state()
		k.send(ctx, h, &a)
		a.end = time.Now()
		s.pool.record(a)
		calm = calm && s.undisturbed()
		if !sleep(ctx, delay) {
			break
		}
	}
	return calm
}

// endTarget ends the process of a target under a request, and starts a new one in its place. Nothing listens at its
// address any more when it returns.
func (s *deployment) endTarget(w *target, r *http.Request) {
	if !s.recordEnd(w, r) {
		return
	}
	w.relay.Stop()
	e := &targetEnd{deployment: s, target: w}
	s.t.Go(e.run)
}

// recordEnd records a request that ends its target, and reports whether that has not ended yet.
func (s *deployment) recordEnd(w *target, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordPart(r, !w.ended)
	if w.ended {
		return false
	}
	w.ended = true
	for _, p := range s.poison {
		if r.URL.Path == "/"+kindOf(r)+"/"+worker.PoisonSegment+"/"+p.name {
			p.ends++
		}
	}
	return true
}

func kindOf(r *http.Request) string {
	for _, kind := range kinds {
		if len(r.URL.Path) > len(kind) && r.URL.Path[1:1+len(kind)] == kind {
			return kind
		}
	}
	return ""
}

// targetEnd replaces a target whose process has ended.
type targetEnd struct {
	deployment *deployment
	target     *target
}

func (e *targetEnd) run() error {
	s, w := e.deployment, e.target
	if !sleep(s.t.Context(context.Background()), restartDelay) {
		return nil
	}
	s.store.Remove(w.StoreKey())
	return s.addWorker(w.id+".n", w.service, w.region)
}

// checkPoison checks that requests end no more than maxPoisonEnds targets. While hosts can't reach
// each other, each of their processes counts for itself.
func (c *checker) checkPoison() {
	processes := 0
	for _, h := range c.deployment.hosts {
		n, _ := h.state()
		processes += n
	}
	for _, p := range c.deployment.poison {
		limit := maxPoisonEnds
		if p.disturbed {
			limit *= processes
		}
		if p.ends > limit {
			c.report("poison: %d targets ended under the request %s (disturbed: %v)", p.ends, p.name, p.disturbed)
		}
	}
}
