package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/load"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Limits and times of targets.
const (
	// suspectFailures is the number of consecutive failures after which a target is suspect.
	suspectFailures = 3
	// silenceTimeout is how long a polled target may be silent before it is suspect. It exceeds the
	// time in which another host takes over the polls of a dead one.
	silenceTimeout = 12 * time.Second
	// relayInterval is the longest time between two relays of an unchanged load report.
	relayInterval = 3 * time.Second
	// rampDuration is the time in which a new target or a restored link grows from rampStart to its
	// full share.
	rampDuration = 10 * time.Second
	rampStart    = 0.1
	// startGracePeriod is the time after the start of this host in which newly seen targets get
	// their full share without a ramp.
	startGracePeriod = 5 * time.Second
)

// Target is a target of this data centre as this host knows it.
type Target struct {
	load.State
	// MemoryTokens is the number of tokens that the target's memory holds, zero if unknown.
	// memoryRequestedAt is when the target was last asked for it.
	MemoryTokens        ident.Tokens
	memoryRequestedAt   ident.Time
	ConsecutiveFailures int
	// failureRate is the smoothed fraction of requests that failed, as of failureRateAt.
	failureRate   float64
	failureRateAt ident.Time
	// KnownDraining is true once any source has reported that the target drains. Removed is true
	// once the platform has removed the target from its list.
	KnownDraining bool
	Removed       bool

	// incarnationAdopted means that the incarnation was unknown when the target was first seen:
	// requests sent before that name no incarnation, but belong to the current one.
	incarnationAdopted bool
	listed             bool
	// listedVersion is the newest version of the platform's list that names the target.
	listedVersion uint64
	// absent means that the newest complete list does not name the target, or that a peer has
	// announced its removal. removedVersion is the version of the list from which on it is removed,
	// removalSeenAt when this host found out.
	absent         bool
	removedVersion uint64
	removalSeenAt  ident.Time
	// coldUntil is when the target stops being cold, by the platform's list, by its own report or
	// by assumption. coldSends are the times of the most recent sends to it while cold.
	coldUntil ident.Time
	coldSends []ident.Time
	// coldAssumed means that the target counts as cold without having reported it.
	coldAssumed bool
	// restUntil is the time until which the target wants no requests from this host.
	restUntil ident.Time
	// rateLimit is the limit on its requests that the target names.
	rateLimit rateLimit
	lastSeen  ident.Time
	everSeen  bool
	// rampStartedAt is when the target was first seen or came back. noRamp means that it gets its
	// full share at once.
	rampStartedAt ident.Time
	noRamp        bool

	relayedLoad event.Load
	relayedAt   ident.Time
	// relayedStatic is the last report that was relayed with its static part.
	relayedStatic   event.Load
	relayedStaticAt ident.Time
}

// Suspect reports whether the target appears not to answer: consecutive calls have failed, or it
// has been silent for longer than silenceTimeout.
func (t *Target) Suspect(now ident.Time) bool {
	if t.ConsecutiveFailures >= suspectFailures {
		return true
	}
	return t.Capacity == 0 && t.everSeen && now.Sub(t.lastSeen) > silenceTimeout
}

// Share returns the fraction of its capacity, from rampStart to 1, up to which a target that is
// ramping up may be used.
func (t *Target) Share(now ident.Time) float64 {
	if t.noRamp {
		return 1
	}
	return ramp(now.Sub(t.rampStartedAt))
}

// ramp returns the share that a new target or link may be used with at the given age.
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

// rebuildKeys rebuilds the index of targets by key. A key that two targets have in common is
// ambiguous and maps to nil.
func (tb *Table) rebuildKeys() {
	tb.byKey = make(map[event.TargetKey]*Target, len(tb.targets))
	for _, t := range tb.targets {
		tb.addKey(t)
	}
}

func (tb *Table) addKey(t *Target) {
	key := targetKey(t.ID)
	if _, ambiguous := tb.byKey[key]; ambiguous {
		t = nil
	}
	tb.byKey[key] = t
}

// digestName returns how a digest names a target: by its key, or by its id if another target has
// the same key.
func (tb *Table) digestName(t *Target) (ident.TargetID, event.TargetKey) {
	key := targetKey(t.ID)
	if tb.byKey[key] == nil {
		return t.ID, 0
	}
	return "", key
}

// reapTargets drops unlisted targets after a long silence, unless requests are in flight there.
func (tb *Table) reapTargets(now ident.Time) {
	before := len(tb.targets)
	tb.targets = slices.DeleteFunc(tb.targets, func(t *Target) bool {
		drop := !t.listed && now.Sub(t.lastSeen) > dropTimeout && t.InFlight == 0 && t.PeerInFlight == 0
		if drop {
			delete(tb.byID, t.ID)
		}
		return drop
	})
	if len(tb.targets) < before {
		tb.rebuildKeys()
	}
}

// loadPolls returns the load reports to request now. Targets with a capacity in the platform's list
// are not polled, because their answers carry their load. Each of the others is polled by the live
// host that ranks first for it and relays the report, so that the number of polls does not grow
// with the number of hosts. A suspect target is polled by every host that suspects it, since the
// fault may be in the link of a single host, unless it rests or that would exceed the limit that it names.
func (tb *Table) loadPolls(now ident.Time) []event.Effect {
	var effs []event.Effect
	for _, t := range tb.targets {
		if t.Suspect(now) && !t.Removed && !t.KnownDraining && !t.Resting(now) && !tb.RateLimitReached(now, t) || t.Capacity == 0 && tb.poller(now, t.ID) == tb.self.ID {
			tb.countSend(now, t)
			effs = append(effs, event.PollLoad{Target: t.Target, After: tb.local.lastCacheEvent(t.ID)})
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
