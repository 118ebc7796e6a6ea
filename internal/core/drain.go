package core

import (
	"maps"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
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

// drainExpired gives what still runs its final answer. Of a request at a target or host it isn't
// known whether it ran.
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
			rd.dropAttempt(r.live, healthUnknown)
		}
		rd.endRefused(now, r, ref)
	}
}

const (
	// drainAnswerMargin is the time before the end of a drain in which its last answers leave.
	drainAnswerMargin = 200 * time.Millisecond
	// replacementDelay is how long after its end a host is back in its place.
	replacementDelay = time.Second
)

// acceptsWhileDraining reports whether a draining host takes a request. Callers keep using a host for as
// long as its directory answer holds, and know no other where all hosts of a region drain. So a
// request is taken if its deadline comes before the end of the drain; its usual duration is no
// measure under load.
func (rd *Reducer) acceptsWhileDraining(now ident.Time, r *request) bool {
	if r.profile.Route == nil || rd.drainEnded {
		return false
	}
	if now.Sub(rd.drainStartedAt) < rd.bounds.DrainAccept {
		return true
	}
	return mech.On(codes.LateDrain) && r.Deadline > 0 && r.Deadline <= rd.drainStartedAt.Add(rd.bounds.DrainTimeout-drainAnswerMargin)
}

// refuseDraining sends a caller elsewhere. Without another host in the region it is to come
// back when the successor of this host has started.
func (rd *Reducer) refuseDraining(now ident.Time, r *request) refusal {
	ref := rd.refuseWithEntries(now, r, codes.Draining)
	if r.profile.Route != nil && !rd.table.Relieved(now) {
		ref.retryAfter = max(minRetryAfter, rd.bounds.DrainTimeout-now.Sub(rd.drainStartedAt)+replacementDelay)
	}
	return ref
}
