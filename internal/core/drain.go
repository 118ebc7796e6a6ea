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
	rd.self.Leaving = true
	rd.table.SetLeaving()
}

const (
	// endMargin is how many times as long as nearly all of its route a request may take
	// that a draining host still takes in: what runs at the end of the drain is cut.
	endMargin = 1.5
	// replaceTime is how long after its end a host is back in its place.
	replaceTime = time.Second
)

// stillServes reports whether a host that drains takes a request all the same.
//
// Callers keep to a host for as long as they were told of it, and a refusal costs them a
// try. Where all hosts of a region drain at the same time they know no other: 152 of 424
// callers of 2 s were refused by both hosts of a region, with 4 s left of which a call
// takes a tenth and a short answer a third. So a request is taken for as long as it will
// probably end before the drain does.
func (rd *Reducer) stillServes(now ident.Time, r *request) bool {
	if r.profile.Route == nil {
		return false
	}
	since := now.Sub(rd.drainAt)
	if since < rd.bounds.DrainServe {
		return true
	}
	whole := rd.slack.WholeAfter(r.profile.Name)
	return mech.On(codes.LateDrain) && whole > 0 && since+part(whole, endMargin) <= rd.bounds.DrainEnd
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
