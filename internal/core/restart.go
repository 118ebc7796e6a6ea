package core

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// isCurrent reports whether an attempt is at the current incarnation of its target. One at a
// former incarnation says nothing about the target and holds no slot there.
func (rd *Reducer) isCurrent(a *attempt) bool {
	return a.target != "" && rd.table.IsCurrent(a.target, a.incarnation)
}

// targetsRestarted ends the attempts at former starts of targets. A target may restart under
// its id behind a partition, so that no connection is reset and nothing comes any more. Streams
// are resumed elsewhere, idempotent requests are sent again, and others end as unknown.
func (rd *Reducer) targetsRestarted() {
	for _, id := range rd.table.TakeRestarted() {
		rd.router.Forget(id)
		if t, ok := rd.table.Target(id); ok {
			rd.emit(event.DropLinks{Target: id, URL: t.URL})
		}
		for _, a := range rd.stale(id) {
			rd.emit(event.BreakOff{Request: a.req.ID, Attempt: a.id})
		}
	}
}

// stale returns the attempts at former incarnations of a target, oldest first.
func (rd *Reducer) stale(id ident.TargetID) []*attempt {
	var as []*attempt
	for _, a := range rd.attempts {
		if a.target == id && a.req.live == a && !rd.isCurrent(a) {
			as = append(as, a)
		}
	}
	slices.SortFunc(as, func(a, b *attempt) int { return cmp.Compare(a.id.Number, b.id.Number) })
	return as
}
