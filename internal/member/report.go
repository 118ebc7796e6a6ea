package member

import (
	"math"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// LoadReported merges a load report that this host has polled or has received with an answer.
func (tb *Table) LoadReported(now ident.Time, ld event.Load) {
	tb.Advance(now)
	t, ok := tb.mergeLoad(now, ld, true)
	if !ok {
		return
	}
	if !similarLoad(t.relayedLoad, ld) || now.Sub(t.relayedAt) >= relayInterval {
		t.relayedLoad, t.relayedAt = ld, now
		tb.loadsToRelay = append(tb.loadsToRelay, ld)
	}
}

// mergeLoad merges a load report and reports whether it was new.
func (tb *Table) mergeLoad(now ident.Time, ld event.Load, direct bool) (*Target, bool) {
	if ld.Draining && tb.observeDraining(now, ld.Target, ld.Incarnation) && direct {
		tb.heartbeat.urgent = true
	}
	t, ok := tb.byID[ld.Target]
	if ok {
		tb.adoptIncarnation(t, ld.Incarnation)
	}
	if !ok || ld.Incarnation < t.Incarnation {
		return nil, false
	}
	if ld.Incarnation > t.Incarnation {
		d := t.Target
		d.Incarnation = ld.Incarnation
		d.Draining = false
		tb.restartTarget(now, t, d)
		tb.updateDraining(now, t)
	}
	if t.HasLoad && ld.Seq <= t.Load.Seq {
		return nil, false
	}
	if direct {
		t.markAnswered(now)
	} else {
		t.markSeen(now.Add(-ld.Age))
	}
	t.SetReport(ld, now.Add(-ld.Age-tb.extraAge(now)))
	return t, true
}

// relayChangeDivisor sets the change in the number of requests at a target above which the next
// regular digest relays its report: the number of slots divided by relayChangeDivisor.
const relayChangeDivisor = 8

// similarLoad reports whether two load reports differ too little to relay the second.
func similarLoad(a, b event.Load) bool {
	if a.Incarnation != b.Incarnation || a.Slots != b.Slots || a.Draining != b.Draining {
		return false
	}
	if (a.QueuedTokens == 0) != (b.QueuedTokens == 0) || !slices.Equal(a.Serves, b.Serves) {
		return false
	}
	change := a.Running + a.Queued - b.Running - b.Queued
	return max(change, -change) <= a.Slots/relayChangeDivisor
}

// staticPartInterval is the longest time between two relays of the static part of a load
// report, in case one was lost.
const staticPartInterval = 10 * time.Second

// minRateChange is the relative change of a rate above which the static part is relayed again.
const minRateChange = 0.1

// omitKnownFields removes the static part of a load report if peers already have it. The report of
// a draining target is sent in full, for hosts that do not know the target yet.
func (tb *Table) omitKnownFields(now ident.Time, t *Target, ld event.Load) event.Load {
	if ld.Draining {
		return ld
	}
	ld.Target, ld.Key = tb.digestName(t)
	if !sameStaticPart(t.relayedStatic, ld) || now.Sub(t.relayedStaticAt) >= staticPartInterval {
		t.relayedStatic, t.relayedStaticAt = ld, now
		return ld
	}
	ld.Slots, ld.PrefillRate, ld.DecodeRate, ld.Serves = 0, 0, 0, nil
	ld.StaticOmitted = true
	return ld
}

// sameStaticPart reports whether two load reports agree except for their requests and queue.
func sameStaticPart(a, b event.Load) bool {
	return a.Incarnation == b.Incarnation && a.Slots == b.Slots && slices.Equal(a.Serves, b.Serves) &&
		similarRate(a.PrefillRate, b.PrefillRate) && similarRate(a.DecodeRate, b.DecodeRate)
}

func similarRate(a, b float64) bool { return math.Abs(a-b) <= minRateChange*a }

// mergeRelayedLoad merges a load report that a peer has relayed. It ignores a report without its
// static part if this host does not have that part.
func (tb *Table) mergeRelayedLoad(now ident.Time, ld event.Load) {
	if t := tb.byKey[ld.Key]; ld.Target == "" && t != nil {
		ld.Target = t.ID
	}
	ld.Key = 0
	if !ld.StaticOmitted {
		tb.mergeLoad(now, ld, false)
		return
	}
	t, ok := tb.byID[ld.Target]
	if !ok || !t.HasLoad || t.Load.Incarnation != ld.Incarnation {
		return
	}
	ld.Slots, ld.PrefillRate, ld.DecodeRate, ld.Serves = t.Load.Slots, t.Load.PrefillRate, t.Load.DecodeRate, t.Load.Serves
	ld.StaticOmitted = false
	tb.mergeLoad(now, ld, false)
}

// LoadFailed records that a poll for a load report failed.
func (tb *Table) LoadFailed(now ident.Time, id ident.TargetID, inc ident.Incarnation) {
	tb.Advance(now)
	if t, ok := tb.currentTarget(id, inc); ok {
		tb.recordFailure(t)
	}
}
