package member

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// LoadSeen takes what an answer of a target told of its load.
func (tb *Table) LoadSeen(now ident.Time, ev event.LoadSeen) {
	tb.Advance(now)
	t, ok := tb.byID[ev.Target]
	if !ok {
		return
	}
	t.Load.Target = t.ID
	t.Load.Incarnation = t.Incarnation
	t.Load.Running, t.Load.Queued = ev.Running, ev.Queued
	if ev.Slots > 0 {
		t.Load.Slots = ev.Slots
	}
	t.LoadAt = now
	t.HasLoad = true
}

// Learning of the rate at which a target reads prompts.
const (
	// leastPrompt is the shortest prompt whose time tells of the rate: below
	// it the fixed part of the time to a first token weighs more.
	leastPrompt = 1000
	// rateUp and rateDown are the parts by which the rate follows a sample. A
	// sample holds what waited before it, so that the true rate is among the
	// highest; it is followed up at once and down slowly.
	rateUp   = 2
	rateDown = 32
	// rateSpread bounds how far the rate of a target is believed to lie from
	// what is usual for its service: a first sample that had to wait for a long
	// queue would make a sound target look many times too slow.
	rateSpread = 2
)

// Began takes the time from sending a request to the first token of its
// answer, and the tokens of its prompt that were probably read in it.
func (tb *Table) Began(id ident.TargetID, prefill ident.Tokens, took time.Duration) {
	t, ok := tb.byID[id]
	if !ok || t.Capacity == 0 || prefill < leastPrompt || took <= 0 {
		return
	}
	rate := float64(prefill) / took.Seconds()
	usual := follow(tb.rates[t.Service], rate)
	tb.rates[t.Service] = usual
	t.Load.PrefillRate = min(max(follow(t.Load.PrefillRate, rate), usual/rateSpread), usual*rateSpread)
	t.rated = true
}

// follow moves a rate towards a sample of it.
func follow(old, sample float64) float64 {
	switch {
	case old == 0:
		return sample
	case sample > old:
		return old + (sample-old)/rateUp
	}
	return old - (old-sample)/rateDown
}

// supposeRates gives the targets that nothing was sent to yet the rate that is
// usual for their service. With many targets before many hosts most pairs of the
// two never meet in a minute, and a target whose rate is unknown looks as if it
// read any prompt in no time.
func (tb *Table) supposeRates() {
	for _, t := range tb.targets {
		if t.Capacity > 0 && !t.rated {
			t.Load.PrefillRate = tb.rates[t.Service]
		}
	}
}

// busyWait is the wait for the first token at which a target counts as full
// when spare capacity is counted. An engine with long prompts has free slots
// long after its time to a first token has become that of an overload.
const busyWait = 300 * time.Millisecond

// free returns the places of a target that new work may take, with the given
// number of requests there.
func (t *Target) free(now ident.Time, out int) int {
	n := max(0, t.Slots()-out)
	if t.Capacity == 0 {
		return n
	}
	wait := min(t.prefillWait(now, out), busyWait)
	return int(float64(n) * (1 - float64(wait)/float64(busyWait)))
}

// Following of the part of requests that fail at a target.
const (
	// faultWeight is the weight of one outcome: a target that begins to fail
	// half of its requests shows within eight of them.
	faultWeight = 1.0 / 8
	// faultHalf is how long it takes until half of what is held against a
	// target is forgotten, though it gets no work that could prove it well.
	faultHalf = 4 * time.Second
)

// Outcome takes note of whether a request at a target came to a good end.
//
// A target may fail part of its requests and answer its health check all the
// while. It is not silent, so that suspicion never takes it out; by this it
// draws less work than the others until it does better.
func (tb *Table) Outcome(now ident.Time, id ident.TargetID, ok bool) {
	t, found := tb.byID[id]
	if !found {
		return
	}
	t.faults = t.Faults(now)
	t.faultsAt = now
	sample := 1.0
	if ok {
		sample = 0
	}
	t.faults += faultWeight * (sample - t.faults)
}

// Faults returns the part of the newest requests at a target that failed.
func (t *Target) Faults(now ident.Time) float64 {
	if t.faults == 0 {
		return 0
	}
	return t.faults * math.Exp2(-now.Sub(t.faultsAt).Seconds()/faultHalf.Seconds())
}
