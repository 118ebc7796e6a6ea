package core

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// again tries a request elsewhere, after a pause and within the budget, or
// ends it.
func (rd *Reducer) again(now ident.Time, r *request, a *attempt, e event.AttemptEnded, ref refusal) {
	if rd.mayTryAgain(now, r, a, e) {
		rd.elsewhereSoon(now, r, a, ref)
		return
	}
	if rd.retryThere(now, r, a, e) || rd.retryLater(now, r, a, e, ref) {
		return
	}
	rd.end(now, r, ref)
}

// retryLater asks for the rest of a stream again when only the budget denies it: the budget grows
// with each request that arrives, and to end the stream would cut the part that its caller has.
func (rd *Reducer) retryLater(now ident.Time, r *request, a *attempt, e event.AttemptEnded, ref refusal) bool {
	at := now.Add(resumePause)
	if r.delivered == 0 || r.denied.Reason != event.DeniedBudget || r.waits >= resumeWaits || at >= r.deadline {
		return false
	}
	r.waits++
	rd.agenda.add(appointment{at: at, req: r, do: func(now ident.Time, r *request) { rd.again(now, r, a, e, ref) }})
	return true
}

// retryThere tries the rest of a stream again at the target that turned it away, and reports
// whether it does. MaxAttempts bounds the targets that see a request, so that no other may get
// it, and to end it would cut the answer that its caller has a part of.
func (rd *Reducer) retryThere(now ident.Time, r *request, a *attempt, e event.AttemptEnded) bool {
	begun := r.delivered > 0 || r.Begun
	if !begun || r.profile.Route == nil || e.Result != event.ResultNotRun || a.target == "" || !reached(a, e) || e.Draining {
		return false
	}
	at := now.Add(max(retry.Backoff(r.tries, r.ID), e.RetryAfter))
	if at >= r.deadline {
		return false
	}
	if r.denied = spend(now, r, rd.service(now, r.profile.Service)); r.denied.Reason != "" {
		return false
	}
	r.only = a.target
	rd.agenda.add(appointment{at: at, req: r, do: rd.place})
	return true
}

// resume lets a broken stream go on at another target. It does not use the retry budget: a
// target that dies breaks all its streams at once, and a resumed stream asks only for the
// tokens that are left, so that load does not grow with failures.
func (rd *Reducer) resume(now ident.Time, r *request, a *attempt, ref refusal) {
	if r.tries >= retry.MaxTries {
		rd.end(now, r, ref)
		return
	}
	rd.elsewhereSoon(now, r, a, ref)
}

// elsewhereSoon places a request again after a pause, but not where it failed.
func (rd *Reducer) elsewhereSoon(now ident.Time, r *request, a *attempt, ref refusal) {
	if a.target != "" {
		r.tried.Add(a.target)
	} else {
		r.triedCentres.Add(a.dec.Centre)
	}
	at := now
	if !a.follows {
		at = now.Add(retry.Backoff(r.tries, r.ID))
	}
	if at >= r.deadline {
		ref.code = codes.DeadlineExceeded.ID
		rd.end(now, r, ref)
		return
	}
	if at <= now {
		rd.place(now, r)
		return
	}
	rd.agenda.add(appointment{at: at, req: r, do: rd.place})
}

// mayTryAgain decides whether a request may be tried again after an attempt ended, and takes
// what that costs from the budget.
func (rd *Reducer) mayTryAgain(now ident.Time, r *request, a *attempt, e event.AttemptEnded) bool {
	r.denied = rd.denyRetry(now, r, a, e)
	return r.denied.Reason == ""
}

func (rd *Reducer) denyRetry(now ident.Time, r *request, a *attempt, e event.AttemptEnded) event.Denial {
	if a.follows {
		return event.Denial{}
	}
	rt := r.profile.Route
	if rt == nil {
		return spendTry(now, r, retry.MaxTries, &rd.budget)
	}
	if e.Result == event.ResultNotRun && !reached(a, e) && (r.mayHaveRun || e.Code != codes.TurnedAway.ID) {
		r.tries--
		r.unsent++
		if r.unsent > maxUnsent {
			return event.Denial{Reason: event.DeniedUnsent, Tries: r.unsent, MaxTries: maxUnsent}
		}
		return event.Denial{}
	}
	if r.forwarded {
		return event.Denial{Reason: event.DeniedForwarded, Tries: r.tries}
	}
	return spendTry(now, r, max(rt.MaxAttempts, 1), rd.service(now, r.profile.Service))
}

// spendTry is spend for a request that is to be sent to at most so many targets.
func spendTry(now ident.Time, r *request, most int, b *retry.Budget) event.Denial {
	if r.tries >= most {
		return event.Denial{Reason: event.DeniedAttempts, Tries: r.tries, MaxTries: most}
	}
	return spend(now, r, b)
}

// spend takes one retry of a request from a budget, or says why it may not.
func spend(now ident.Time, r *request, b *retry.Budget) event.Denial {
	if b.Spend(now) {
		return event.Denial{}
	}
	d := event.Denial{Reason: event.DeniedBudget, Tries: r.tries}
	d.Spent, d.Allowed = b.Usage(now)
	return d
}
