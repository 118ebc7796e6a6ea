package member

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Use of the stream pace, the time between two events of a stream.
const (
	// maxPaceRatio is the ratio of the current pace to the best one at which targets have no free
	// slots left for requests from other data centres.
	maxPaceRatio = 3
	// pacedOfferDivisor divides the spare slots that a data centre offers at a time if the
	// pace of streams is known. The effect of an offer on the pace shows only after the next
	// offer.
	pacedOfferDivisor = 12
)

// remoteShare returns the fraction of the free slots of a service that requests from other
// data centres may use. The best pace is that of the data centre with the fastest streams,
// since a data centre that has been busy since it started has never seen a better one.
func (tb *Table) remoteShare(now ident.Time, service string) float64 {
	p, ok := tb.serviceStats.Pace(service)
	if !ok {
		return 1
	}
	best := p.MinGap
	for _, c := range tb.centres {
		if remote := c.Pool(PoolID{Service: service}); remote != nil && remote.DecodeRate > 0 {
			best = min(best, time.Duration(1/remote.DecodeRate*float64(time.Second)))
		}
	}
	ratio := float64(p.GapAt(now)) / float64(best)
	return min(1, max(0, (maxPaceRatio-ratio)/(maxPaceRatio-1)))
}

// hasPace reports whether the pace of the streams of a pool is known.
//
// Requests for such a pool are forwarded to another data centre with a probability that
// depends on the pace in both, so that no rule is needed against an exchange of work between
// two data centres.
func (tb *Table) hasPace(id PoolID) bool {
	_, ok := tb.serviceStats.Pace(id.Service)
	return ok && id.Service != ""
}

// DecodeRate returns the events per second of one stream of a service here, zero if that is
// not known.
func (tb *Table) DecodeRate(now ident.Time, service string) float64 {
	p, _ := tb.serviceStats.Pace(service)
	return p.EventRate(now)
}

// Pace returns the time between two events of a stream of a service here, zero if that is not
// known.
func (tb *Table) Pace(now ident.Time, service string) time.Duration {
	p, _ := tb.serviceStats.Pace(service)
	return p.GapAt(now)
}
