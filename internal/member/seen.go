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
	t, ok := tb.current(ev.Target, ev.Incarnation)
	if !ok {
		return
	}
	t.Seen(now, ev.Running, ev.Queued, ev.Slots)
}

// AnswerCompleted records how long a whole answer of a target took.
func (tb *Table) AnswerCompleted(id ident.TargetID, took time.Duration) {
	if t, ok := tb.byID[id]; ok {
		tb.serviceStats.Ran(&t.State, took)
	}
}

// FirstTokenReceived records the time from sending a request to the first token of its answer, the
// tokens of its prompt that were probably read in it, and those that waited before.
func (tb *Table) FirstTokenReceived(id ident.TargetID, prefill, before ident.Tokens, took time.Duration) {
	if t, ok := tb.byID[id]; ok {
		tb.serviceStats.Began(&t.State, prefill, before, took)
	}
}

// StreamEventReceived records the time between two events of a stream at a target.
func (tb *Table) StreamEventReceived(id ident.TargetID, gap time.Duration) {
	if t, ok := tb.byID[id]; ok {
		tb.serviceStats.Paced(tb.lastAdvance, &t.State, gap)
	}
}

// inheritServiceRates gives targets what is usual for their service.
func (tb *Table) inheritServiceRates() {
	for _, t := range tb.targets {
		tb.serviceStats.Suppose(tb.lastAdvance, &t.State)
	}
}

// Following of the part of requests that fail at a target.
const (
	// failureWeight is the weight of one outcome: a target that begins to fail
	// half of its requests shows within eight of them.
	failureWeight = 1.0 / 8
	// failureHalfLife is the half-life of the part of failed requests.
	failureHalfLife = 4 * time.Second
)

// RecordOutcome records whether a request at a target succeeded. A target that fails part of its
// requests while its health check passes gets less work by it.
func (tb *Table) RecordOutcome(now ident.Time, id ident.TargetID, ok bool) {
	t, found := tb.byID[id]
	if !found {
		return
	}
	t.faults = t.FailureRate(now)
	t.faultsAt = now
	sample := 1.0
	if ok {
		sample = 0
	}
	t.faults += failureWeight * (sample - t.faults)
}

// FailureRate returns the part of the newest requests at a target that failed.
func (t *Target) FailureRate(now ident.Time) float64 {
	if t.faults == 0 {
		return 0
	}
	return t.faults * math.Exp2(-now.Sub(t.faultsAt).Seconds()/failureHalfLife.Seconds())
}
