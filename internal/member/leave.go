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
	// noticeRepeats bounds how long digests repeat that a target drains or was
	// removed, for peers that missed a digest.
	noticeRepeats = 10 * time.Second
	// wordHolds is how long the word about an unknown target or a former
	// incarnation is kept. It covers a list that lags behind the target's own
	// refusal.
	wordHolds = 10 * time.Minute
)

// leftWord is the word that an incarnation of a target leaves.
type leftWord struct {
	incarnation ident.Incarnation
	at          ident.Time
}

// MarkLeaving takes the word that a target leaves, such as from its refusal.
// The word holds for that incarnation, and peers are told at once.
func (tb *Table) MarkLeaving(now ident.Time, id ident.TargetID, inc ident.Incarnation) {
	tb.Advance(now)
	if tb.hearLeaving(now, id, inc) {
		tb.beat.words = true
	}
}

// hearLeaving keeps a leaving word and tells whether it was news.
//
// The word is kept apart from the target, by incarnation: it may come before
// the target is listed, and an old list or an old report that lacks it must
// not take it back. Otherwise a target that shuts down would be sent work
// again until its list entry is gone, and callers would see refusals.
func (tb *Table) hearLeaving(now ident.Time, id ident.TargetID, inc ident.Incarnation) bool {
	if old, ok := tb.left[id]; ok && inc <= old.incarnation {
		return false
	}
	tb.left[id] = leftWord{incarnation: inc, at: now}
	t, ok := tb.byID[id]
	if ok && inc < t.Incarnation {
		return false
	}
	if ok {
		t.Leaves = true
		tb.note(t, "target leaves")
	}
	return true
}

// settleLeaving sets whether a target leaves after its description changed.
func (tb *Table) settleLeaving(now ident.Time, t *Target) {
	if t.Leaving && tb.hearLeaving(now, t.ID, t.Incarnation) {
		tb.beat.words = true
	}
	w, ok := tb.left[t.ID]
	t.Leaves = ok && w.incarnation >= t.Incarnation
}

// leavingWords returns the words that are to be told, all or the recent ones.
func (tb *Table) leavingWords(now ident.Time, all bool) []event.LeavingTarget {
	var words []event.LeavingTarget
	for _, id := range tb.leftIDs() {
		w := tb.left[id]
		if all || now.Sub(w.at) <= noticeRepeats {
			words = append(words, event.LeavingTarget{Target: id, Incarnation: w.incarnation})
		}
	}
	return words
}

func (tb *Table) leftIDs() []ident.TargetID {
	return slices.SortedFunc(maps.Keys(tb.left), cmp.Compare[ident.TargetID])
}

// reapWords drops the words about targets that are gone.
func (tb *Table) reapWords(now ident.Time) {
	for id, w := range tb.left {
		t, ok := tb.byID[id]
		if ok && t.Incarnation <= w.incarnation {
			continue
		}
		if now.Sub(w.at) > wordHolds {
			delete(tb.left, id)
		}
	}
}
