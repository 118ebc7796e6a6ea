package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Times of drain notices.
const (
	// noticeRepeat bounds how long digests repeat that a target drains or was
	// removed, for peers that missed a digest.
	noticeRepeat = 10 * time.Second
	// noticeLifetime bounds how long the notice of an unknown target or a former
	// incarnation is kept.
	noticeLifetime = 10 * time.Minute
)

// drainNotice says that an incarnation of a target drains.
type drainNotice struct {
	incarnation ident.Incarnation
	at          ident.Time
}

// MarkDraining records that a target drains, as by its refusal. It holds for that
// incarnation, and peers are notified at once.
func (tb *Table) MarkDraining(now ident.Time, id ident.TargetID, inc ident.Incarnation) {
	tb.Advance(now)
	if tb.observeDraining(now, id, inc) {
		tb.heartbeat.urgent = true
	}
}

// observeDraining stores a drain notice and reports whether it was new. Notices are kept apart
// from targets, by incarnation: one may come before its target is listed, and an older list
// or report must not revert it.
func (tb *Table) observeDraining(now ident.Time, id ident.TargetID, inc ident.Incarnation) bool {
	if old, ok := tb.draining[id]; ok && inc <= old.incarnation {
		return false
	}
	tb.draining[id] = drainNotice{incarnation: inc, at: now}
	t, ok := tb.byID[id]
	if ok && inc < t.Incarnation {
		return false
	}
	if ok {
		t.Drains = true
		tb.addNote(t, "target is draining")
	}
	return true
}

// updateDraining updates whether a target drains after its description changed.
func (tb *Table) updateDraining(now ident.Time, t *Target) {
	if t.Draining && tb.observeDraining(now, t.ID, t.Incarnation) {
		tb.heartbeat.urgent = true
	}
	w, ok := tb.draining[t.ID]
	t.Drains = ok && w.incarnation >= t.Incarnation
}

// drainNotices returns all notices or the recent ones.
func (tb *Table) drainNotices(now ident.Time, all bool) []event.DrainNotice {
	var ns []event.DrainNotice
	for _, id := range tb.drainingIDs() {
		w := tb.draining[id]
		if all || now.Sub(w.at) <= noticeRepeat {
			ns = append(ns, event.DrainNotice{Target: id, Incarnation: w.incarnation})
		}
	}
	return ns
}

func (tb *Table) drainingIDs() []ident.TargetID {
	return slices.SortedFunc(maps.Keys(tb.draining), cmp.Compare[ident.TargetID])
}

// expireNotices drops the notices of targets that are gone.
func (tb *Table) expireNotices(now ident.Time) {
	for id, w := range tb.draining {
		t, ok := tb.byID[id]
		if ok && t.Incarnation <= w.incarnation {
			continue
		}
		if now.Sub(w.at) > noticeLifetime {
			delete(tb.draining, id)
		}
	}
}
