package core

import (
	"time"

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

const (
	// lastAnswer is the time before the end of a drain in which its last answers leave.
	lastAnswer = 200 * time.Millisecond
	// replaceTime is how long after its end a host is back in its place.
	replaceTime = time.Second
)

// stillServes reports whether a host that drains takes a request all the same.
//
// Callers keep to a host for as long as they were told of it, and a refusal costs them a
// try. Where all hosts of a region drain at the same time they know no other: 152 of 424
// callers of 2 s were refused by both hosts of a region, with 4 s left. So a request is
// taken whose own time is over before the drain's. What it usually takes is no measure:
// engines get slow under load, and a stream that was taken by that, for four deviations
// and half as much again, was cut after 4.2 s.
func (rd *Reducer) stillServes(now ident.Time, r *request) bool {
	if r.profile.Route == nil {
		return false
	}
	if now.Sub(rd.drainAt) < rd.bounds.DrainServe {
		return true
	}
	return mech.On(codes.LateDrain) && r.Deadline > 0 && r.Deadline <= rd.drainAt.Add(rd.bounds.DrainEnd-lastAnswer)
}

// refuseDraining sends a caller elsewhere. With nobody else in its region it is told when
// this host's successor is there: asked again at once, another draining host would refuse
// it for good.
func (rd *Reducer) refuseDraining(now ident.Time, r *request) refusal {
	ref := rd.elsewhere(now, r, codes.Draining)
	if r.profile.Route != nil && !rd.table.Relieved(now) {
		ref.later = max(laterLeast, rd.bounds.DrainEnd-now.Sub(rd.drainAt)+replaceTime)
	}
	return ref
}
