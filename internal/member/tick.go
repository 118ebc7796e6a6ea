package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Tick returns the messages to send and the reads to make now. It is cheap when nothing is
// due, so that the reducer may call it in each step.
func (tb *Table) Tick(now ident.Time, local LocalState) []event.Effect {
	tb.Advance(now)
	tb.local = local
	regular := now >= tb.heartbeat.nextDigest
	if regular || now >= tb.heartbeat.nextUse {
		tb.heartbeat.useDue = !regular && tb.hasPendingPrefill()
		tb.heartbeat.nextUse = now.Add(tb.useInterval(now))
	}
	if !regular && !tb.urgent() && now < tb.list.nextRead {
		return nil
	}
	var effs []event.Effect
	if regular {
		tb.heartbeat.nextDigest = now.Add(HeartbeatInterval)
		tb.reap(now)
		tb.scheduleWatcherRead(now)
		tb.inheritServiceRates()
		tb.countPools(now)
	}
	effs = append(effs, tb.coldProbes()...)
	effs = append(effs, tb.readHosts(now)...)
	effs = append(effs, tb.dueDigests(now, regular)...)
	if regular || tb.heartbeat.summaryDue {
		effs = append(effs, tb.summaries(now)...)
	}
	if regular {
		effs = append(effs, tb.loadPolls(now)...)
		effs = append(effs, tb.memoryRequests(now)...)
	}
	return effs
}

func (tb *Table) urgent() bool {
	return tb.heartbeat.urgent || tb.heartbeat.useDue || tb.heartbeat.fullDigestDue || tb.heartbeat.summaryDue || len(tb.coldProbeQueue) > 0
}

// Limits of the announcements of the use of targets.
const (
	// minUseInterval is the interval between announcements in a small data centre.
	minUseInterval = 250 * time.Millisecond
	// maxUseMessages bounds the announcements of a host to all peers in each HeartbeatInterval.
	// With that many peers or more, the use is announced only by heartbeats.
	maxUseMessages = 60
)

// useInterval returns the interval between two announcements of the use of targets.
func (tb *Table) useInterval(now ident.Time) time.Duration {
	if !mech.On(codes.AnnouncedSends) {
		return HeartbeatInterval
	}
	n := len(tb.Peers(now))
	return min(max(minUseInterval, HeartbeatInterval*time.Duration(n)/maxUseMessages), HeartbeatInterval)
}

// hasPendingPrefill reports whether a target still has prompts of this host to prefill.
func (tb *Table) hasPendingPrefill() bool {
	return slices.ContainsFunc(tb.targets, func(t *Target) bool { return t.PendingPrefill > 0 })
}

func (tb *Table) reap(now ident.Time) {
	tb.reapPeers(now)
	tb.reapTargets(now)
	tb.updateRemoved(now)
	tb.expireNotices(now)
}

// Next returns when Tick is due.
func (tb *Table) Next(now ident.Time) ident.Time {
	if tb.urgent() {
		return now
	}
	return min(tb.heartbeat.nextDigest, tb.heartbeat.nextUse, tb.list.nextRead)
}
