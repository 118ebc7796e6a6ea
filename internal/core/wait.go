package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// maxWaitRatio is the fraction of its time that a request of a route may wait for a place before
// its first try. The rest must suffice for the answer, or for its caller to come back.
const maxWaitRatio = 0.5

// queueDeadline returns until when a request may be queued: as long as it can still be answered
// within its goal, and for at most half of its time, which leaves the caller time to come back
// after a refusal. A request that has been tried, or the rest of a forwarded stream, may be
// queued until its deadline, since its caller may have a part of the answer.
func (rd *Reducer) queueDeadline(r *request) ident.Time {
	rt := r.profile.Route
	if rt == nil || rt.GoalMs <= 0 || r.tries > 0 || r.AnswerBegan {
		return r.deadline
	}
	half := time.Duration(maxWaitRatio * float64(r.deadline.Sub(r.arrived)))
	if rd.isLate(r) {
		return r.arrived.Add(min(fraction(rt.Goal(), lateWaitRatio), half))
	}
	return r.arrived.Add(min(max(rd.slack.MaxWait(r.profile.Name, rt.Goal(), r.waitedBefore), minQueueWait), half))
}

// isLate reports whether a request arrived too late to be answered within its goal.
func (rd *Reducer) isLate(r *request) bool {
	rt := r.profile.Route
	return mech.On(codes.LateRequestsLast) && rt != nil && r.waitedBefore > 0 && rd.slack.MaxWait(r.profile.Name, rt.Goal(), r.waitedBefore) <= 0
}

// lateWaitRatio is the fraction of its goal that a late request may be queued. While others
// arrive in time it is queued behind them, and the longer it waits, the less its caller can do
// with a refusal.
const lateWaitRatio = 0.25

// minQueueWait is the lower bound of how long a request may be queued: within it, a place that
// has just become free is noticed.
const minQueueWait = 100 * time.Millisecond
