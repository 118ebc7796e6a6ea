// Package length estimates how many events an answer will have.
//
// # Usage
//
//	b := length.New()
//	b.Complete(profile, declared, events)     // an answer is complete
//	b.Broken(profile, declared, events)       // an answer broke off after events
//	est, ok := b.Estimate(profile, declared)  // before or during an answer
//	n := est.Remaining(delivered)
//	p := est.Exceeds(limit)
//
// Two sources are combined: the lengths of earlier answers of the same route, and the
// length that the request itself declares. Both are uncertain, and their errors are
// learned: a declared length weighs more on routes whose answers differ widely, and less
// where declarations have been wrong. Lengths vary by factors, so logarithms are averaged.
//
// Declared lengths may be in any unit that is proportional to events, such as tokens.
//
// A Book belongs to one goroutine. It reads no clock.
package length

import (
	"math"

	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// weight is the weight of one answer in the averages of its route.
	weight = 1.0 / 32
	// maxRoutes bounds the routes with statistics. Configurations add and drop routes
	// thousands of times a day; at the bound all are dropped and learned again.
	maxRoutes = 4096
	// initialVariance is the variance of the logarithm of a length while it is unknown. It
	// corresponds to a factor of two either way.
	initialVariance = 0.48
	// minVariance keeps one source from excluding the other.
	minVariance = 0.02
	// minEvents bounds an estimate from below.
	minEvents = 1
)

// Book holds the lengths of the answers of routes. Use New.
type Book struct {
	routes map[ident.Profile]*routeLengths
}

// routeLengths holds the lengths of one route.
type routeLengths struct {
	// events is the logarithm of the number of events of an answer, excess that number divided
	// by the declared length.
	events, excess average
}

// average is a moving mean and variance of a logarithm.
type average struct {
	samples  int
	mean     float64
	variance float64
}

func (a *average) add(x float64) {
	a.samples++
	if a.samples == 1 {
		a.mean, a.variance = x, initialVariance
		return
	}
	w := max(weight, 1/float64(a.samples))
	off := x - a.mean
	a.mean += w * off
	a.variance += w * (off*off - a.variance)
}

func (a *average) spread() float64 { return max(a.variance, minVariance) }

// New returns an empty book.
func New() *Book { return &Book{routes: make(map[ident.Profile]*routeLengths)} }

// Complete records the length of a complete answer. declared is zero if the request declared none.
func (b *Book) Complete(name ident.Profile, declared ident.Tokens, events float64) {
	if events < minEvents {
		return
	}
	rt := b.route(name)
	x := math.Log(events)
	rt.events.add(x)
	if declared > 0 {
		rt.excess.add(x - math.Log(float64(declared)))
	}
}

// Broken records that an answer broke off after a number of events. It counts only if it was
// longer than expected by then: without such answers the estimate would be that of answers that
// are short enough to end, and with all of them it would be too short as well.
func (b *Book) Broken(name ident.Profile, declared ident.Tokens, events float64) {
	if est, ok := b.Estimate(name, declared); ok && events > est.Median() {
		b.Complete(name, declared, events)
	}
}

func (b *Book) route(name ident.Profile) *routeLengths {
	rt, ok := b.routes[name]
	if !ok {
		if len(b.routes) >= maxRoutes {
			clear(b.routes)
		}
		rt = &routeLengths{}
		b.routes[name] = rt
	}
	return rt
}

// Estimate returns the length of an answer. It returns false if no answer of the route is known.
func (b *Book) Estimate(name ident.Profile, declared ident.Tokens) (Estimate, bool) {
	rt, ok := b.routes[name]
	if !ok || rt.events.samples == 0 {
		return Estimate{}, false
	}
	byRoute := 1 / rt.events.spread()
	if declared <= 0 || rt.excess.samples == 0 {
		return Estimate{mean: rt.events.mean, deviation: math.Sqrt(1 / byRoute)}, true
	}
	byRequest := 1 / rt.excess.spread()
	stated := math.Log(float64(declared)) + rt.excess.mean
	return Estimate{
		mean:      (byRoute*rt.events.mean + byRequest*stated) / (byRoute + byRequest),
		deviation: math.Sqrt(1 / (byRoute + byRequest)),
	}, true
}

// Estimate is a distribution of the number of events of an answer, whose logarithm is normal. The
// zero value is unknown.
type Estimate struct {
	mean, deviation float64
}

// Known reports whether the length is known at all.
func (e Estimate) Known() bool { return e.deviation > 0 }

// Median returns the number of events that half of such answers exceed, zero if it is unknown.
func (e Estimate) Median() float64 {
	if !e.Known() {
		return 0
	}
	return math.Exp(e.mean)
}

// Exceeds returns the probability that the answer has more than limit events, where error is an
// additional relative error of the limit.
func (e Estimate) Exceeds(limit, relativeError float64) float64 {
	switch {
	case !e.Known():
		return 0
	case limit <= 0:
		return 1
	}
	z := (math.Log(limit) - e.mean) / math.Hypot(e.deviation, relativeError)
	return 0.5 * math.Erfc(z/math.Sqrt2)
}

// Remaining returns the expected number of events after those that have been delivered. An answer
// that is longer than expected already is assumed to have a part of its length left.
func (e Estimate) Remaining(delivered ident.Tokens) float64 {
	if !e.Known() {
		return 0
	}
	const overdueFraction = 0.25
	expected := math.Exp(e.mean + e.deviation*e.deviation/2)
	if delivered <= 0 {
		return expected
	}
	return max(expected-float64(delivered), overdueFraction*float64(delivered))
}
