package core

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// retryOrEnd retries a request elsewhere, after a backoff and within the retry budget, or ends it
// with ref.
func (rd *Reducer) retryOrEnd(now ident.Time, r *request, a *attempt, e event.AttemptEnded, ref refusal) {
	if rd.takeRetry(now, r, a, e) {
		rd.retryElsewhere(now, r, a, ref)
		return
	}
	if rd.retrySameTarget(now, r, a, e) || rd.retryWhenBudgetAllows(now, r, a, e, ref) {
		return
	}
	rd.endRefused(now, r, ref)
}

// retryWhenBudgetAllows schedules another attempt at the rest of a stream if only the retry budget
// denies the retry now, and reports whether it did. The budget grows with each arriving request,
// and ending the stream would truncate an answer that the caller has a part of.
func (rd *Reducer) retryWhenBudgetAllows(now ident.Time, r *request, a *attempt, e event.AttemptEnded, ref refusal) bool {
	at := now.Add(resumeInterval)
	if r.delivered == 0 || r.lastDenial.Reason != event.DeniedBudget || r.resumeWaits >= maxResumeWaits || at >= r.deadline {
		return false
	}
	r.resumeWaits++
	rd.timers.add(timer{at: at, req: r, run: func(now ident.Time, r *request) { rd.retryOrEnd(now, r, a, e, ref) }})
	return true
}

// retrySameTarget schedules the rest of a stream at the target that refused it, and reports
// whether it did. MaxAttempts bounds the targets that receive a request, so no other target may
// receive the rest, and ending the request would truncate an answer that the caller has a part
// of.
func (rd *Reducer) retrySameTarget(now ident.Time, r *request, a *attempt, e event.AttemptEnded) bool {
	if !r.hasBegun() || r.profile.Route == nil || e.Result != event.ResultNotRun || a.target == "" || !reachedTarget(a, e) || e.Draining {
		return false
	}
	at := now.Add(max(retry.Backoff(r.attemptCount, r.ID), e.RetryAfter))
	if at >= r.deadline {
		return false
	}
	if r.lastDenial = spendRetry(now, r, rd.retryBudget(now, r.profile.Service)); r.lastDenial.Reason != "" {
		return false
	}
	r.boundTarget = a.target
	rd.timers.add(timer{at: at, req: r, run: rd.place})
	return true
}

// resumeStream continues a broken stream at another target. It does not use the retry budget: a
// target that dies breaks all its streams at once, and a resumed stream requests only the
// remaining tokens, so load does not grow with failures.
func (rd *Reducer) resumeStream(now ident.Time, r *request, a *attempt, ref refusal) {
	if r.attemptCount >= retry.MaxAttempts {
		rd.endRefused(now, r, ref)
		return
	}
	rd.retryElsewhere(now, r, a, ref)
}

// retryElsewhere places a request again after a backoff, excluding the target or data centre
// where it failed.
func (rd *Reducer) retryElsewhere(now ident.Time, r *request, a *attempt, ref refusal) {
	switch {
	case a.target != "":
		r.triedTargets.Add(a.target)
	case !a.unreachable:
		r.triedCentres.Add(a.dec.Centre)
	}
	at := now
	if !a.retryTaken && !a.unreachable {
		at = now.Add(retry.Backoff(r.attemptCount, r.ID))
	}
	if at >= r.deadline {
		ref.code = codes.DeadlineExceeded.ID
		rd.endRefused(now, r, ref)
		return
	}
	if at <= now {
		rd.place(now, r)
		return
	}
	rd.timers.add(timer{at: at, req: r, run: rd.place})
}

// takeRetry reports whether a request may be retried after an attempt ended, and if so takes the
// retry from the budget.
func (rd *Reducer) takeRetry(now ident.Time, r *request, a *attempt, e event.AttemptEnded) bool {
	r.lastDenial = rd.denyRetry(now, r, a, e)
	return r.lastDenial.Reason == ""
}

