package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// ColdLimits limits the requests to cold targets.
type ColdLimits struct {
	// PerSecond returns how many requests a second all hosts together may send to a cold target of
	// a service; zero means no limit. If PerSecond is nil, there is no limit.
	PerSecond func(service string) float64
	// Duration returns how long targets of a service stay cold. If Duration is nil, no target is
	// assumed to be cold.
	Duration func(service string) time.Duration
}

// Limits of the requests to cold targets.
const (
	// coldWindow is the window in which sends count against the limit. It is longer than a second
	// because the network may deliver sends closer together than they were sent.
	coldWindow = 1150 * time.Millisecond
	// maxColdOwners is the number of hosts that may use up the limit at the same time. A cold
	// target has one owner, but for a moment after a host came or went two hosts may each consider
	// themselves the owner, and their sends together must not exceed the limit.
	maxColdOwners = 2
)

// SetColdLimits sets the limits of requests to cold targets.
func (tb *Table) SetColdLimits(c ColdLimits) { tb.cold = c }

// Cold reports whether the target is cold, by the platform's list, by its own report or by
// assumption.
func (t *Target) Cold(now ident.Time) bool { return now < t.coldUntil }

// assumeCold treats a target as cold after the evacuation of its data centre has ended, and
// schedules a probe. Most targets have become cold by then and may report it only after their first
// requests.
func (tb *Table) assumeCold(now ident.Time, t *Target) {
	if tb.cold.Duration == nil {
		return
	}
	until := now.Add(tb.cold.Duration(t.Service))
	if until <= t.coldUntil {
		return
	}
	t.coldUntil, t.coldAssumed = until, true
	tb.coldProbeQueue = append(tb.coldProbeQueue, t.ID)
}

// ProbeAnswered merges a target's answer to a probe.
func (tb *Table) ProbeAnswered(now ident.Time, e event.ProbeAnswered) {
	tb.Advance(now)
	t, ok := tb.currentTarget(e.Target, e.Incarnation)
	if !ok {
		return
	}
	tb.recordAnswer(t)
	if t.coldAssumed {
		t.coldUntil, t.coldAssumed = now.Add(e.ColdFor), false
		tb.addNote(t, map[bool]string{true: "target reports that it is cold", false: "target reports that it is warm"}[e.ColdFor > 0])
	}
}

// coldProbes returns the probes of targets that are only assumed to be cold.
func (tb *Table) coldProbes() []event.Effect {
	var effs []event.Effect
	for _, id := range tb.coldProbeQueue {
		if t, ok := tb.byID[id]; ok && t.coldAssumed {
			effs = append(effs, event.PollLoad{Target: t.Target})
		}
	}
	tb.coldProbeQueue = tb.coldProbeQueue[:0]
	return effs
}

// ColdLimitReached reports whether this host may send nothing to a cold target now.
//
// A cold target crashes when it receives many requests at once. The limit holds for all hosts
// together: one host owns each cold target, by rank among the live ones, and the others send
// nothing to it. A host that has just started sends nothing either, because it may not know the
// others yet, nor does one after a pause: others may have taken over. An owner that sees only a minority of the hosts gets a smaller share, see
// coldSendLimit.
func (tb *Table) ColdLimitReached(now ident.Time, t *Target) bool {
	if !t.Cold(now) || tb.cold.PerSecond == nil {
		return false
	}
	limit := tb.cold.PerSecond(t.Service)
	if limit <= 0 {
		return false
	}
	if !tb.ownsCold(now, t.ID) {
		return true
	}
	return t.recentColdSends(now) >= tb.coldSendLimit(now, limit)
}

// coldSendLimit returns how many requests this host may send to a cold target within coldWindow if
// it considers itself the owner. The argument limit is the limit for all hosts together.
//
// While this host sees at least half of the hosts that may be alive, at most one other group of
// hosts can see as many, so that there are at most maxColdOwners owners. If it sees fewer, each
// host may consider itself the owner and gets an even share of the limit; if that is less than one
// request, it sends nothing.
func (tb *Table) coldSendLimit(now ident.Time, limit float64) int {
	if now.Sub(tb.started) < ownersKnownDelay || tb.extraAge(now) > 0 {
		return 0
	}
	live, all := tb.reachableHosts(now)
	if maxColdOwners*live >= all {
		return int(limit / maxColdOwners)
	}
	return int(limit / float64(all))
}

// ColdWait predicts how long a request waits until this host may send it to a cold target. If
// another host owns the target, or this one may not send to it at all, the request waits until the
// target is warm.
func (tb *Table) ColdWait(now ident.Time, t *Target) time.Duration {
	switch {
	case !tb.ColdLimitReached(now, t):
		return 0
	case tb.ownsCold(now, t.ID) && len(t.coldSends) > 0:
		return t.coldSends[0].Add(coldWindow).Sub(now)
	}
	return t.coldUntil.Sub(now)
}

// recentColdSends counts the sends of the last coldWindow.
func (t *Target) recentColdSends(now ident.Time) int {
	t.coldSends = slices.DeleteFunc(t.coldSends, func(at ident.Time) bool { return now.Sub(at) > coldWindow })
	return len(t.coldSends)
}

// ownsCold reports whether this host is the one that may send to a cold target.
func (tb *Table) ownsCold(now ident.Time, id ident.TargetID) bool {
	return tb.ownerRank(now, "cold", id) == 0
}
