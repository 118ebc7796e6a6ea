package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Cold bounds the work for cold targets.
type Cold struct {
	// PerSecond returns how many requests a second all hosts together may send
	// to a cold target of a service, zero for no bound. Nil is none.
	PerSecond func(service string) float64
	// Span returns how long a target of a service stays cold once it is. Nil
	// is not at all.
	Span func(service string) time.Duration
}

// Bounds of the work for cold targets.
const (
	// coldWindow is the span that the bound counts in, with a margin for sends
	// that the network brings closer together.
	coldWindow = 1150 * time.Millisecond
	// coldOwners is by how many hosts at once the bound may be used up. One
	// owns a cold target; for a moment after a host came or went two may
	// believe that they do, and their sends must not add up past the bound.
	coldOwners = 2
	// coldStart is how long after its start a host sends cold targets nothing. It is
	// the time within which hosts that start together link to each other, also slow
	// ones with two hundred links to make.
	coldStart = 3 * time.Second
)

// SetCold sets the bounds of cold targets.
func (tb *Table) SetCold(c Cold) { tb.cold = c }

// Cold reports whether a target says that it is cold.
func (t *Target) Cold(now ident.Time) bool { return now < t.coldUntil }

// guessCold treats a target as cold after the evacuation of its data centre has ended, and
// probes it. Most have become cold and may say so only after the first requests.
func (tb *Table) guessCold(now ident.Time, t *Target) {
	if tb.cold.Span == nil {
		return
	}
	until := now.Add(tb.cold.Span(t.Service))
	if until <= t.coldUntil {
		return
	}
	t.coldUntil, t.coldGuess = until, true
	tb.coldProbeQueue = append(tb.coldProbeQueue, t.ID)
}

// ProbeAnswered merges the answer of a target to a probe.
func (tb *Table) ProbeAnswered(now ident.Time, e event.ProbeAnswered) {
	tb.Advance(now)
	t, ok := tb.current(e.Target, e.Incarnation)
	if !ok {
		return
	}
	tb.answer(t)
	if t.coldGuess {
		t.coldUntil, t.coldGuess = now.Add(e.ColdFor), false
		tb.addNote(t, map[bool]string{true: "target reports that it is cold", false: "target reports that it is warm"}[e.ColdFor > 0])
	}
}

// coldProbes returns the probes of targets whose coldness is a guess.
func (tb *Table) coldProbes() []event.Effect {
	var effs []event.Effect
	for _, id := range tb.coldProbeQueue {
		if t, ok := tb.byID[id]; ok && t.coldGuess {
			effs = append(effs, event.PollLoad{Target: t.Target})
		}
	}
	tb.coldProbeQueue = tb.coldProbeQueue[:0]
	return effs
}

// ColdFull reports whether this host may send a cold target nothing now.
//
// A cold target crashes when it gets many requests at once. The bound holds for all hosts
// together, so that one host owns each cold target, by rank among the live ones, and the
// others send it nothing. A host that has just started sends nothing either, since it may
// not know of the others yet; one that has lost most of the others follows coldShare.
func (tb *Table) ColdFull(now ident.Time, t *Target) bool {
	if !t.Cold(now) || tb.cold.PerSecond == nil {
		return false
	}
	most := tb.cold.PerSecond(t.Service)
	if most <= 0 {
		return false
	}
	if tb.coldOwner(now, t.ID) != tb.self.ID {
		return true
	}
	return t.coldSent(now) >= tb.coldShare(now, most)
}

// coldShare returns how many of the requests that a cold target may get within
// coldWindow are this host's, as the owner of the target by its own view.
//
// With most of the hosts that may live in sight at most one other group of hosts can
// see as many, so there are coldOwners at the most. With fewer in sight each host
// may be alone with its view, and has its even part of the bound; where that is
// less than one request, it sends nothing.
func (tb *Table) coldShare(now ident.Time, most float64) int {
	if now.Sub(tb.started) < coldStart {
		return 0
	}
	seen, all := 1, 1
	for _, p := range tb.peers {
		if p.live(now) {
			seen++
		}
		if p.listed || !p.dead(now) {
			all++
		}
	}
	if coldOwners*seen >= all {
		return int(most / coldOwners)
	}
	return int(most / float64(all))
}

// ColdWait predicts how long a request waits until this host may send it to a
// target that is cold: until it is warm, where another host owns it.
func (tb *Table) ColdWait(now ident.Time, t *Target) time.Duration {
	switch {
	case !tb.ColdFull(now, t):
		return 0
	case tb.coldOwner(now, t.ID) == tb.self.ID && len(t.coldSends) > 0:
		return t.coldSends[0].Add(coldWindow).Sub(now)
	}
	return t.coldUntil.Sub(now)
}

// coldSent counts the sends of the last coldWindow.
func (t *Target) coldSent(now ident.Time) int {
	t.coldSends = slices.DeleteFunc(t.coldSends, func(at ident.Time) bool { return now.Sub(at) > coldWindow })
	return len(t.coldSends)
}

// coldOwner returns the host that may send to a cold target. It is one that doesn't drain, if this
// host knows of one. A host that drains is ranked like the others that do: each would own the
// target by its own view otherwise.
func (tb *Table) coldOwner(now ident.Time, id ident.TargetID) ident.EntryID {
	best := coldRank(id, tb.self)
	for _, p := range tb.peers {
		if !p.live(now) {
			continue
		}
		if c := coldRank(id, p.host); c.before(best) {
			best = c
		}
	}
	return best.host
}

// coldCandidate is a host that may own a cold target.
type coldCandidate struct {
	host     ident.EntryID
	draining bool
	score    uint64
}

func coldRank(id ident.TargetID, h event.Host) coldCandidate {
	return coldCandidate{host: h.ID, draining: h.Draining, score: rank.Hash("cold", string(id), string(h.ID))}
}

func (c coldCandidate) before(o coldCandidate) bool {
	if c.draining != o.draining {
		return o.draining
	}
	return c.score > o.score
}
