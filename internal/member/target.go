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
	// failsToSuspect is how many failures in a row make a target suspect.
	failsToSuspect = 3
	// silentAfter is the silence that makes a target suspect that has been
	// polled before. It outlasts the handover of a poll from a dead host.
	silentAfter = 12 * time.Second
	// relayEvery is the longest time between two relays of a load report that
	// has not changed.
	relayEvery = 3 * time.Second
	// rampTime is how long a cold target or a healed link grows to its full
	// share, from rampStart.
	rampTime  = 10 * time.Second
	rampStart = 0.1
	// startGrace is the time after the own start in which new targets count as
	// warm.
	startGrace = 5 * time.Second
)

// Target is a target of the own data centre as this host knows it.
type Target struct {
	load.State
	// Memory is how many tokens the target holds at once, zero where that is not
	// known; askedAt is when it was last asked.
	Memory  ident.Tokens
	askedAt ident.Time
	// Fails counts failures in a row.
	Fails int
	// faults is the part of the newest requests that failed, as it was at
	// faultsAt.
	faults   float64
	faultsAt ident.Time
	// Drains says that the target drains, by whichever source said so first; Gone
	// that the platform has removed it from its list.
	Drains bool
	Gone   bool

	// learnt says that the incarnation was not known when the target was first seen:
	// what was sent then names none and is at the same start.
	learnt bool
	listed bool
	// listedAt is the newest version of the platform's list that names it.
	listedAt uint64
	// missing says that the newest complete list lacks it; removedAt is the version
	// of the list from which on it is gone, goneAt when this host learned that.
	missing   bool
	removedAt uint64
	goneAt    ident.Time
	// coldUntil is when it says that it is no longer cold, coldSends the
	// times of the newest sends to it while it was.
	coldUntil ident.Time
	coldSends []ident.Time
	// coldGuess says that it counts as cold though it did not say so.
	coldGuess bool
	lastSeen  ident.Time
	met       bool
	// cold is when the target was first seen or came back; warm says that it
	// needs no ramp.
	cold ident.Time
	warm bool

	relayed   event.Load
	relayedAt ident.Time
	// fixed is the last report that was relayed with its fixed part.
	fixed   event.Load
	fixedAt ident.Time
}

// Suspect reports whether the target does not answer: calls failed in a row,
// or it has been silent for long.
func (t *Target) Suspect(now ident.Time) bool {
	if t.Fails >= failsToSuspect {
		return true
	}
	return t.Capacity == 0 && t.met && now.Sub(t.lastSeen) > silentAfter
}

// Share returns the part of its capacity that a cold target is used with, from
// rampStart to 1.
func (t *Target) Share(now ident.Time) float64 {
	if t.warm {
		return 1
	}
	return ramp(now.Sub(t.cold))
}

// ramp returns the share that something new may be used with at an age.
func ramp(age time.Duration) float64 {
	if age >= rampTime {
		return 1
	}
	if age < 0 {
		return rampStart
	}
	return rampStart + (1-rampStart)*float64(age)/float64(rampTime)
}

func keyOf(id ident.TargetID) event.TargetKey { return event.TargetKey(rank.Hash(string(id))) }

// rekey works out anew which target a key names. A key that two targets have
// names none.
func (tb *Table) rekey() {
	tb.byKey = make(map[event.TargetKey]*Target, len(tb.targets))
	for _, t := range tb.targets {
		tb.addKey(t)
	}
}

func (tb *Table) addKey(t *Target) {
	key := keyOf(t.ID)
	if _, twice := tb.byKey[key]; twice {
		t = nil
	}
	tb.byKey[key] = t
}

// nameOf returns what a target goes by in a digest: its key, or its id where
// another target has the same key.
func (tb *Table) nameOf(t *Target) (ident.TargetID, event.TargetKey) {
	key := keyOf(t.ID)
	if tb.byKey[key] == nil {
		return t.ID, 0
	}
	return "", key
}

// reapTargets drops targets that are silent and not listed.
func (tb *Table) reapTargets(now ident.Time) {
	before := len(tb.targets)
	tb.targets = slices.DeleteFunc(tb.targets, func(t *Target) bool {
		gone := !t.listed && now.Sub(t.lastSeen) > dropTimeout && t.Sent == 0 && t.PeerSent == 0
		if gone {
			delete(tb.byID, t.ID)
		}
		return gone
	})
	if len(tb.targets) < before {
		tb.rekey()
	}
}

// polls returns the load reports to request now. Targets whose capacity the platform's
// list contains are not polled: their answers carry their load. Each of the others is
// polled by the live host that ranks first for it, which relays the report, so that
// polls do not grow with the number of hosts. A suspect target is probed by every
// host that suspects it, since the link of one may be at fault.
func (tb *Table) polls(now ident.Time) []event.Effect {
	var effs []event.Effect
	for _, t := range tb.targets {
		if t.Suspect(now) || t.Capacity == 0 && tb.poller(now, t.ID) == tb.self.ID {
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
