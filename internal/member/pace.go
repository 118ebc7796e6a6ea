package member

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// Following of the pace of streams.
const (
	// paceWeight is the weight of one sample. A host sees a few a second of each
	// service, so that a change shows within about three seconds.
	paceWeight = 1.0 / 16
	// paceHalf is how long it takes until half of a slow pace is forgotten where no
	// stream tells of it.
	paceHalf = 2 * time.Second
	// bestRise is the part by which the best pace rises towards each sample, so that
	// one that was told by mistake is forgotten within minutes.
	bestRise = 1.0 / 1024
	// crowdedPace is how many times the best pace streams may take until their
	// targets count as having no room for work from elsewhere.
	crowdedPace = 3
)

// pace is how long the streams of a service take from one event to the next at the
// targets here.
//
// Free slots say little of an engine's room. It reads prompts between the tokens of
// the streams that run, and with a third of its slots taken each stream may take
// four times as long as on an idle one: streams then run into their deadline, while
// another region's engines idle. The pace shows this within seconds.
type pace struct {
	gap, best time.Duration
	at        ident.Time
}

func (p pace) now(now ident.Time) time.Duration {
	slow := float64(p.gap - p.best)
	return p.best + time.Duration(slow*math.Exp2(-now.Sub(p.at).Seconds()/paceHalf.Seconds()))
}

// room returns the part of the free slots that work from elsewhere may take.
func (p pace) room(now ident.Time) float64 {
	if p.best <= 0 {
		return 1
	}
	slow := float64(p.now(now)) / float64(p.best)
	return min(1, max(0, (crowdedPace-slow)/(crowdedPace-1)))
}

// Paced takes the time between two events of a stream at a target.
func (tb *Table) Paced(id ident.TargetID, gap time.Duration) {
	t, ok := tb.byID[id]
	if !ok || t.Capacity == 0 || gap <= 0 {
		return
	}
	p, ok := tb.paces[t.Service]
	if !ok {
		tb.paces[t.Service] = pace{gap: gap, best: gap, at: tb.last}
		return
	}
	p.gap = p.now(tb.last)
	p.gap += time.Duration(paceWeight * float64(gap-p.gap))
	p.best = min(p.best+time.Duration(bestRise*float64(gap-p.best)), p.gap)
	p.at = tb.last
	tb.paces[t.Service] = p
}

// DecodeRate returns the events a second of one stream of a service here, zero
// where that is not known.
func (tb *Table) DecodeRate(now ident.Time, service string) float64 {
	p, ok := tb.paces[service]
	if !ok {
		return 0
	}
	return 1 / p.now(now).Seconds()
}
