package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"verbenadale.example/verbenadale/internal/dev/worker"
)

const (
	// restLength is how long a target turns requests away and asks for rest, and what it asks for each time.
	restLength = 4 * time.Second
	// restSlack is the time from which a wish for rest binds the host that got it, and maxInRest the number of
	// requests that the host may send to the target later.
	restSlack = 500 * time.Millisecond
	maxInRest = 2
	// meanRestInterval is the mean time between two targets that ask for rest or say that they leave.
	meanRestInterval = 3 * time.Second
	// leavingLength is how long a target says that it leaves before it is replaced.
	leavingLength = maxPropagation + 2*time.Second
)

// restPeriod is a time in which a target asks for rest, or says in its answers that it leaves.
type restPeriod struct {
	target   *target
	leaves   bool
	from, to time.Time
	// disturbed is set if a fault of another kind was active shortly before or meanwhile.
	disturbed bool
}

// drawRests draws targets that ask for rest or leave: within span, and once the other faults have settled.
func drawRests(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	var plan []fault
	var times []time.Duration
	for at := settleTime; at < span; at += time.Duration(rnd.Int64N(int64(2 * meanRestInterval))) {
		times = append(times, at)
	}
	ws := s.targets()
	for _, at := range append(times, span+finalDelay) {
		p := &restPeriod{target: ws[rnd.IntN(len(ws))], leaves: rnd.IntN(3) == 0}
		name, length := "asks for rest", restLength
		if p.leaves {
			name, length = "says that it leaves", leavingLength
		}
		plan = append(plan, fault{
			name: fmt.Sprintf("target %s %s", p.target.id, name), at: at, duration: length, target: true,
			begin: func(context.Context) { s.beginRest(p) }, end: func(context.Context) { s.endRest(p) },
		})
	}
	return plan
}

func (s *deployment) beginRest(p *restPeriod) {
	p.disturbed = !s.undisturbed()
	if p.leaves {
		p.target.SetLeaving("Server-Leaving")
	} else {
		p.target.SetRest(worker.Rest{RetryAfter: []string{strconv.FormatFloat(restLength.Seconds(), 'g', -1, 64)}})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.from = time.Now()
	s.rests = append(s.rests, p)
}

func (s *deployment) endRest(p *restPeriod) {
	calm := s.undisturbed()
	if p.leaves {
		s.store.Remove(p.target.StoreKey())
		_ = s.addWorker(p.target.id+".l", p.target.service, p.target.region)
	} else {
		p.target.SetRest(worker.Rest{})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.disturbed = p.disturbed || !calm
	p.to = time.Now()
}

// checkRests checks that targets get their rest, and nothing more once they have said that they leave. Hosts that have
// started meanwhile do not know of it.
func (c *checker) checkRests() {
	hosts := make(map[string]int)
	for _, a := range c.pool.observations {
		hosts[a.id] = a.host
	}
	for _, p := range c.deployment.rests {
		if p.disturbed || c.overlapsRest(p) {
			continue
		}
		for host, times := range p.arrivals(hosts, c.deployment.hosts) {
			if n := p.excess(times); n > 0 {
				c.report("rest: target %s got %d requests from host %d that it did not want (leaves: %v)", p.target.id, n, host, p.leaves)
			}
		}
	}
}

// arrivals returns the times in the period at which requests of the hosts of the target's region arrived, given the hosts
// to which callers sent them. Who sends on what came to a host of the other region is not known.
func (p *restPeriod) arrivals(hostOf map[string]int, hosts []*host) map[int][]time.Time {
	times := make(map[int][]time.Time)
	for _, a := range p.target.ArrivedRequests() {
		n, ok := hostOf[a.Request]
		if ok && hosts[n].region == p.target.region && a.At.After(p.from) && a.At.Before(p.to) {
			times[n] = append(times[n], a.At)
		}
	}
	return times
}

// excess returns how many requests a host has sent beyond what is allowed, given all times of the period at which it did.
// The answer to the first of them said what the target wants.
func (p *restPeriod) excess(times []time.Time) int {
	slack, allowed := restSlack, maxInRest
	if p.leaves {
		slack, allowed = maxPropagation, 0
	}
	n := 0
	for _, at := range times {
		if at.Sub(times[0]) > slack {
			n++
		}
	}
	if n <= allowed {
		return 0
	}
	return n
}

// overlapsRest reports whether the target asked for another rest meanwhile.
func (c *checker) overlapsRest(p *restPeriod) bool {
	for _, o := range c.deployment.rests {
		if o != p && o.target == p.target && o.from.Before(p.to) && p.from.Before(o.to) {
			return true
		}
	}
	return false
}
