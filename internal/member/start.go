package member

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/load"
	"verbenadale.example/verbenadale/pkg/ident"
)

// putTarget adds or updates a target of the own data centre.
func (tb *Table) putTarget(now ident.Time, d event.Target) {
	t, ok := tb.byID[d.ID]
	if !ok {
		t = &Target{coldUntil: now.Add(d.ColdFor), State: load.State{Target: d}, listed: true, cold: now, lastSeen: now, warm: now.Sub(tb.started) <= startGrace}
		tb.byID[d.ID] = t
		i, _ := slices.BinarySearchFunc(tb.targets, d.ID, func(t *Target, id ident.TargetID) int { return cmp.Compare(t.ID, id) })
		tb.targets = slices.Insert(tb.targets, i, t)
		tb.addKey(t)
		tb.addPeerUse(t)
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
	case now.Sub(t.lastSeen) > deadTimeout:
		// The clock of the target went back, and its former start is dead.
		if tb.draining[d.ID].incarnation > d.Incarnation {
			delete(tb.draining, d.ID)
		}
		tb.restart(now, t, d)
	}
	tb.updateDraining(now, t)
}

// learnStart sets the incarnation of a target whose list entry lacks it, from its first load
// report. That is no new start, so that the attempts at the target go on.
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
// The work and the cache of the former one are lost. Two things stay: the times of the sends
// while it was cold, which are bounded by target, and what is usual for its service.
func (tb *Table) restart(now ident.Time, t *Target, d event.Target) {
	for _, p := range tb.peers {
		p.use = slices.DeleteFunc(p.use, func(u event.TargetUse) bool { return u.Target == t.ID })
	}
	*t = Target{
		State: t.Restarted(d), listed: true, cold: now, lastSeen: now,
		coldUntil: now.Add(d.ColdFor), coldSends: t.coldSends, listedAt: max(t.listedAt, tb.list.version),
	}
	tb.restarted = append(tb.restarted, t.ID)
	tb.addNote(t, "target has started anew")
}

// Restarted returns the targets that have started anew since the last call.
func (tb *Table) Restarted() []ident.TargetID {
	ids := tb.restarted
	tb.restarted = nil
	return ids
}

// current returns a target if the given incarnation is the one that runs.
func (tb *Table) current(id ident.TargetID, inc ident.Incarnation) (*Target, bool) {
	t, ok := tb.byID[id]
	return t, ok && (t.Incarnation == inc || inc == 0 && t.learnt)
}

// Runs reports whether an incarnation of a target is the newest one known.
func (tb *Table) Runs(id ident.TargetID, inc ident.Incarnation) bool {
	_, ok := tb.current(id, inc)
	return ok
}
