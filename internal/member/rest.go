package member

import (
	"strconv"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Resting reports whether the target has asked this host for rest: it wants no requests from it until a time that has not
// come yet. What other hosts may send is theirs to find out.
func (t *Target) Resting(now ident.Time) bool { return now < t.restUntil }

// RestAsked records that a target has asked for rest. A wish for less than what remains of an earlier one does not
// shorten that.
func (tb *Table) RestAsked(now ident.Time, id ident.TargetID, inc ident.Incarnation, rest time.Duration) {
	t, ok := tb.currentTarget(id, inc)
	until := now.Add(rest)
	if !ok || rest <= 0 || until <= t.restUntil {
		return
	}
	if !t.Resting(now) {
		tb.addNote(t, "target asks for rest", event.NotePair{Key: "restMs", Value: strconv.FormatInt(rest.Milliseconds(), 10)})
	}
	t.restUntil = until
}

// RestEnds returns when the first target that rests may be used again, of those that only their rest rules out. It is
// false if there is none.
func (tb *Table) RestEnds(now ident.Time, may func(t *Target) bool) (ident.Time, bool) {
	first := ident.Time(0)
	for _, t := range tb.targets {
		if t.Resting(now) && (first == 0 || t.restUntil < first) && t.usableAfterRest(now) && may(t) {
			first = t.restUntil
		}
	}
	return first, first > 0
}
