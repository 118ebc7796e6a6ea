package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Times of leaving words.
const (
	// noticeRepeat bounds how long digests repeat that a target drains or was
	// removed, for peers that missed a digest.
	noticeRepeat = 10 * time.Second
	// noticeLifetime is how long the word about an unknown target or a former
	// incarnation is kept. It covers a list that lags behind the target's own
	// refusal.
	noticeLifetime = 10 * time.Minute
)

// drainNotice is the word that an incarnation of a target leaves.
type drainNotice struct {
	incarnation ident.Incarnation
	at          ident.Time
}

// MarkDraining takes the word that a target leaves, such as from its refusal.
// The word holds for that incarnation, and peers are told at once.
func (tb *Table) MarkDraining(now ident.Time, id ident.TargetID, inc ident.Incarnation) {
	tb.Advance(now)
	if tb.observeDraining(now, id, inc) {
		tb.beat.urgent = true
	}
}

// observeDraining keeps a leaving word and tells whether it was news.
//
// The word is kept apart from the target, by incarnation: it may come before
// the target is listed, and an old list or an old report that lacks it must
// not take it back. Otherwise a target that shuts down would be sent work
// again until its list entry is gone, and callers would see refusals.
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
		tb.note(t, "target is draining")
	}
	return true
}

// updateDraining sets whether a target leaves after its description changed.
func (tb *Table) updateDraining(now ident.Time, t *Target) {
	if t.Draining && tb.observeDraining(now, t.ID, t.Incarnation) {
		tb.beat.urgent = true
	}
	w, ok := tb.draining[t.ID]
	t.Drains = ok && w.incarnation >= t.Incarnation
}

// drainNotices returns the words that are to be told, all or the recent ones.
func (tb *Table) drainNotices(now ident.Time, all bool) []event.DrainNotice {
	var words []event.DrainNotice
	for _, id := range tb.drainingIDs() {
		w := tb.draining[id]
		if all || now.Sub(w.at) <= noticeRepeat {
			words = append(words, event.DrainNotice{Target: id, Incarnation: w.incarnation})
		}
	}
	return words
}

func (tb *Table) drainingIDs() []ident.TargetID {
	return slices.SortedFunc(maps.Keys(tb.draining), cmp.Compare[ident.TargetID])
}

// expireNotices drops the words about targets that are gone.
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
