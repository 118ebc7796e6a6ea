package member

import (
	"math"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// The window of own sends that is kept to correct a load report.
const (
	recentSlots = 16
	recentWidth = 250 * time.Millisecond
	// recentSpan is the part of the window that is whole.
	recentSpan = (recentSlots - 1) * recentWidth
)

// recent counts the sends and ends of the last four seconds in slots of a
// quarter of a second. The zero value is empty.
type recent struct {
	// at is the number of the newest slot since time zero.
	at     int64
	net    [recentSlots]int
	tokens [recentSlots]ident.Tokens
}

func slotOf(t ident.Time) int64 { return int64(t) / int64(recentWidth) }

func (r *recent) add(now ident.Time, n int, tokens ident.Tokens) {
	r.turn(slotOf(now))
	i := r.at % recentSlots
	r.net[i] += n
	r.tokens[i] += tokens
}

// turn clears the slots between the newest and s.
func (r *recent) turn(s int64) {
	if s-r.at >= recentSlots {
		*r = recent{at: s}
		return
	}
	for r.at < s {
		r.at++
		r.net[r.at%recentSlots] = 0
		r.tokens[r.at%recentSlots] = 0
	}
}

// since returns the sends less the ends after a time, and the prefill work of
// the sends. The slot of the time itself counts: to count a send twice makes a
// target look a little fuller, to miss it lets a burst pile up.
func (r *recent) since(now, from ident.Time) (int, ident.Tokens) {
	net, tokens := 0, ident.Tokens(0)
	newest := min(r.at, slotOf(now))
	for s := max(slotOf(from), r.at-recentSlots+1, 0); s <= newest; s++ {
		net += r.net[s%recentSlots]
		tokens += r.tokens[s%recentSlots]
	}
	return net, tokens
}

// LoadReported merges a load report that this host has polled or received with an answer.
func (tb *Table) LoadReported(now ident.Time, ld event.Load) {
	tb.Advance(now)
	t, ok := tb.mergeLoad(now, ld, true)
	if !ok {
		return
	}
	if !sameLoad(t.relayed, ld) || now.Sub(t.relayedAt) >= relayEvery {
		t.relayed, t.relayedAt = ld, now
		tb.relay = append(tb.relay, ld)
	}
}

// mergeLoad merges a report and reports whether it was new.
func (tb *Table) mergeLoad(now ident.Time, ld event.Load, direct bool) (*Target, bool) {
	if ld.Draining && tb.observeDraining(now, ld.Target, ld.Incarnation) && direct {
		tb.beat.urgent = true
	}
	t, ok := tb.byID[ld.Target]
	if ok {
		tb.learnStart(t, ld.Incarnation)
	}
	if !ok || ld.Incarnation < t.Incarnation {
		return nil, false
	}
	if ld.Incarnation > t.Incarnation {
		d := t.Target
		d.Incarnation = ld.Incarnation
		d.Draining = false
		tb.restart(now, t, d)
		tb.updateDraining(now, t)
	}
	if t.HasLoad && ld.Seq <= t.Load.Seq {
		return nil, false
	}
	if direct {
		t.answer(now)
	} else {
		t.seen(now.Add(-ld.Age))
	}
	t.Load = ld
	t.LoadAt = now.Add(-ld.Age - tb.late(now))
	t.HasLoad = true
	return t, true
}

// relayPart is the part of the slots by which the requests at a target must
// change for its report to be relayed at once.
const relayPart = 8

// sameLoad reports whether two reports differ by too little to be worth a relay.
func sameLoad(a, b event.Load) bool {
	if a.Incarnation != b.Incarnation || a.Slots != b.Slots || a.Draining != b.Draining {
		return false
	}
	if (a.QueuedTokens == 0) != (b.QueuedTokens == 0) || !slices.Equal(a.Serves, b.Serves) {
		return false
	}
	change := a.Running + a.Queued - b.Running - b.Queued
	return max(change, -change) <= a.Slots/relayPart
}

// fixedEvery is the longest time between two relays of a load report with the
// fixed part, which makes good one that was lost.
const fixedEvery = 10 * time.Second

// ratePart is the part by which a rate must change to be relayed at once.
const ratePart = 0.1

// shorten leaves out the parts of a report that peers have. The report of a draining target
// goes whole, for hosts that do not know the target yet.
func (tb *Table) shorten(now ident.Time, t *Target, ld event.Load) event.Load {
	if ld.Draining {
		return ld
	}
	ld.Target, ld.Key = tb.nameOf(t)
	if !sameFixed(t.fixed, ld) || now.Sub(t.fixedAt) >= fixedEvery {
		t.fixed, t.fixedAt = ld, now
		return ld
	}
	ld.Slots, ld.PrefillRate, ld.DecodeRate, ld.Serves = 0, 0, 0, nil
	ld.Kept = true
	return ld
}

// sameFixed reports whether two reports say the same beside the requests and
// the queue.
func sameFixed(a, b event.Load) bool {
	return a.Incarnation == b.Incarnation && a.Slots == b.Slots && slices.Equal(a.Serves, b.Serves) &&
		near(a.PrefillRate, b.PrefillRate) && near(a.DecodeRate, b.DecodeRate)
}

func near(a, b float64) bool { return math.Abs(a-b) <= ratePart*a }

// mergeRelayed merges a report that a peer has polled. One that leaves out parts which this
// host does not have is ignored.
func (tb *Table) mergeRelayed(now ident.Time, ld event.Load) {
	if t := tb.byKey[ld.Key]; ld.Target == "" && t != nil {
		ld.Target = t.ID
	}
	ld.Key = 0
	if !ld.Kept {
		tb.mergeLoad(now, ld, false)
		return
	}
	t, ok := tb.byID[ld.Target]
	if !ok || !t.HasLoad || t.Load.Incarnation != ld.Incarnation {
		return
	}
	ld.Slots, ld.PrefillRate, ld.DecodeRate, ld.Serves = t.Load.Slots, t.Load.PrefillRate, t.Load.DecodeRate, t.Load.Serves
	ld.Kept = false
	tb.mergeLoad(now, ld, false)
}

// LoadFailed records a report that did not come.
func (tb *Table) LoadFailed(now ident.Time, id ident.TargetID, inc ident.Incarnation) {
	tb.Advance(now)
	if t, ok := tb.current(id, inc); ok {
		tb.fail(t)
	}
}
