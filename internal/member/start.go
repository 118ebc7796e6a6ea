package member

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// putTarget takes a description of a target of the own data centre.
func (tb *Table) putTarget(now ident.Time, d event.Target) {
	t, ok := tb.byID[d.ID]
	if !ok {
		t = &Target{coldUntil: now.Add(d.ColdFor), Target: d, listed: true, cold: now, lastSeen: now, warm: now.Sub(tb.started) <= startGrace}
		tb.byID[d.ID] = t
		i, _ := slices.BinarySearchFunc(tb.targets, d.ID, func(t *Target, id ident.TargetID) int { return cmp.Compare(t.ID, id) })
		tb.targets = slices.Insert(tb.targets, i, t)
		tb.addKey(t)
		tb.sumUse(t)
		tb.updateDraining(now, t)
		return
	}
	t.listed = true
	tb.learnStart(t, d.Incarnation)
	d.Incarnation = cmp.Or(d.Incarnation, t.Incarnation)
	switch {
	case d.Incarnation == t.Incarnation:
		tb.relist(now, t, d)
		d.Draining = d.Draining || t.Draining
		t.Target = d
	case d.Incarnation > t.Incarnation:
		tb.restart(now, t, d)
	case now.Sub(t.lastSeen) > deadAfter:
		// The clock of the target went back. Its old self is silent past
		// doubt, and so is the word that the old self leaves.
		if tb.draining[d.ID].incarnation > d.Incarnation {
			delete(tb.draining, d.ID)
		}
		tb.restart(now, t, d)
	}
	tb.updateDraining(now, t)
}

// learnStart takes the incarnation of a target of which none was known so far.
//
// A platform's list may leave the incarnations out; the first report of a target's load
// then tells its own. Taken for a new start, it would break off what the target runs, and
// callers of what may run only once would be told that nobody knows what became of it.
func (tb *Table) learnStart(t *Target, inc ident.Incarnation) {
	if t.Incarnation != 0 || inc == 0 {
		return
	}
	t.Incarnation, t.learnt = inc, true
	if w, ok := tb.draining[t.ID]; ok && w.incarnation == 0 {
		w.incarnation = inc
		tb.draining[t.ID] = w
	}
}

// restart begins a new incarnation.
//
// Nothing that the former one ran goes on, and it holds nothing of what it read. Were
// its work still counted, a target that has just started would look full until the
// deadlines of requests that nobody answers any more; the ends of these are not counted
// a second time, since each names its incarnation. Two things stay: the times of the
// sends while it was cold, whose bound is on the target and not on its start, and what is
// usual for its service.
func (tb *Table) restart(now ident.Time, t *Target, d event.Target) {
	for _, p := range tb.peers {
		p.use = slices.DeleteFunc(p.use, func(u event.TargetUse) bool { return u.Target == t.ID })
	}
	*t = Target{
		Target: d, listed: true, cold: now, lastSeen: now,
		coldUntil: now.Add(d.ColdFor), coldSends: t.coldSends, run: t.run, listedAt: max(t.listedAt, tb.list.version),
	}
	tb.restarted = append(tb.restarted, t.ID)
	tb.note(t, "target has started anew")
}

// Restarted returns the targets that have started anew since the last call.
func (tb *Table) Restarted() []ident.TargetID {
	ids := tb.restarted
	tb.restarted = nil
	return ids
}

// current returns a target if the incarnation that something is told of is the one that
// runs.
func (tb *Table) current(id ident.TargetID, inc ident.Incarnation) (*Target, bool) {
	t, ok := tb.byID[id]
	return t, ok && (t.Incarnation == inc || inc == 0 && t.learnt)
}

// Runs reports whether an incarnation of a target is the newest one known.
func (tb *Table) Runs(id ident.TargetID, inc ident.Incarnation) bool {
	_, ok := tb.current(id, inc)
	return ok
}
