package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// maxWaitRatio is the fraction of the time to its deadline that a request of a route may wait for
// a slot before its first attempt. The rest must suffice for the answer, or for its caller to come
// back.
const maxWaitRatio = 0.5

// queueDeadline returns until when a request may be queued: as long as it can still be answered
// within its goal, or for pastGoalWaitRatio if it is past its goal already. It is queued for at
// most half of the time to its deadline, which leaves the caller time to come back after a refusal.
// A request that has been attempted, or the rest of a forwarded stream, may be queued until its
// deadline, since its caller may have a part of the answer.
func (rd *Reducer) queueDeadline(r *request) ident.Time {
	rt := r.profile.Route
	if rt == nil || rt.GoalMs <= 0 || r.attemptCount > 0 || r.AnswerBegan {
		return r.deadline
	}
	half := time.Duration(maxWaitRatio * float64(r.deadline.Sub(r.arrived)))
	if r.queueBuild != "" {
		// Only these targets can continue what the caller has.
		return r.arrived.Add(half)
	}
	if rd.isPastGoal(r) {
		return r.arrived.Add(min(fraction(rt.Goal(), pastGoalWaitRatio), half))
	}
	return r.arrived.Add(min(max(rd.slack.MaxWait(r.profile.Name, rt.Goal(), r.waitedBefore), minQueueWait), half))
}

// isPastGoal reports whether a request arrived too late to be answered within its goal.
func (rd *Reducer) isPastGoal(r *request) bool {
	rt := r.profile.Route
	return mech.On(codes.LateRequestsLast) && rt != nil && r.waitedBefore > 0 && rd.slack.MaxWait(r.profile.Name, rt.Goal(), r.waitedBefore) <= 0
}

// pastGoalWaitRatio is how long a request past its goal may be queued, as a fraction of the goal.
// It is queued behind the requests that are within their goals, and the longer it waits, the less
// time its caller has left after a refusal.
const pastGoalWaitRatio = 0.25

// minQueueWait is the minimum time that a request within its goal may be queued. It is long enough
// for this host to learn that a slot has just become free.
const minQueueWait = 100 * time.Millisecond
