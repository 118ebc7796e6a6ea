// Package slack computes how long a request of a route may be queued and still be
// answered within its goal.
//
// # Usage
//
//	b := slack.New()
//	b.Began(profile, took)             // an answer has begun
//	age := b.Asked(profile, left)      // a request has come
//	wait := b.Wait(profile, goal, age) // what it may wait
//
// The time to a first byte at the target comes on top of what a request waits here, so that a
// request is queued only for what is left of its goal after it.
//
// A Book belongs to one goroutine. It reads no clock.
package slack

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// smoothingWeight is the smoothingWeight of one answer in the smoothed times: with some ten answers a
	// second of one route at a host, a change of load shows within a second.
	smoothingWeight = 1.0 / 8
	// usualDeviations is how many times its usual deviation the time to a first byte is
	// taken to be longer than usual. With one, some five of six answers of a steady load
	// begin earlier.
	usualDeviations = 1
	// lostDeviations is how many deviations an answer may be late before it counts as lost, as
	// for packets of TCP. It is taken by route, since long prompts begin later than short ones.
	lostDeviations = 4
	// returnedBelow is the part of the time that callers usually give below which a request has
	// probably been refused before.
	returnedBelow = 0.8
	// longestDecay is the part by which the longest time is forgotten with each request.
	longestDecay = 1.0 / 2048
	// maxRoutes bounds the routes that are remembered. Past it all are learned anew.
	maxRoutes = 4096
)

// Book holds what is known of the answers of routes.
type Book struct {
	routes map[ident.Profile]*routeStats
}

// routeStats is what is known of the routeStats of one route.
type routeStats struct {
	// firstByte is the time from sending to the firstByte byte.
	firstByte smoothedTime
	// longest is the longest time that callers gave of late.
	longest time.Duration
}

// smoothedTime is a smoothed time and its smoothed deviation. The zero value knows nothing.
type smoothedTime struct {
	mean, deviation time.Duration
}

func (s *smoothedTime) add(took time.Duration) {
	if s.mean == 0 {
		s.mean, s.deviation = took, took/2
		return
	}
	off := took - s.mean
	s.mean += time.Duration(smoothingWeight * float64(off))
	s.deviation += time.Duration(smoothingWeight * float64(off.Abs()-s.deviation))
}

// plusDeviations returns the time that is longer than the mean by a number of deviations.
func (s smoothedTime) plusDeviations(deviations time.Duration) time.Duration {
	return s.mean + deviations*s.deviation
}

// New returns an empty book.
func New() *Book { return &Book{routes: make(map[ident.Profile]*routeStats)} }

// Arrived takes the time that a caller gives for an answer, and returns for how long it has
// probably waited before, since it came back after a refusal: zero for one that asks for the
// first time.
func (b *Book) Arrived(name ident.Profile, left time.Duration) time.Duration {
	a := b.statsOf(name)
	a.longest -= time.Duration(longestDecay * float64(a.longest))
	a.longest = max(a.longest, left)
	if float64(left) >= returnedBelow*float64(a.longest) {
		return 0
	}
	return a.longest - left
}

func (b *Book) statsOf(name ident.Profile) *routeStats {
	a, ok := b.routes[name]
	if !ok {
		if len(b.routes) >= maxRoutes {
			clear(b.routes)
		}
		a = &routeStats{}
		b.routes[name] = a
	}
	return a
}

// FirstByte takes the time from sending a request to the first byte of its answer.
func (b *Book) FirstByte(name ident.Profile, took time.Duration) { b.statsOf(name).firstByte.add(took) }

// UsualFirstByte returns the time to a first byte that most answers of a route stay below, zero
// where none is known.
func (b *Book) UsualFirstByte(name ident.Profile) time.Duration {
	if a, ok := b.routes[name]; ok {
		return a.firstByte.plusDeviations(usualDeviations)
	}
	return 0
}

// LateAfter returns the time to a first byte past which an answer of a route is unusually
// late, zero where none is known.
func (b *Book) LateAfter(name ident.Profile) time.Duration {
	if a, ok := b.routes[name]; ok {
		return a.firstByte.plusDeviations(lostDeviations)
	}
	return 0
}

// MaxWait returns how long a request of a route may wait for a place, where age is what it has
// waited before. It is negative for one that can't be answered within its goal any more.
func (b *Book) MaxWait(name ident.Profile, goal, age time.Duration) time.Duration {
	return goal - age - b.UsualFirstByte(name)
}
