package core

import (
	"net/http"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Return of requests whose targets have asked for rest.
const (
	// restSpread is the range, as a fraction of the time that the rest still lasts, over which they return after it.
	restSpread = 0.25
	// minRestReturn is the shortest time to return.
	minRestReturn = 50 * time.Millisecond
)

// restStatuses are the statuses with which a target turns requests away.
var restStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}

// recordRest records that the answer of a target asked for rest.
func (rd *Reducer) recordRest(now ident.Time, a *attempt, e event.AttemptEnded) {
	if a.target != "" && slices.Contains(restStatuses, e.Status) {
		rd.table.RestAsked(now, a.target, a.incarnation, e.RetryAfter)
	}
}

// waitForRest handles a request for which no target is available because targets have asked for rest, and
// reports whether it did. The rest of an answer waits until the first of them may be used again, if that is before
// its deadline. Any other request is refused at once, with a time to come back: it would take the target's first
// moments after its rest together with all others that wait.
func (rd *Reducer) waitForRest(now ident.Time, r *request) bool {
	ends, ok := rd.router.RestEnds(now, rd.query(now, r), rd.table)
	if !ok {
		return false
	}
	back := ends.Add(fraction(ends.Sub(now), restSpread*rank.Unit(rank.Mix(rank.Hash(string(r.ID))))))
	if r.hasBegun() && back < r.deadline {
		rd.timers.add(timer{at: back, req: r, run: rd.place})
		return true
	}
	r.lastDenial = event.Denial{Reason: event.DeniedRest, Attempts: r.attemptCount, PredictedWait: ends.Sub(now), RemainingTime: r.deadline.Sub(now)}
	ref := noTargetRefusal(r, codes.Overloaded.ID)
	ref.retryAfter, ref.targetsRest = max(back.Sub(now), minRestReturn), true
	rd.endRefused(now, r, ref)
	return true
}
