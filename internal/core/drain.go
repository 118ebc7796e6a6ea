package core

import (
	"maps"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

func (rd *Reducer) drain(now ident.Time) {
	if rd.draining {
		return
	}
	rd.draining = true
	rd.drainStartedAt = now
	rd.self.Draining = true
	rd.table.SetDraining()
}

// drainExpired gives all remaining requests their final answer. The outcome is unknown for a
// request that is at a target or another host, or that may have run before.
func (rd *Reducer) drainExpired(now ident.Time) {
	rd.drainEnded = true
	ids := slices.Sorted(maps.Keys(rd.requests))
	for _, id := range ids {
		r := rd.requests[id]
		ref := rd.refuseDraining(now, r)
		if r.live != nil || r.pendingBar != nil || r.mayHaveRun {
			ref = refusal{code: codes.HostStopped.ID, outcome: event.Unknown}
			r.lastEnding = event.Ending{Side: event.SideHost, Reason: event.ReasonStopped}
		}
		if r.live != nil {
			rd.dropAttempt(now, r.live, healthUnknown)
		}
		rd.endRefused(now, r, ref)
	}
}

const (
	// drainAnswerMargin is the time reserved before the end of a drain for the last answers to
	// reach their callers.
	drainAnswerMargin = 200 * time.Millisecond
	// replacementDelay is how long after the end of a drain the successor of the host is ready.
	replacementDelay = time.Second
)

// acceptsWhileDraining reports whether a draining host accepts a request. Callers use a host for
// as long as their directory answer is valid, and know no other host if all hosts of a region
// drain. So every request of a route is accepted for DrainAccept, and after that one whose deadline
// is before the end of the drain. The typical duration of its route is not a reliable criterion
// under load. A request that may run only once is left to another host, if there is one, unless it
// surely ends in time: its caller can repeat a refusal and not an answer that is cut.
func (rd *Reducer) acceptsWhileDraining(now ident.Time, r *request) bool {
	if r.profile.Route == nil || rd.drainEnded {
		return false
	}
	if now.Sub(rd.drainStartedAt) < rd.bounds.DrainAccept {
		return !rd.leavesToOthers(now, r)
	}
	return mech.On(codes.DrainAccept) && r.Deadline > 0 && r.Deadline <= rd.drainAnswersBy()
}

// drainAnswersBy returns when the last answers of a drain must be complete.
func (rd *Reducer) drainAnswersBy() ident.Time {
	return rd.drainStartedAt.Add(rd.bounds.DrainTimeout - drainAnswerMargin)
}

// lateAnswerMultiple is how many times the time past which an answer of its route is unusually late a call must
// have left, to be certain to end before the drain.
const lateAnswerMultiple = 2

// leavesToOthers reports whether a draining host leaves a request that has not been sent to another host, since it may
// run only once and could be cut. How long a stream takes is not known in advance.
func (rd *Reducer) leavesToOthers(now ident.Time, r *request) bool {
	rt := r.profile.Route
	if rt == nil || rt.Repeatable() || r.Deadline > 0 && r.Deadline <= rd.drainAnswersBy() || !rd.table.HasActivePeer(now) {
		return false
	}
	late := rd.slack.LateAfter(r.profile.Name)
	return rt.Kind == rules.Streaming || late == 0 || now.Add(lateAnswerMultiple*late) > rd.drainAnswersBy()
}

// refuseDraining refers a caller to other hosts. Without another host in the region the caller is
// asked to come back when the successor of this host has started.
func (rd *Reducer) refuseDraining(now ident.Time, r *request) refusal {
	ref := rd.refuseWithEntries(now, r, codes.Draining)
	if r.profile.Route != nil && !rd.table.HasActivePeer(now) {
		ref.retryAfter = max(minRetryAfter, rd.bounds.DrainTimeout-now.Sub(rd.drainStartedAt)+replacementDelay)
	}
	return ref
}
