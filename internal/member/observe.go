package member

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// LoadSeen merges what a target reported about itself with an answer.
func (tb *Table) LoadSeen(now ident.Time, ev event.LoadSeen) {
	tb.Advance(now)
	t, ok := tb.currentTarget(ev.Target, ev.Incarnation)
	if !ok {
		return
	}
	if !ev.LoadOmitted {
		t.ObserveAnswer(now, ev.Running, ev.Queued, ev.Slots)
	}
	if ev.Draining {
		tb.MarkDraining(now, t.ID, t.Incarnation)
	}
	tb.RestAsked(now, t.ID, t.Incarnation, ev.Rest)
	switch {
	case ev.RateLimitInvalid:
		tb.rateLimitInvalid(t)
	case !ev.RateLimitOmitted:
		tb.rateLimitSeen(now, t, ev.RateLimit)
	}
}

// AnswerCompleted records how long a complete answer of a target took.
func (tb *Table) AnswerCompleted(id ident.TargetID, took time.Duration) {
	if t, ok := tb.byID[id]; ok {
		tb.serviceStats.ObserveRequest(&t.State, took)
	}
}

// FirstTokenReceived records the time from sending a request to the first token of its answer,
// the prompt tokens that the target probably prefilled in that time, and the tokens that were
// queued before them.
func (tb *Table) FirstTokenReceived(id ident.TargetID, prefill, before ident.Tokens, took time.Duration) {
	if t, ok := tb.byID[id]; ok {
		tb.serviceStats.ObserveFirstToken(&t.State, prefill, before, took)
	}
}

// StreamEventReceived records the time between two events of a stream at a target.
func (tb *Table) StreamEventReceived(id ident.TargetID, gap time.Duration) {
	if t, ok := tb.byID[id]; ok {
		tb.serviceStats.ObserveGap(tb.lastAdvance, &t.State, gap)
	}
}

// inheritServiceRates gives each target the typical rates of its service.
func (tb *Table) inheritServiceRates() {
	for _, t := range tb.targets {
		tb.serviceStats.ApplyTypical(tb.lastAdvance, &t.State)
	}
}

// Tracking of the fraction of requests that fail at a target.
const (
	// failureWeight is the weight of one outcome. A target that begins to fail half of its
	// requests is noticed within eight of them.
	failureWeight = 1.0 / 8
	// failureHalfLife is the half-life of the fraction of failed requests.
	failureHalfLife = 4 * time.Second
)

// RecordOutcome records whether a request at a target succeeded. A target that fails some of
// its requests although its health check passes gets less work.
func (tb *Table) RecordOutcome(now ident.Time, id ident.TargetID, ok bool) {
	t, found := tb.byID[id]
	if !found {
		return
	}
	t.failureRate = t.FailureRate(now)
	t.failureRateAt = now
	sample := 1.0
	if ok {
		sample = 0
	}
	t.failureRate += failureWeight * (sample - t.failureRate)
}

// FailureRate returns the fraction of recent requests at a target that failed.
func (t *Target) FailureRate(now ident.Time) float64 {
	if t.failureRate == 0 {
		return 0
	}
	return t.failureRate * math.Exp2(-now.Sub(t.failureRateAt).Seconds()/failureHalfLife.Seconds())
}
