package member

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/load"
	"verbenadale.example/verbenadale/pkg/ident"
)

// putTarget adds or updates a target of this data centre.
func (tb *Table) putTarget(now ident.Time, d event.Target) {
	t, ok := tb.byID[d.ID]
	if !ok {
		t = &Target{coldUntil: now.Add(d.ColdFor), State: load.State{Target: d}, listed: true, rampStartedAt: now, lastSeen: now, noRamp: now.Sub(tb.started) <= startGracePeriod}
		tb.byID[d.ID] = t
		i, _ := slices.BinarySearchFunc(tb.targets, d.ID, func(t *Target, id ident.TargetID) int { return cmp.Compare(t.ID, id) })
		tb.targets = slices.Insert(tb.targets, i, t)
		tb.addKey(t)
		tb.addPeerUse(t)
		tb.updateDraining(now, t)
		tb.added = append(tb.added, d.ID)
		return
	}
	t.listed = true
	tb.adoptIncarnation(t, d.Incarnation)
	d.Incarnation = cmp.Or(d.Incarnation, t.Incarnation)
	switch {
	case d.Incarnation == t.Incarnation:
		tb.mergeColdState(now, t, d)
		d.Draining = d.Draining || t.Draining
		t.Target = d
	case d.Incarnation > t.Incarnation:
		tb.restartTarget(now, t, d)
	case now.Sub(t.lastSeen) > deadTimeout:
		// The target's clock was set back, and its previous incarnation is dead.
		if tb.draining[d.ID].incarnation > d.Incarnation {
			delete(tb.draining, d.ID)
		}
		tb.restartTarget(now, t, d)
	}
	tb.updateDraining(now, t)
}

// adoptIncarnation sets the incarnation of a target whose list entry had none, from its first load
// report or a later list. The target has not restarted, so requests that are running there
// continue.
func (tb *Table) adoptIncarnation(t *Target, inc ident.Incarnation) {
	if t.Incarnation != 0 || inc == 0 {
		return
	}
	t.Incarnation, t.incarnationAdopted = inc, true
	if n, ok := tb.draining[t.ID]; ok && n.incarnation == 0 {
		n.incarnation = inc
		tb.draining[t.ID] = n
	}
}

// restartTarget resets a target to a new incarnation.
//
// The requests and the cache of the previous incarnation are lost. Two things are kept: the times
// of sends to the cold target, because the limit holds for a target across incarnations, and the
// typical request time of its service.
func (tb *Table) restartTarget(now ident.Time, t *Target, d event.Target) {
	for _, p := range tb.peers {
		p.use = slices.DeleteFunc(p.use, func(u event.TargetUse) bool { return u.Target == t.ID })
	}
	*t = Target{
		State: t.AfterRestart(d), listed: true, rampStartedAt: now, lastSeen: now,
		coldUntil: now.Add(d.ColdFor), coldSends: t.coldSends, listedVersion: max(t.listedVersion, tb.list.version),
	}
	tb.restarted = append(tb.restarted, t.ID)
	tb.addNote(t, "target has started anew")
}

// TakeAdded returns the targets that became known since the last call.
func (tb *Table) TakeAdded() []ident.TargetID {
	ids := tb.added
	tb.added = nil
	return ids
}

// TakeRestarted returns the targets that have restarted since the last call.
func (tb *Table) TakeRestarted() []ident.TargetID {
	ids := tb.restarted
	tb.restarted = nil
	return ids
}

// currentTarget returns a target, and whether the given incarnation is its current one.
func (tb *Table) currentTarget(id ident.TargetID, inc ident.Incarnation) (*Target, bool) {
	t, ok := tb.byID[id]
	return t, ok && (t.Incarnation == inc || inc == 0 && t.incarnationAdopted)
}

// IsCurrent reports whether an incarnation of a target is the newest one known.
func (tb *Table) IsCurrent(id ident.TargetID, inc ident.Incarnation) bool {
	_, ok := tb.currentTarget(id, inc)
	return ok
}
