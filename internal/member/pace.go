package member

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Use of the pace of streams.
const (
	// maxPaceRatio is the ratio to the best pace from which on targets have no room for work
	// from elsewhere.
	maxPaceRatio = 3
	// pacedOfferDivisor is the part of its spare slots that a data centre offers at a time where the
	// pace of streams is known. The pace shows the effect of an offer only after the next one.
	pacedOfferDivisor = 12
)

// remoteShare returns the part of the free slots of a service that work from elsewhere
// may take. The best pace is that of the data centre with the fastest streams: one
// that has been busy since it started knows no other.
func (tb *Table) remoteShare(now ident.Time, service string) float64 {
	p, ok := tb.serviceStats.Pace(service)
	if !ok {
		return 1
	}
	best := p.Best
	for _, c := range tb.centres {
		if far := c.Pool(PoolID{Service: service}); far != nil && far.DecodeRate > 0 {
			best = min(best, time.Duration(1/far.DecodeRate*float64(time.Second)))
		}
	}
	slow := float64(p.At(now)) / float64(best)
	return min(1, max(0, (maxPaceRatio-slow)/(maxPaceRatio-1)))
}

// hasPace reports whether the pace of the streams of a pool is known.
//
// Work of such a pool goes to another data centre by a chance that follows from
// the paces of both, so that it needs no rule to keep two data centres from
// swapping work.
func (tb *Table) hasPace(id PoolID) bool {
	_, ok := tb.serviceStats.Pace(id.Service)
	return ok && id.Service != ""
}

// DecodeRate returns the events a second of one stream of a service here, zero
// where that is not known.
func (tb *Table) DecodeRate(now ident.Time, service string) float64 {
	p, _ := tb.serviceStats.Pace(service)
	return p.Rate(now)
}

// Pace returns how long a stream of a service takes here from one event to the
// next, zero where that is not known.
func (tb *Table) Pace(now ident.Time, service string) time.Duration {
	p, _ := tb.serviceStats.Pace(service)
	return p.At(now)
}
