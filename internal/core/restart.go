package core

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// isCurrent reports whether an attempt is at the incarnation of its target that runs
// now. What becomes of an attempt at a former one tells nothing of the target, and its
// place there is not held any more.
func (rd *Reducer) isCurrent(a *attempt) bool {
	return a.target != "" && rd.table.Runs(a.target, a.incarnation)
}

// targetsRestarted breaks off what was sent to the former starts of targets.
//
// A target may start anew under its id behind a broken network: no connection is reset,
// and nothing comes any more. A caller would wait for its whole time for an answer that
// nobody makes. Streams that can be resumed go on elsewhere, what may be repeated is
// sent again, and who asked for something that may not be is told at once that nobody knows.
func (rd *Reducer) targetsRestarted() {
	for _, id := range rd.table.Restarted() {
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
