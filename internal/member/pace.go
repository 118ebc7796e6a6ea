package member

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Use of the pace of streams.
const (
	// crowdedPace is the ratio to the best pace from which on targets have no room for work
	// from elsewhere.
	crowdedPace = 3
	// paceStep is the part of its spare slots that a data centre offers at a time where the
	// pace of streams is known. The pace shows the effect of an offer only after the next one.
	paceStep = 12
)

// roomAt returns the part of the free slots of a service that work from elsewhere
// may take. The best pace is that of the data centre with the fastest streams: one
// that has been busy since it started knows no other.
func (tb *Table) roomAt(now ident.Time, service string) float64 {
	p, ok := tb.usual.Pace(service)
	if !ok {
		return 1
	}
	best := p.MinGap
	for _, c := range tb.centres {
		if far := c.Pool(PoolID{Service: service}); far != nil && far.DecodeRate > 0 {
			best = min(best, time.Duration(1/far.DecodeRate*float64(time.Second)))
		}
	}
	slow := float64(p.GapAt(now)) / float64(best)
	return min(1, max(0, (crowdedPace-slow)/(crowdedPace-1)))
}

// isPaced reports whether the pace of the streams of a pool is known.
//
// Work of such a pool goes to another data centre by a chance that follows from
// the paces of both, so that it needs no rule to keep two data centres from
// swapping work.
func (tb *Table) isPaced(id PoolID) bool {
	_, ok := tb.usual.Pace(id.Service)
	return ok && id.Service != ""
}

// DecodeRate returns the events a second of one stream of a service here, zero
// where that is not known.
func (tb *Table) DecodeRate(now ident.Time, service string) float64 {
	p, _ := tb.usual.Pace(service)
	return p.EventRate(now)
}

// Pace returns how long a stream of a service takes here from one event to the
// next, zero where that is not known.
func (tb *Table) Pace(now ident.Time, service string) time.Duration {
	p, _ := tb.usual.Pace(service)
	return p.GapAt(now)
}
