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
	t, ok := tb.current(ev.Target, ev.Incarnation)
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
	t.othersSeen = max(0, ev.Running+ev.Queued-t.Sent)
	t.others += othersWeight * (float64(t.othersSeen) - t.others)
}

// Use of the load that comes with an answer.
const (
	// othersWeight is the weight of one answer in the smoothed number of
	// requests of other hosts.
	othersWeight = 0.25
	// seenLong is the age up to which the load of an answer counts more than
	// the digests of peers where requests take long, seenShort where the
	// smoothed number does because they are over within brief.
	seenLong  = 500 * time.Millisecond
	seenShort = 3 * time.Second
	brief     = 200 * time.Millisecond
	// runWeight is the weight of one request in the usual time of its service.
	runWeight = 8
)

// seenFor is how long the load that came with an answer is of use.
func (t *Target) seenFor() time.Duration {
	if t.run > 0 && t.run < brief {
		return seenShort
	}
	return seenLong
}

// seenOthers estimates the requests of other hosts at a target by what its
// answers told.
//
// What an answer told is true for as long as the requests that it counted take.
// A call of milliseconds is over long before the next answer comes, and to count
// it until then makes a target with few places look full for half a second; so
// the estimate goes back to the usual number at the pace of the service.
func (t *Target) seenOthers(now ident.Time) int {
	if t.run <= 0 {
		return t.othersSeen
	}
	left := math.Exp(-float64(now.Sub(t.LoadAt)) / float64(t.run))
	return int(math.Round(t.others + left*(float64(t.othersSeen)-t.others)))
}

// Run returns the usual time of a request of the target's service, zero where that is
// not known.
func (t *Target) Run() time.Duration { return t.run }

// Ran takes the time that a whole answer of a target took.
func (tb *Table) Ran(id ident.TargetID, took time.Duration) {
	t, ok := tb.byID[id]
	if !ok || t.Capacity == 0 {
		return
	}
	usual := tb.runs[t.Service]
	if usual == 0 {
		usual = took
	}
	usual += (took - usual) / runWeight
	tb.runs[t.Service] = usual
	t.run = usual
}

// Learning of the rate at which a target reads prompts.
const (
	// leastPrompt is the shortest prompt whose time tells of the rate: below
	// it the fixed part of the time to a first token weighs more.
	leastPrompt = 1000
	// rateStep is the part by which the rate follows the side on which a sample lies:
	// it comes to rest where half of them are higher. What the others sent in the
	// last second is not known, so that some samples are far too low, and some of what
	// counts as waiting has been read, so that some are far too high.
	rateStep = 1.0 / 16
	// rateSpread bounds how far the rate of a target is believed to lie from
	// what is usual for its service: a first sample that had to wait for a long
	// queue would make a sound target look many times too slow.
	rateSpread = 2
)

// Began takes the time from sending a request to the first token of its answer, the
// tokens of its prompt that were probably read in it, and those that waited before.
func (tb *Table) Began(id ident.TargetID, prefill, before ident.Tokens, took time.Duration) {
	t, ok := tb.byID[id]
	if !ok || t.Capacity == 0 || prefill < leastPrompt || took <= 0 {
		return
	}
	rate := float64(prefill+before) / took.Seconds()
	usual := follow(tb.rates[t.Service], rate)
	tb.rates[t.Service] = usual
	t.Load.PrefillRate = min(max(follow(t.Load.PrefillRate, rate), usual/rateSpread), usual*rateSpread)
	t.rated = true
}

// follow moves a rate towards the side on which a sample of it lies.
func follow(old, sample float64) float64 {
	switch {
	case old == 0:
		return sample
	case sample > old:
		return old * (1 + rateStep)
	}
	return old * (1 - rateStep)
}

// supposeRates gives targets the times that are usual for their service, and the
// rate of reading prompts where none was seen. With many targets before many hosts most pairs of the
// two never meet in a minute, and a target whose rate is unknown looks as if it
// read any prompt in no time.
func (tb *Table) supposeRates() {
	for _, t := range tb.targets {
		if t.Capacity == 0 {
			continue
		}
		t.run = tb.runs[t.Service]
		t.Load.DecodeRate = tb.DecodeRate(tb.last, t.Service)
		if !t.rated {
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
func (t *Target) free(now ident.Time, out int, room float64) int {
	n := max(0, t.Slots()-out)
	if t.Capacity == 0 {
		return n
	}
	wait := min(t.prefillWait(now, out), busyWait)
	return int(room * float64(n) * (1 - float64(wait)/float64(busyWait)))
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
