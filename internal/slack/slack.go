// Package slack computes how long a request of a route may be queued and still be
// answered within its goal.
//
// # Usage
//
//	b := slack.New()
//	b.FirstByte(profile, took)               // an answer has begun
//	waited := b.Arrived(profile, remaining)  // a request has arrived
//	wait := b.MaxWait(profile, goal, waited) // how long it may be queued
//
// A request may be queued only for the part of its goal that remains after the usual time from
// sending a request to the first byte of its answer.
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
	// lateDeviations is by how many deviations an answer may exceed the mean before it counts as
	// late and probably lost, as in TCP's retransmission timeout. It applies per route, since long
	// prompts are answered later than short ones.
	lateDeviations = 4
	// maxReturnedRatio is the fraction of the longest time given by a caller below which a request
	// counts as one that came back after a refusal.
	maxReturnedRatio = 0.8
	// longestDecay is the fraction by which routeStats.longest decays with each request.
	longestDecay = 1.0 / 2048
	// maxRoutes bounds the routes with statistics. At the bound all are dropped and learned again.
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
	// longest is the longest time to its deadline that a recent request had on arrival.
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

// Arrived records the time that remains to the deadline of a new request. It returns how long the
// caller has probably waited before, if it came back after a refusal, and zero for a first request.
func (b *Book) Arrived(name ident.Profile, remaining time.Duration) time.Duration {
	st := b.statsOf(name)
	st.longest -= time.Duration(longestDecay * float64(st.longest))
	st.longest = max(st.longest, remaining)
	if float64(remaining) >= maxReturnedRatio*float64(st.longest) {
		return 0
	}
	return st.longest - remaining
}

func (b *Book) statsOf(name ident.Profile) *routeStats {
	st, ok := b.routes[name]
	if !ok {
		if len(b.routes) >= maxRoutes {
			clear(b.routes)
		}
		st = &routeStats{}
		b.routes[name] = st
	}
	return st
}

// FirstByte records the time from sending a request to the first byte of its answer.
func (b *Book) FirstByte(name ident.Profile, took time.Duration) { b.statsOf(name).firstByte.add(took) }

// UsualFirstByte returns the time to a first byte that most answers of a route stay below, zero
// if none is known.
func (b *Book) UsualFirstByte(name ident.Profile) time.Duration {
	if st, ok := b.routes[name]; ok {
		return st.firstByte.plusDeviations(usualDeviations)
	}
	return 0
}

// LateAfter returns the time to a first byte past which an answer of a route is unusually late,
// zero if none is known.
func (b *Book) LateAfter(name ident.Profile) time.Duration {
	if st, ok := b.routes[name]; ok {
		return st.firstByte.plusDeviations(lateDeviations)
	}
	return 0
}

// MaxWait returns how long a request of a route may be queued, where waited is how long its caller
// has waited before. It is negative for a request that can no longer be answered within its goal.
func (b *Book) MaxWait(name ident.Profile, goal, waited time.Duration) time.Duration {
	return goal - waited - b.UsualFirstByte(name)
}
