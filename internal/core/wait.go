package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// waitPart is the part of its time that a request of a route may wait for a
// place before its first try. What is left must do for the answer, or for its
// caller to come back.
const waitPart = 0.5

// startBy returns the queue deadline of a request: as long as it can then still be answered
// within its goal, and at most half of its time, which leaves the caller time to come back
// after a refusal. One that has been tried, or a forwarded stream that broke off, may be queued
// until its deadline, since its caller may have a part of the answer.
func (rd *Reducer) startBy(r *request) ident.Time {
	rt := r.profile.Route
	if rt == nil || rt.GoalMs <= 0 || r.tries > 0 || r.Begun {
		return r.deadline
	}
	half := time.Duration(waitPart * float64(r.deadline.Sub(r.arrived)))
	if rd.late(r) {
		return r.arrived.Add(min(part(rt.Goal(), latePart), half))
	}
	return r.arrived.Add(min(max(rd.slack.Wait(r.profile.Name, rt.Goal(), r.age), leastWait), half))
}

// late reports whether a request came too late to be answered within its goal.
func (rd *Reducer) late(r *request) bool {
	rt := r.profile.Route
	return mech.On(codes.LateBehind) && rt != nil && r.age > 0 && rd.slack.Wait(r.profile.Name, rt.Goal(), r.age) <= 0
}

// latePart is the part of its goal that a request may wait which came too late to be
// answered within it. As long as others come in time it goes behind them, and the longer
// it is held the less its caller can do with a refusal.
const latePart = 0.25

// leastWait is what a request may wait at the least: the time in which a place that has just
// become free is seen.
const leastWait = 100 * time.Millisecond
