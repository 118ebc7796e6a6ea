package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Parameters of the idle timeouts of attempts that can be followed by a retry.
const (
	// firstByteGoalRatio is the shortest timeout for the first byte of a stream as a fraction of
	// the goal, and callGoalRatio that for the answer to a call. The rest of the goal is left for
	// the retry.
	firstByteGoalRatio = 0.75
	callGoalRatio      = 1.0 / 3
	// lateFirstByteGoalRatio is the shortest timeout for the first byte of a stream as a multiple
	// of the goal, if a retry could not meet the goal either. Callers wait for at least four
	// goals.
	lateFirstByteGoalRatio = 2.5
	// gapMultiple is the timeout between two events of a stream as a multiple of the goal for
	// that gap, and minGapTimeout its minimum: engines that prefill a long prompt or preempt a
	// request pause for a second or more.
	gapMultiple   = 4
	minGapTimeout = 2 * time.Second
)

// idleTimeouts returns how long an attempt may be silent before it is retried: the answer of a
// target may be lost on a connection that stays open. Under load all answers are late, so the
// timeouts follow the first-byte times of the route. They are zero if no retry can follow.
func (rd *Reducer) idleTimeouts(r *request, dec route.Decision) event.IdleTimeouts {
	rt := r.profile.Route
	if rt == nil || r.atMostOnce || r.forwarded || rt.GoalMs <= 0 || r.attemptCount >= rt.MaxAttempts {
		return event.IdleTimeouts{}
	}
	late := rd.slack.LateAfter(r.profile.Name)
	if rt.Kind != rules.Streaming {
		return event.IdleTimeouts{First: dec.Wait + max(late, fraction(rt.Goal(), callGoalRatio))}
	}
	first := fraction(rt.Goal(), firstByteGoalRatio)
	if late > first && mech.On(codes.LongIdleTimeout) {
		first = max(late, fraction(rt.Goal(), lateFirstByteGoalRatio))
	}
	return event.IdleTimeouts{
		First: dec.Wait + first,
		Gap:   max(gapMultiple*time.Duration(rt.GapMs)*time.Millisecond, minGapTimeout),
	}
}

// attemptSilent aborts a silent attempt if a retry can follow, since the connection may be dead.
// Otherwise the attempt continues, since its target may be paused and the caller may have a part
// of the answer.
func (rd *Reducer) attemptSilent(now ident.Time, e event.AttemptSilent) {
	a, ok := rd.attempts[e.Attempt]
	if !ok || a.req.live != a || a.req.profile.Route == nil || a.retryTaken && a.silentSince == e.Since {
		return
	}
	s := event.Silence{Since: e.Since, Duration: now.Sub(e.Since), AnswerBegan: e.AnswerBegan}
	if d := rd.reserveRetry(now, a, e.AnswerBegan); d.Reason != "" {
		rd.emit(event.KeepAttempt{Request: a.req.ID, Attempt: a.id, Silence: s, Denial: d})
		return
	}
	a.retryTaken, a.silentSince = true, e.Since
	rd.emit(event.BreakOff{Request: a.req.ID, Attempt: a.id, Silence: s})
}

// minRetryTime is the time that must remain for a retry beyond its predicted wait.
const minRetryTime = 250 * time.Millisecond

// reserveRetry takes the retry of a silent attempt from the budget, or returns why none can
// follow. A request whose answer has begun needs a free slot immediately; any other may be queued.
func (rd *Reducer) reserveRetry(now ident.Time, a *attempt, begun bool) event.Denial {
	r := a.req
	if r.forwarded {
		return event.Denial{Reason: event.DeniedForwarded, Attempts: r.attemptCount}
	}
	q := rd.query(now, r)
	q.MayHaveRun = true
	if a.target != "" {
		q.TriedTargets = r.triedTargets.With(a.target)
	} else {
		q.TriedCentres = r.triedCentres.With(a.dec.Centre)
	}
	dec := rd.router.Preview(now, q, rd.table)
	free := dec.Target != nil || dec.Centre != ""
	if !free && (begun || !dec.Full) || begun && rd.pools.of(r).hasOthersWaiting(r) {
		return event.Denial{Reason: event.DeniedCapacity, Attempts: r.attemptCount}
	}
	if free && now.Add(dec.Wait+minRetryTime) >= r.deadline {
		return event.Denial{Reason: event.DeniedTime, Attempts: r.attemptCount, PredictedWait: dec.Wait, RemainingTime: r.deadline.Sub(now)}
	}
	if a.retryTaken {
		return event.Denial{}
	}
	return spendAttempt(now, r, max(r.profile.Route.MaxAttempts, 1), rd.retryBudget(now, r.profile.Service))
}

func fraction(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }
