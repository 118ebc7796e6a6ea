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

// seenOthers estimates the requests of other hosts at a target by the loads in its answers. The
// newest one decays towards the usual number at the pace of the service, since short calls
// end long before the next answer.
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

// Ran records how long a whole answer of a target took.
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
	// leastPrompt is the shortest prompt whose prefill time is sampled.
	leastPrompt = 1000
	// rateStep is the part by which the rate moves towards a sample. The rate tends to the
	// median, since single samples are far off in both directions.
	rateStep = 1.0 / 16
	// rateSpread bounds the ratio of the rate of a target and that of its service.
	rateSpread = 2
)

// Began records the time from sending a request to the first token of its answer, the
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
