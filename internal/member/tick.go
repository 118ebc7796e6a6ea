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
		effs = append(effs, tb.loadPolls(now)...)
		effs = append(effs, tb.askMemory(now)...)
	}
	return effs
}

func (tb *Table) urgent() bool {
	return tb.beat.urgent || tb.beat.peers || tb.beat.asks || len(tb.probe) > 0
}

// Intervals between two announcements of the use of targets.
const (
	// minUseInterval is the interval in a small region.
	minUseInterval = 250 * time.Millisecond
	// maxUseMessages bounds the announcements of a host to all peers in each Period. With
	// more peers only heartbeats carry the use.
	maxUseMessages = 12
)

// usePace returns the interval between two announcements of the use of targets.
func (tb *Table) usePace(now ident.Time) time.Duration {
	if !mech.On(codes.AnnouncedSends) {
		return Period
	}
	n := len(tb.Peers(now))
	return min(max(minUseInterval, Period*time.Duration(n)/maxUseMessages), Period)
}

// reads reports whether a target still has prompts of this host to prefill.
func (tb *Table) reads() bool {
	return slices.ContainsFunc(tb.targets, func(t *Target) bool { return t.PendingPrefill > 0 })
}

func (tb *Table) reap(now ident.Time) {
	tb.reapPeers(now)
	tb.dropStaleTargets(now)
	tb.updateRemoved(now)
	tb.expireNotices(now)
}

// Next returns when Tick is due.
func (tb *Table) Next(now ident.Time) ident.Time {
	if tb.urgent() {
		return now
	}
	return min(tb.beat.due, tb.beat.useDue, tb.list.nextRead)
}
