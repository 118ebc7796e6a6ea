package member

import (
	"slices"
	"time"

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

// Cold reports whether a target has told that it is cold.
func (t *Target) Cold(now ident.Time) bool { return now < t.coldUntil }

// ColdFull reports whether this host may send a cold target nothing now.
//
// A target that has just started crashes when it gets many requests at once,
// and with it goes the work of everyone who was sent there. The bound is one of
// all hosts together, and asking a common counter would cost a round trip for
// each request. So one host owns each cold target, by rank among those that
// live, and the others leave it alone.
//
// Hosts that don't know of each other each take a cold target for their own. Where
// all hosts of a region start at once, thirty of them each sent it one request
// within the half second before they had met, 8 in one second of 6.9 allowed. So a
// host that has just started sends nothing. One that has lost most of the others
// can't tell whether they are gone or see it the same way; see coldShare.
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

func (tb *Table) coldOwner(now ident.Time, id ident.TargetID) ident.EntryID {
	best := tb.self.ID
	score := rank.Hash("cold", string(id), string(best))
	for _, p := range tb.peers {
		if !p.live(now) || p.host.Leaving {
			continue
		}
		if s := rank.Hash("cold", string(id), string(p.host.ID)); s > score {
			best, score = p.host.ID, s
		}
	}
	return best
}
