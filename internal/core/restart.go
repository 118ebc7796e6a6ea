package core

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// isCurrent reports whether an attempt was sent to the current incarnation of its target. An
// attempt at an earlier incarnation shows nothing about the target and holds no slot there.
func (rd *Reducer) isCurrent(a *attempt) bool {
	return a.target != "" && rd.table.IsCurrent(a.target, a.incarnation)
}

// targetsRestarted aborts the attempts at earlier incarnations of targets. A target may restart
// under its id behind a partition, so that no connection is reset and no more data arrives. Streams
// are resumed elsewhere, idempotent requests are retried, and others end with an unknown outcome.
func (rd *Reducer) targetsRestarted(now ident.Time) {
	for _, id := range rd.table.TakeRestarted() {
		rd.router.Forget(id)
		rd.recordLaterStart(now, id)
		if t, ok := rd.table.Target(id); ok {
			rd.emit(event.DropLinks{Target: id, URL: t.URL})
		}
		for _, a := range rd.staleAttempts(id) {
			a.targetRestarted = true
			rd.emit(event.BreakOff{Request: a.req.ID, Attempt: a.id})
		}
	}
}

// targetsAdded records which targets have ended because others answer at their addresses now.
func (rd *Reducer) targetsAdded(now ident.Time) {
	for _, id := range rd.table.TakeAdded() {
		if t, ok := rd.table.Target(id); ok {
			rd.recordSuccessor(now, id, t.URL)
		}
	}
}

// staleAttempts returns the attempts at earlier incarnations of a target, oldest first.
func (rd *Reducer) staleAttempts(id ident.TargetID) []*attempt {
	var as []*attempt
	for _, a := range rd.attempts {
		if a.target == id && a.req.live == a && !rd.isCurrent(a) {
			as = append(as, a)
		}
	}
	slices.SortFunc(as, func(a, b *attempt) int { return cmp.Compare(a.id.Number, b.id.Number) })
	return as
}
