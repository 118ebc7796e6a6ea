package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Tick returns what is to be sent and read now. It is cheap when nothing is
// due, so that the reducer may call it at each step.
func (tb *Table) Tick(now ident.Time, own Own) []event.Effect {
	tb.Advance(now)
	tb.own = own
	regular := now >= tb.beat.due
	if regular || now >= tb.beat.useDue {
		tb.beat.urgent = tb.beat.urgent || !regular && tb.reads()
		tb.beat.useDue = now.Add(tb.usePace(now))
	}
	if !regular && !tb.urgent() && now < tb.list.nextRead {
		return nil
	}
	var effs []event.Effect
	if regular {
		tb.beat.due = now.Add(Period)
		tb.reap(now)
		tb.dutyRead(now)
		tb.supposeRates()
		tb.countPools(now)
	}
	effs = append(effs, tb.coldProbes()...)
	effs = append(effs, tb.readHosts(now)...)
	effs = append(effs, tb.beats(now, regular)...)
	if regular || tb.beat.asks {
		effs = append(effs, tb.summaries(now)...)
	}
	if regular {
		effs = append(effs, tb.polls(now)...)
		effs = append(effs, tb.askMemory(now)...)
	}
	return effs
}

func (tb *Table) urgent() bool {
	return tb.beat.urgent || tb.beat.peers || tb.beat.asks || len(tb.probe) > 0
}

// How often hosts tell each other what they have sent to targets.
//
// An engine reads what it is sent in a few tenths of a second. By the word of a heartbeat,
// half a second old, hosts send to engines that others have filled since, and leave those
// idle that have read it all. With four words a second 0.6725 of what callers are worth was
// earned, with one 0.6637, and with ten 0.6733; taking the word for less than it says, by its
// age, 0.6395 (9 hosts before 12 engines, 15 days of a minute with failures).
const (
	// useLeast is the least time between two words of it, in a small region.
	useLeast = 250 * time.Millisecond
	// useWords bounds the words of a host to all peers in each Period. A word takes some
	// 15 bytes for each target that it has sent to: from as many peers on there are only
	// heartbeats, whose cost is kept in bounds at the largest region.
	useWords = 12
)

// usePace returns the time between two words of what this host has sent.
func (tb *Table) usePace(now ident.Time) time.Duration {
	if !mech.On(codes.AnnouncedSends) {
		return Period
	}
	n := len(tb.Peers(now))
	return min(max(useLeast, Period*time.Duration(n)/useWords), Period)
}

// reads reports whether a target has to read prompts of this host.
func (tb *Table) reads() bool {
	return slices.ContainsFunc(tb.targets, func(t *Target) bool { return t.Unread > 0 })
}

func (tb *Table) reap(now ident.Time) {
	tb.reapPeers(now)
	tb.reapTargets(now)
	tb.settleGone(now)
	tb.expireNotices(now)
}

// Next returns when Tick is due.
func (tb *Table) Next(now ident.Time) ident.Time {
	if tb.urgent() {
		return now
	}
	return min(tb.beat.due, tb.beat.useDue, tb.list.nextRead)
}
