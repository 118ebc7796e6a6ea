package member

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Following of the pace of streams.
const (
	// paceWeight is the weight of one sample. A host sees a few a second of each
	// service, so that a change shows within about three seconds.
	paceWeight = 1.0 / 16
	// paceHalf is the half-life of a slow pace without new samples.
	paceHalf = 2 * time.Second
	// bestRise is the part by which the best pace rises towards each sample, so that a
	// wrong one is forgotten within minutes.
	bestRise = 1.0 / 1024
	// crowdedPace is the ratio to the best pace from which on targets have no room for work
	// from elsewhere.
	crowdedPace = 3
	// paceStep is the part of its spare slots that a data centre offers at a time where the
	// pace of streams is known. The pace shows the effect of an offer only after the next one.
	paceStep = 12
)

// pace is how long the streams of a service take from one event to the next at the
// targets here.
//
// An engine prefills prompts between the tokens of its streams, so that free slots say little
// about its room. The pace shows it within seconds.
type pace struct {
	gap, best time.Duration
	at        ident.Time
}

func (p pace) now(now ident.Time) time.Duration {
	slow := float64(p.gap - p.best)
	return p.best + time.Duration(slow*math.Exp2(-now.Sub(p.at).Seconds()/paceHalf.Seconds()))
}

// roomAt returns the part of the free slots of a service that work from elsewhere
// may take. The best pace is that of the data centre with the fastest streams: one
// that has been busy since it started knows no other.
func (tb *Table) roomAt(now ident.Time, service string) float64 {
	p, ok := tb.paces[service]
	if !ok {
		return 1
	}
	best := p.best
	for _, c := range tb.centres {
		if far := c.Pool(PoolID{Service: service}); far != nil && far.DecodeRate > 0 {
			best = min(best, seconds(1/far.DecodeRate))
		}
	}
	slow := float64(p.now(now)) / float64(best)
	return min(1, max(0, (crowdedPace-slow)/(crowdedPace-1)))
}

// isPaced reports whether the pace of the streams of a pool is known.
//
// Work of such a pool goes to another data centre by a chance that follows from
// the paces of both, so that it needs no rule to keep two data centres from
// swapping work.
func (tb *Table) isPaced(id PoolID) bool {
	_, ok := tb.paces[id.Service]
	return ok && id.Service != ""
}

// Paced records the time between two events of a stream at a target.
func (tb *Table) Paced(id ident.TargetID, gap time.Duration) {
	t, ok := tb.byID[id]
	if !ok || t.Capacity == 0 || gap <= 0 {
		return
	}
	p, ok := tb.paces[t.Service]
	if !ok {
		tb.paces[t.Service] = pace{gap: gap, best: gap, at: tb.last}
		return
	}
	p.gap = p.now(tb.last)
	p.gap += time.Duration(paceWeight * float64(gap-p.gap))
	p.best = min(p.best+time.Duration(bestRise*float64(gap-p.best)), p.gap)
	p.at = tb.last
	tb.paces[t.Service] = p
}

// DecodeRate returns the events a second of one stream of a service here, zero
// where that is not known.
func (tb *Table) DecodeRate(now ident.Time, service string) float64 {
	p := tb.Pace(now, service)
	if p <= 0 {
		return 0
	}
	return 1 / p.Seconds()
}

// Pace returns how long a stream of a service takes here from one event to the
// next, zero where that is not known.
func (tb *Table) Pace(now ident.Time, service string) time.Duration {
	p, ok := tb.paces[service]
	if !ok {
		return 0
	}
	return p.now(now)
}
