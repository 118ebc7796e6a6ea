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
	// noticeRepeatTime is how long digests repeat that a target drains or was removed, for peers
	// that missed a digest.
	noticeRepeatTime = 10 * time.Second
	// noticeTTL is how long the notice of an unknown target or a previous incarnation is kept.
	noticeTTL = 10 * time.Minute
)

// drainNotice records that an incarnation of a target drains.
type drainNotice struct {
	incarnation ident.Incarnation
	at          ident.Time
}

// MarkDraining records that a target drains, for example because it refused a request. The mark
// holds for that incarnation, and peers are notified at once.
func (tb *Table) MarkDraining(now ident.Time, id ident.TargetID, inc ident.Incarnation) {
	tb.Advance(now)
	if tb.observeDraining(now, id, inc) {
		tb.heartbeat.urgent = true
	}
}

// observeDraining stores a drain notice and reports whether it is new. Notices are stored
// separately from targets and by incarnation, because a notice may arrive before its target is
// listed, and an older list or report must not revert it.
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
		t.KnownDraining = true
		tb.addNote(t, "target is draining")
	}
	return true
}

// updateDraining updates whether a target drains after its list entry or incarnation has changed.
func (tb *Table) updateDraining(now ident.Time, t *Target) {
	if t.Draining && tb.observeDraining(now, t.ID, t.Incarnation) {
		tb.heartbeat.urgent = true
	}
	n, ok := tb.draining[t.ID]
	t.KnownDraining = ok && n.incarnation >= t.Incarnation
}

// drainNotices returns all notices, or only the recent ones.
func (tb *Table) drainNotices(now ident.Time, all bool) []event.DrainNotice {
	var ns []event.DrainNotice
	for _, id := range tb.drainingIDs() {
		n := tb.draining[id]
		if all || now.Sub(n.at) <= noticeRepeatTime {
			ns = append(ns, event.DrainNotice{Target: id, Incarnation: n.incarnation})
		}
	}
	return ns
}

func (tb *Table) drainingIDs() []ident.TargetID {
	return slices.SortedFunc(maps.Keys(tb.draining), cmp.Compare[ident.TargetID])
}

// expireNotices drops expired notices of unknown targets and previous incarnations.
func (tb *Table) expireNotices(now ident.Time) {
	for id, n := range tb.draining {
		t, ok := tb.byID[id]
		if ok && t.Incarnation <= n.incarnation {
			continue
		}
		if now.Sub(n.at) > noticeTTL {
			delete(tb.draining, id)
		}
	}
}
