// Package slack computes how long a request of a route may be queued and still be
// answered within its goal.
//
// # Usage
//
//	b := slack.New()
//	b.FirstByte(profile, took)            // an answer has begun
//	age := b.Arrived(profile, left)       // a request has arrived
//	wait := b.MaxWait(profile, goal, age) // how long it may be queued
//
// The time to a first byte at the target adds to the time in the queue, so a request is queued
// only for the part of its goal that remains after it.
//
// A Book belongs to one goroutine. It reads no clock.
package slack

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// smoothingWeight is the weight of one answer in the smoothed times. With some ten answers
	// per second of a route at one host, a change of load shows within a second.
	smoothingWeight = 1.0 / 8
	// usualDeviations is by how many deviations the usual time to a first byte exceeds the mean.
	// With one deviation some five of six answers under a steady load begin earlier.
	usualDeviations = 1
	// lostDeviations is by how many deviations an answer may exceed the mean before it counts as
	// lost, as in TCP's retransmission timeout. It applies per route, since long prompts are
	// answered later than short ones.
	lostDeviations = 4
	// returnedBelow is the fraction of the time that callers usually give below which a request
	// has probably been refused before.
	returnedBelow = 0.8
	// longestDecay is the fraction by which the longest time decays with each request.
	longestDecay = 1.0 / 2048
	// maxRoutes bounds the routes with statistics. Past the bound all are dropped and learned
	// again.
	maxRoutes = 4096
)

// Book holds the answer times of routes.
type Book struct {
	routes map[ident.Profile]*routeStats
}

// routeStats holds the answer times of one route.
type routeStats struct {
	// firstByte is the time from sending a request to the first byte of its answer.
	firstByte smoothedTime
	// longest is the longest time that callers gave recently.
	longest time.Duration
}

// smoothedTime is a smoothed duration and its smoothed deviation. The zero value has no samples.
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

// plusDeviations returns the mean plus a number of deviations.
func (s smoothedTime) plusDeviations(deviations time.Duration) time.Duration {
	return s.mean + deviations*s.deviation
}

// New returns an empty book.
func New() *Book { return &Book{routes: make(map[ident.Profile]*routeStats)} }

// Arrived records the time that a caller gives for an answer. It returns how long the caller has
// probably waited before, if it came back after a refusal, and zero for a first request.
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

// FirstByte records the time from sending a request to the first byte of its answer.
func (b *Book) FirstByte(name ident.Profile, took time.Duration) { b.statsOf(name).firstByte.add(took) }

// UsualFirstByte returns the time to a first byte that most answers of a route stay below, zero
// if none is known.
func (b *Book) UsualFirstByte(name ident.Profile) time.Duration {
	if a, ok := b.routes[name]; ok {
		return a.firstByte.plusDeviations(usualDeviations)
	}
	return 0
}

// LateAfter returns the time to a first byte past which an answer of a route is unusually late,
// zero if none is known.
func (b *Book) LateAfter(name ident.Profile) time.Duration {
	if a, ok := b.routes[name]; ok {
		return a.firstByte.plusDeviations(lostDeviations)
	}
	return 0
}

// MaxWait returns how long a request of a route may wait for a place, where age is how long it
// has waited before. It is negative for a request that can no longer be answered within its goal.
func (b *Book) MaxWait(name ident.Profile, goal, age time.Duration) time.Duration {
	return goal - age - b.UsualFirstByte(name)
}
