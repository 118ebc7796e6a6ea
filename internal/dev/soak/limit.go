package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"
)

// The limit of a target binds over limitWindow: all hosts together may send one and a half times what it
// names, and limitSlack requests more.
const (
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// limitDelay is the time from which a limit binds after a target has first named it.
	limitDelay = 2 * time.Second
	// meanLimitInterval is the mean time between two targets that begin to name a limit, limitLength how
	// long they do.
	meanLimitInterval = 3 * time.Second
	limitLength       = 8 * time.Second
)

// limitPeriod is a time in which a target names a limit.
type limitPeriod struct {
	target    *target
	perSecond float64
	from, to  time.Time
	// disturbed is set if a fault of another kind was active shortly before or meanwhile, so that hosts
	// may not have known of each other.
	disturbed bool
}

// drawLimits draws targets that name a limit: within span, and once the other faults have settled.
func drawLimits(rnd *rand.Rand, span time.Duration, s *deployment) []fault {
	var plan []fault
	var times []time.Duration
	for at := settleTime; at < span; at += time.Duration(rnd.Int64N(int64(2 * meanLimitInterval))) {
		times = append(times, at)
	}
	ws := s.targets()
	for _, at := range append(times, span+finalDelay) {
		p := &limitPeriod{target: ws[rnd.IntN(len(ws))], perSecond: []float64{0, 0.5, 1, 3}[rnd.IntN(4)]}
		plan = append(plan, fault{
			name: fmt.Sprintf("target %s names a limit of %v a second", p.target.id, p.perSecond), at: at, duration: limitLength, target: true,
			begin: func(context.Context) { s.beginLimit(p) }, end: func(context.Context) { s.endLimit(p) },
		})
	}
	return plan
}

func (s *deployment) beginLimit(p *limitPeriod) {
	p.disturbed = !s.undisturbed()
	p.target.SetRateLimit(strconv.FormatFloat(p.perSecond, 'g', -1, 64))
	s.mu.Lock()
	defer s.mu.Unlock()
	p.from = time.Now()
	s.limits = append(s.limits, p)
}

func (s *deployment) endLimit(p *limitPeriod) {
	calm := s.undisturbed()
	p.target.SetRateLimit("")
	s.mu.Lock()
	defer s.mu.Unlock()
	p.disturbed = p.disturbed || !calm
	p.to = time.Now()
}

// checkLimits checks that targets get no more than the limits that they name allow. Nothing is checked
// where hosts could not reach each other: each of them counts its own requests then.
func (c *checker) checkLimits() {
	for _, p := range c.deployment.limits {
		allowed := int(1.5*p.perSecond*limitWindow.Seconds()) + limitSlack
		if n := mostWithin(p.target.Arrivals(), p.from.Add(limitDelay), p.to, limitWindow); n > allowed && !p.disturbed && !c.overlapsLimit(p) {
			c.report("limit: target %s named %v a second and got %d requests in %v, %d are allowed", p.target.id, p.perSecond, n, limitWindow, allowed)
		}
	}
}

// overlapsLimit reports whether the target named another limit meanwhile.
func (c *checker) overlapsLimit(p *limitPeriod) bool {
	for _, o := range c.deployment.limits {
		if o != p && o.target == p.target && o.from.Before(p.to) && p.from.Before(o.to) {
			return true
		}
	}
	return false
}

// mostWithin returns the highest number of times between from and to within a window.
func mostWithin(times []time.Time, from, to time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		if at.Before(from) || at.After(to) {
			first = i + 1
			continue
		}
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
