package member

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// LoadSeen merges the load that an answer of a target carried.
func (tb *Table) LoadSeen(now ident.Time, ev event.LoadSeen) {
	tb.Advance(now)
	t, ok := tb.currentTarget(ev.Target, ev.Incarnation)
	if !ok {
		return
	}
	t.ObserveAnswer(now, ev.Running, ev.Queued, ev.Slots)
}

// Ran records how long a whole answer of a target took.
func (tb *Table) Ran(id ident.TargetID, took time.Duration) {
	if t, ok := tb.byID[id]; ok {
		tb.usual.ObserveRequest(&t.State, took)
	}
}

// Began records the time from sending a request to the first token of its answer, the
// tokens of its prompt that were probably read in it, and those that waited before.
func (tb *Table) Began(id ident.TargetID, prefill, before ident.Tokens, took time.Duration) {
	if t, ok := tb.byID[id]; ok {
		tb.usual.ObserveFirstToken(&t.State, prefill, before, took)
	}
}

// Paced records the time between two events of a stream at a target.
func (tb *Table) Paced(id ident.TargetID, gap time.Duration) {
	if t, ok := tb.byID[id]; ok {
		tb.usual.ObserveGap(tb.last, &t.State, gap)
	}
}

// supposeRates gives targets what is usual for their service.
func (tb *Table) supposeRates() {
	for _, t := range tb.targets {
		tb.usual.ApplyUsual(tb.last, &t.State)
	}
}

// Following of the part of requests that fail at a target.
const (
	// faultWeight is the weight of one outcome: a target that begins to fail
	// half of its requests shows within eight of them.
	faultWeight = 1.0 / 8
	// faultHalf is the half-life of the part of failed requests.
	faultHalf = 4 * time.Second
)

// Outcome records whether a request at a target succeeded. A target that fails part of its
// requests while its health check passes gets less work by it.
func (tb *Table) Outcome(now ident.Time, id ident.TargetID, ok bool) {
	t, found := tb.byID[id]
	if !found {
		return
	}
	t.failureRate = t.Faults(now)
	t.failureRateAt = now
	sample := 1.0
	if ok {
		sample = 0
	}
	t.failureRate += faultWeight * (sample - t.failureRate)
}

// Faults returns the part of the newest requests at a target that failed.
func (t *Target) Faults(now ident.Time) float64 {
	if t.failureRate == 0 {
		return 0
	}
	return t.failureRate * math.Exp2(-now.Sub(t.failureRateAt).Seconds()/faultHalf.Seconds())
}
