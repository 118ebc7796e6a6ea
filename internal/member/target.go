package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/load"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Bounds and times of targets.
const (
	// suspectFailures is how many failures in a row make a target suspect.
	suspectFailures = 3
	// silenceTimeout is the silence that makes a target suspect that has been
	// polled before. It outlasts the handover of a poll from a dead host.
	silenceTimeout = 12 * time.Second
	// relayInterval is the longest time between two relays of a load report that
	// has not changed.
	relayInterval = 3 * time.Second
	// rampDuration is how long a cold target or a healed link grows to its full
	// share, from rampStart.
	rampDuration = 10 * time.Second
	rampStart    = 0.1
	// startGrace is the time after the own start in which new targets count as
	// warm.
	startGrace = 5 * time.Second
)

// Target is a target of the own data centre as this host knows it.
type Target struct {
	load.State
	// MemoryTokens is how many tokens the target holds at once, zero where that is not
	// known; askedAt is when it was last asked.
	MemoryTokens  ident.Tokens
	memoryAskedAt ident.Time
	// ConsecutiveFailures counts failures in a row.
	ConsecutiveFailures int
	// failureRate is the part of the newest requests that failed, as it was at
	// faultsAt.
	failureRate   float64
	failureRateAt ident.Time
	// KnownDraining says that the target drains, by whichever source said so first; Gone
	// that the platform has removed it from its list.
	KnownDraining bool
	Removed       bool

	// incarnationLearnt says that the incarnation was not known when the target was first seen:
	// what was sent then names none and is at the same start.
	incarnationLearnt bool
	listed            bool
	// listedVersion is the newest version of the platform's list that names it.
	listedVersion uint64
	// missing says that the newest complete list lacks it; removedAt is the version
	// of the list from which on it is gone, goneAt when this host learned that.
	missing        bool
	removedVersion uint64
	removalSeenAt  ident.Time
	// coldUntil is when it says that it is no longer cold, coldSends the
	// times of the newest sends to it while it was.
	coldUntil ident.Time
	coldSends []ident.Time
	// coldAssumed says that it counts as cold though it did not say so.
	coldAssumed bool
	lastSeen    ident.Time
	everSeen    bool
	// rampStartedAt is when the target was first seen or came back; warm says that it
	// needs no ramp.
	rampStartedAt ident.Time
	noRamp        bool

	relayedLoad event.Load
	relayedAt   ident.Time
	// relayedFixed is the last report that was relayed with its relayedFixed part.
	relayedFixed   event.Load
	relayedFixedAt ident.Time
}

// Suspect reports whether the target does not answer: calls failed in a row,
// or it has been silent for long.
func (t *Target) Suspect(now ident.Time) bool {
	if t.ConsecutiveFailures >= suspectFailures {
		return true
	}
	return t.Capacity == 0 && t.everSeen && now.Sub(t.lastSeen) > silenceTimeout
}

// Share returns the part of its capacity that a cold target is used with, from
// rampStart to 1.
func (t *Target) Share(now ident.Time) float64 {
	if t.noRamp {
		return 1
	}
	return ramp(now.Sub(t.rampStartedAt))
}

// ramp returns the share that something new may be used with at an age.
func ramp(age time.Duration) float64 {
	if age >= rampDuration {
		return 1
	}
	if age < 0 {
		return rampStart
	}
	return rampStart + (1-rampStart)*float64(age)/float64(rampDuration)
}

func targetKey(id ident.TargetID) event.TargetKey { return event.TargetKey(rank.Hash(string(id))) }

// rebuildKeys works out anew which target a key names. A key that two targets have
// names none.
func (tb *Table) rebuildKeys() {
	tb.byKey = make(map[event.TargetKey]*Target, len(tb.targets))
	for _, t := range tb.targets {
		tb.addKey(t)
	}
}

func (tb *Table) addKey(t *Target) {
	key := targetKey(t.ID)
	if _, twice := tb.byKey[key]; twice {
		t = nil
	}
	tb.byKey[key] = t
}

// digestName returns what a target goes by in a digest: its key, or its id where
// another target has the same key.
func (tb *Table) digestName(t *Target) (ident.TargetID, event.TargetKey) {
	key := targetKey(t.ID)
	if tb.byKey[key] == nil {
		return t.ID, 0
	}
	return "", key
}

// dropStaleTargets drops targets that are silent and not listed.
func (tb *Table) dropStaleTargets(now ident.Time) {
	before := len(tb.targets)
	tb.targets = slices.DeleteFunc(tb.targets, func(t *Target) bool {
		gone := !t.listed && now.Sub(t.lastSeen) > dropAfter && t.InFlight == 0 && t.PeerInFlight == 0
		if gone {
			delete(tb.byID, t.ID)
		}
		return gone
	})
	if len(tb.targets) < before {
		tb.rebuildKeys()
	}
}

// loadPolls returns the load reports to request now. Targets whose capacity the platform's
// list contains are not polled: their answers carry their load. Each of the others is
// polled by the live host that ranks first for it, which relays the report, so that
// loadPolls do not grow with the number of hosts. A suspect target is probed by every
// host that suspects it, since the link of one may be at fault.
func (tb *Table) loadPolls(now ident.Time) []event.Effect {
	var effs []event.Effect
	for _, t := range tb.targets {
		if t.Suspect(now) || t.Capacity == 0 && tb.poller(now, t.ID) == tb.self.ID {
			effs = append(effs, event.PollLoad{Target: t.Target, After: tb.own.after(t.ID)})
		}
	}
	return effs
}

func (tb *Table) poller(now ident.Time, id ident.TargetID) ident.EntryID {
	best := tb.self.ID
	score := rank.Hash("poll", string(id), string(best))
	for _, p := range tb.peers {
		if !p.live(now) {
			continue
		}
		if s := rank.Hash("poll", string(id), string(p.host.ID)); s > score {
			best, score = p.host.ID, s
		}
	}
	return best
}
