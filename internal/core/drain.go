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
	rd.drainAt = now
	rd.self.Draining = true
	rd.table.SetDraining()
}

// drainExpired gives what still runs its final answer. Of a request at a target or host it isn't
// known whether it ran.
func (rd *Reducer) drainExpired(now ident.Time) {
	rd.closed = true
	ids := slices.Sorted(maps.Keys(rd.requests))
	for _, id := range ids {
		r := rd.requests[id]
		ref := rd.refuseDraining(now, r)
		if r.live != nil || r.barring != nil || r.mayHaveRun {
			ref = refusal{code: codes.HostStopped.ID, outcome: event.Unknown}
			r.broke = event.Ending{Side: event.SideHost, Reason: event.ReasonStopped}
		}
		if r.live != nil {
			rd.forget(r.live, tellsNothing)
		}
		rd.end(now, r, ref)
	}
}

const (
	// lastAnswer is the time before the end of a drain in which its last answers leave.
	lastAnswer = 200 * time.Millisecond
	// replaceTime is how long after its end a host is back in its place.
	replaceTime = time.Second
)

// stillServes reports whether a draining host takes a request. Callers keep using a host for as
// long as its directory answer holds, and know no other where all hosts of a region drain. So a
// request is taken if its deadline comes before the end of the drain; its usual duration is no
// measure under load.
func (rd *Reducer) stillServes(now ident.Time, r *request) bool {
	if r.profile.Route == nil || rd.closed {
		return false
	}
	if now.Sub(rd.drainAt) < rd.bounds.DrainServe {
		return true
	}
	return mech.On(codes.LateDrain) && r.Deadline > 0 && r.Deadline <= rd.drainAt.Add(rd.bounds.DrainEnd-lastAnswer)
}

// refuseDraining sends a caller elsewhere. Without another host in the region it is to come
// back when the successor of this host has started.
func (rd *Reducer) refuseDraining(now ident.Time, r *request) refusal {
	ref := rd.elsewhere(now, r, codes.Draining)
	if r.profile.Route != nil && !rd.table.HasActivePeer(now) {
		ref.later = max(laterLeast, rd.bounds.DrainEnd-now.Sub(rd.drainAt)+replaceTime)
	}
	return ref
}
