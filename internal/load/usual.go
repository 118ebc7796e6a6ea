package load

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Following of what is usual for a service.
const (
	// runWeight is the weight of one request in the usual time of its service.
	runWeight = 8
	// leastPrompt is the shortest prompt whose prefill time is sampled.
	leastPrompt = 1000
	// rateStep is the part by which the rate moves towards a sample. The rate tends to the
	// median, since single samples are far off in both directions.
	rateStep = 1.0 / 16
	// rateSpread bounds the ratio of the rate of a target and that of its service.
	rateSpread = 2
	// paceWeight is the weight of one sample. A host sees a few a second of each
	// service, so that a change shows within about three seconds.
	paceWeight = 1.0 / 16
	// paceHalf is the half-life of a slow pace without new samples.
	paceHalf = 2 * time.Second
	// bestRise is the part by which the best pace rises towards each sample, so that a
	// wrong one is forgotten within minutes.
	bestRise = 1.0 / 1024
)

// Services is what is usual for the targets of each service that report their load in answers.
// The zero value knows nothing.
type Services struct {
	byName map[string]*service
}

// service holds the rate at which targets read prompts, in tokens a second, the time of a
// request, and the pace of streams; zero where they are not known.
type service struct {
	rate float64
	run  time.Duration
	pace Pace
}

func (sv *Services) at(name string) *service {
	u, ok := sv.byName[name]
	if !ok {
		if sv.byName == nil {
			sv.byName = make(map[string]*service)
		}
		u = &service{}
		sv.byName[name] = u
	}
	return u
}

// Run returns the usual time of a request, zero where that is not known.
func (sv *Services) Run(name string) time.Duration {
	if u, ok := sv.byName[name]; ok {
		return u.run
	}
	return 0
}

// Rate returns the usual rate at which targets read prompts, in tokens a second, zero where
// that is not known.
func (sv *Services) Rate(name string) float64 {
	if u, ok := sv.byName[name]; ok {
		return u.rate
	}
	return 0
}

// Pace returns the pace of streams, and whether it is known.
func (sv *Services) Pace(name string) (Pace, bool) {
	if u, ok := sv.byName[name]; ok && u.pace.Best > 0 {
		return u.pace, true
	}
	return Pace{}, false
}

// Ran records how long a whole answer of a target took.
func (sv *Services) Ran(s *State, took time.Duration) {
	if s.Capacity == 0 {
		return
	}
	u := sv.at(s.Service)
	if u.run == 0 {
		u.run = took
	}
	u.run += (took - u.run) / runWeight
	s.run = u.run
}

// Began records the time from sending a request to the first token of its answer, the
// tokens of its prompt that were probably read in it, and those that waited before.
func (sv *Services) Began(s *State, prefill, before ident.Tokens, took time.Duration) {
	if s.Capacity == 0 || prefill < leastPrompt || took <= 0 {
		return
	}
	u := sv.at(s.Service)
	rate := float64(prefill+before) / took.Seconds()
	u.rate = follow(u.rate, rate)
	s.Load.PrefillRate = min(max(follow(s.Load.PrefillRate, rate), u.rate/rateSpread), u.rate*rateSpread)
	s.rated = true
}

// follow moves a rate towards the side on which a sample of it lies.
func follow(old, sample float64) float64 {
	switch {
	case old == 0:
		return sample
	case sample > old:
		return old * (1 + rateStep)
	}
	return old * (1 - rateStep)
}

// Paced records the time between two events of a stream at a target.
func (sv *Services) Paced(now ident.Time, s *State, gap time.Duration) {
	if s.Capacity == 0 || gap <= 0 {
		return
	}
	u := sv.at(s.Service)
	if u.pace.Best == 0 {
		u.pace = Pace{gap: gap, Best: gap, at: now}
		return
	}
	u.pace.sample(now, gap)
}

// Suppose gives a target the times that are usual for its service, and the rate of reading
// prompts where none was seen. With many targets before many hosts most pairs of the two never
// meet in a minute, and a target whose rate is unknown looks as if it read any prompt in no time.
func (sv *Services) Suppose(now ident.Time, s *State) {
	if s.Capacity == 0 {
		return
	}
	u, ok := sv.byName[s.Service]
	if !ok {
		u = &service{}
	}
	s.run = u.run
	s.Load.DecodeRate = u.pace.Rate(now)
	if !s.rated {
		s.Load.PrefillRate = u.rate
	}
}

// Pace is how long the streams of a service take from one event to the next at the
// targets here. The zero value knows nothing.
//
// An engine prefills prompts between the tokens of its streams, so that free slots say little
// about its room. The pace shows it within seconds.
type Pace struct {
	gap time.Duration
	// Best is the shortest time lately, zero where none is known.
	Best time.Duration
	at   ident.Time
}

// At returns the time between two events now.
func (p Pace) At(now ident.Time) time.Duration {
	slow := float64(p.gap - p.Best)
	return p.Best + time.Duration(slow*math.Exp2(-now.Sub(p.at).Seconds()/paceHalf.Seconds()))
}

// Rate returns the events a second of one stream, zero where that is not known.
func (p Pace) Rate(now ident.Time) float64 {
	if gap := p.At(now); gap > 0 {
		return 1 / gap.Seconds()
	}
	return 0
}

func (p *Pace) sample(now ident.Time, gap time.Duration) {
	p.gap = p.At(now)
	p.gap += time.Duration(paceWeight * float64(gap-p.gap))
	p.Best = min(p.Best+time.Duration(bestRise*float64(gap-p.Best)), p.gap)
	p.at = now
}