func (rd *Reducer) denyRetry(now ident.Time, r *request, a *attempt, e event.AttemptEnded) event.Denial {
	if a.retryTaken {
		return event.Denial{}
	}
	rt := r.profile.Route
	if rt == nil {
		return spendAttempt(now, r, retry.MaxAttempts, &rd.budget)
	}
	if e.Result == event.ResultNotRun && !reachedTarget(a, e) && (r.mayHaveRun || e.Code != codes.ForwardRefused.ID) {
		r.attemptCount--
		r.unsentAttempts++
		if r.unsentAttempts > maxUnsentAttempts {
			return event.Denial{Reason: event.DeniedUnsent, Attempts: r.unsentAttempts, MaxAttempts: maxUnsentAttempts}
		}
		return event.Denial{}
	}
	if r.forwarded {
		return event.Denial{Reason: event.DeniedForwarded, Attempts: r.attemptCount}
	}
	return spendAttempt(now, r, max(rt.MaxAttempts, 1), rd.retryBudget(now, r.profile.Service))
}

// spendAttempt is spendRetry for a request that may be attempted at most maxAttempts times.
func spendAttempt(now ident.Time, r *request, maxAttempts int, b *retry.Budget) event.Denial {
	if r.attemptCount >= maxAttempts {
		return event.Denial{Reason: event.DeniedAttempts, Attempts: r.attemptCount, MaxAttempts: maxAttempts}
	}
	return spendRetry(now, r, b)
}

// spendRetry takes one retry of a request from a budget, or returns why the budget denies it. A request
// whose retry was granted and has not reached a target needs no other.
func spendRetry(now ident.Time, r *request, b *retry.Budget) event.Denial {
	if r.retry != nil {
		return event.Denial{}
	}
	if r.retry = b.Take(now); r.retry != nil {
		return event.Denial{}
	}
	d := event.Denial{Reason: event.DeniedBudget, Attempts: r.attemptCount}
	d.Retries, d.MaxRetries = b.Usage(now)
	return d
}

// confirmRetry returns why the next attempt of a request of a route may not be sent, the zero Denial if it may. Each
// attempt beyond the first that may have reached a target needs a grant, also where an earlier one was settled and
// then turned out not to have arrived. What a forwarded request needs, the host that forwarded it has taken.
func (rd *Reducer) confirmRetry(now ident.Time, r *request) event.Denial {
	if r.profile.Route == nil {
		return event.Denial{}
	}
	needed := r.retry != nil || r.attemptCount > 0
	if r.retry != nil && r.retry.Age(now) > retry.MaxGrantAge {
		r.retry.Return()
		r.retry = nil
	}
	if !needed {
		return event.Denial{}
	}
	return spendRetry(now, r, rd.retryBudget(now, r.profile.Service))
}

// handleUnconfirmedRetry handles a request whose retry was granted and may not be sent any more. The rest of an answer
// waits for the budget, any other request is refused.
func (rd *Reducer) handleUnconfirmedRetry(now ident.Time, r *request) {
	at := now.Add(resumeInterval)
	if r.delivered == 0 || r.resumeWaits >= maxResumeWaits || at >= r.deadline {
		rd.endRefused(now, r, noTargetRefusal(r, codes.Overloaded.ID))
		return
	}
	r.resumeWaits++
	rd.timers.add(timer{at: at, req: r, run: rd.place})
}

// settleRetry records that the attempt has reached its target by now, or never will.
func (a *attempt) settleRetry(now ident.Time) {
	if a.retry != nil {
		a.retry.Settle(now)
	}
}

// returnRetry gives the permission of an attempt that was not sent back to its request.
func (a *attempt) returnRetry() {
	switch {
	case a.retry == nil:
	case a.req.retry == nil:
		a.req.retry = a.retry
	default:
		a.retry.Return()
	}
	a.retry = nil
}
