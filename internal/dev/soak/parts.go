package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"verbenadale.example/verbenadale/internal/dev/worker"
)

const (
	// partLength is how long callers send requests with a part that ends targets, partInterval the time between two
	// of them.
	partLength   = 5 * time.Second
	partInterval = 150 * time.Millisecond
	// meanPartInterval is the mean time between the starts of two such parts.
	meanPartInterval = 5 * time.Second
	// partEnds is the number of ends after which a part is known to all hosts within partDelay, and maxLateParts that
	// of the requests which may reach targets later.
	partEnds     = 5
	partDelay    = 2 * time.Second
	maxLateParts = 3
)

// partSeries is a part of prompts that ends each target which begins an answer to it.
type partSeries struct {
	id string
	// arrivals are the times at which requests with the part reached targets, ends those at which targets ended.
	arrivals, ends []time.Time
	// disturbed is set if a fault of another kind was active shortly before or meanwhile.
	disturbed bool
}

// late returns how many requests reached targets although the part must have been known.
func (p *partSeries) late() int {
	n := 0
	for _, at := range p.arrivals {
		if len(p.ends) >= partEnds && at.Sub(p.ends[partEnds-1]) > partDelay {
			n++
		}
	}
	return n
}

// drawParts draws parts that end targets: within span, and once the other faults have settled.
func drawParts(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	var plan []fault
	var times []time.Duration
	for at := settleTime; at < span; at += time.Duration(rnd.Int64N(int64(2 * meanPartInterval))) {
		times = append(times, at)
	}
	for _, at := range append(times, span+finalDelay) {
		p := &partCaller{
			series: &partSeries{id: fmt.Sprint(worker.PoisonPart, len(plan))}, rnd: rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64())), deployment: s,
		}
		plan = append(plan, fault{name: "callers send requests with a part that ends targets: " + p.series.id, at: at, target: true, begin: p.run})
	}
	return plan
}

// partCaller sends the requests of one series, no two alike.
type partCaller struct {
	series     *partSeries
	rnd        *rand.Rand
	deployment *deployment
}

func (p *partCaller) run(ctx context.Context) {
	s := p.deployment
	s.mu.Lock()
	s.parts = append(s.parts, p.series)
	s.mu.Unlock()
	calm := s.sendSeries(ctx, p.rnd, partLength, func() (observation, time.Duration) {
		return observation{kind: kindDraft, prompt: fmt.Sprintf("f1a57:800,%x:40,%s:400,%x:10", p.rnd.IntN(8), p.series.id, p.rnd.Uint64())}, partInterval
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	p.series.disturbed = !calm
}

// recordPart records a request with a part that ends targets, and whether its target ends now.
func (s *deployment) recordPart(r *http.Request, ends bool) {
	id := worker.PoisonPartOf(r.Header)
	for _, p := range s.parts {
		if p.id != id {
			continue
		}
		p.arrivals = append(p.arrivals, time.Now())
		if ends {
			p.ends = append(p.ends, time.Now())
		}
	}
}

// checkParts checks that parts of prompts end few targets once they can be known.
func (c *checker) checkParts() {
	for _, p := range c.deployment.parts {
		if n := p.late(); n > maxLateParts && !p.disturbed {
			c.report("parts: %d requests with the part %s reached targets later than %v after %d ended, %d in all", n, p.id, partDelay, partEnds, len(p.ends))
		}
	}
}
