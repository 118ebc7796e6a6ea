package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// outageGracePeriod is how long targets that are missing from the platform's list stay in use after
// an outage of its store, so that entries that expired during the outage can be written again.
const outageGracePeriod = 2200 * time.Millisecond

// ListFailed records that a read of the platform's list failed.
func (tb *Table) ListFailed(now ident.Time) {
	tb.Advance(now)
	tb.list.readFailed = true
	tb.list.stableSince = 0
	tb.scheduleRead(now, "failed")
}

// readSucceeded records that a read by this host returned a list.
func (tb *Table) readSucceeded(now ident.Time) {
	if tb.list.readFailed {
		tb.list.readFailed = false
		tb.list.recoveredAt = now
	}
	if tb.list.stableSince == 0 {
		tb.list.stableSince = now
	}
}

// readsAreStable reports whether this host has read the platform's list without a failure for long
// enough to announce removals. Just after an outage an expired entry looks like a removed one.
func (tb *Table) readsAreStable(now ident.Time) bool {
	return tb.list.stableSince > 0 && now.Sub(tb.list.stableSince) >= outageGracePeriod
}

// HasList reports whether this host has read the platform's list or knows a peer, which sends its
// list.
func (tb *Table) HasList() bool { return tb.list.readHere || len(tb.peers) > 0 }

// markAbsentTargets marks the targets that are missing from the complete list that this host has
// just read.
func (tb *Table) markAbsentTargets(now ident.Time) {
	for _, t := range tb.targets {
		if !t.listed {
			t.markAbsent(tb.list.version)
		}
	}
	tb.updateRemoved(now)
}

// removeAbsentTargets removes the targets that are missing from the complete list of a peer, even
// during an outage of the store at this host.
func (tb *Table) removeAbsentTargets(now ident.Time) {
	for _, t := range tb.targets {
		if !t.listed {
			tb.remove(now, t, tb.list.version)
		}
	}
	tb.updateRemoved(now)
}

// mergeStaleRead merges those parts of a list read by this host that remain valid although a newer
// list is in use: draining targets, and removals of targets that no newer list names.
func (tb *Table) mergeStaleRead(now ident.Time, ev event.HostsRead) {
	named := value.SetOf[ident.TargetID]()
	for _, d := range ev.Targets {
		named.Add(d.ID)
		if d.Draining && tb.observeDraining(now, d.ID, d.Incarnation) {
			tb.heartbeat.urgent = true
		}
	}
	if !ev.Complete {
		return
	}
	for _, t := range tb.targets {
		if !named.Has(t.ID) && t.listedVersion < ev.Version {
			t.markAbsent(ev.Version)
		}
	}
	tb.updateRemoved(now)
}

// mergeRemovals applies the removals that a peer has announced.
func (tb *Table) mergeRemovals(now ident.Time, rs []event.RemovedTarget) {
	for _, r := range rs {
		if t, ok := tb.byID[r.Target]; ok && t.listedVersion < r.Version && !tb.isImplausible(r.Version) {
			tb.remove(now, t, r.Version)
		}
	}
}

// remove marks a target as removed since a version of the list.
func (tb *Table) remove(now ident.Time, t *Target, version uint64) {
	t.markAbsent(version)
	if !t.Removed {
		t.Removed, t.removalSeenAt = true, now
		tb.addNote(t, "target is gone")
	}
}

// recentRemovals returns the removals that digests repeat. Draining targets are left out, because
// no host uses them anyway.
func (tb *Table) recentRemovals(now ident.Time) []event.RemovedTarget {
	if !tb.readsAreStable(now) {
		return nil
	}
	var rs []event.RemovedTarget
	for _, t := range tb.targets {
		if t.Removed && !t.KnownDraining && now.Sub(t.removalSeenAt) <= noticeRepeatTime {
			rs = append(rs, event.RemovedTarget{Target: t.ID, Version: t.removedVersion})
		}
	}
	return rs
}

// markAbsent records that the list does not name the target since a version.
func (t *Target) markAbsent(version uint64) {
	t.absent, t.listed = true, false
	t.removedVersion = max(t.removedVersion, version)
}

// markListed records that a version of the list names the target.
func (t *Target) markListed(version uint64) {
	t.listedVersion = max(t.listedVersion, version)
	t.removedVersion, t.absent = 0, false
}

// updateRemoved updates which targets are removed, based on the complete lists read so far. Some
// targets never drain: their entry is removed, and they stop a few seconds later. During an outage
// of the platform's store and for outageGracePeriod after it no target is removed here, since
// entries expire although their targets are alive. Complete lists and removals from peers are
// applied even then.
func (tb *Table) updateRemoved(now ident.Time) {
	inOutage := tb.list.readFailed || tb.list.recoveredAt > 0 && now.Sub(tb.list.recoveredAt) < outageGracePeriod
	for _, t := range tb.targets {
		removed := t.absent && (t.Removed || !inOutage)
		if removed == t.Removed {
			continue
		}
		if removed {
			tb.remove(now, t, t.removedVersion)
			tb.heartbeat.urgent = tb.heartbeat.urgent || !t.KnownDraining && tb.readsAreStable(now)
			continue
		}
		t.Removed = false
		tb.addNote(t, "target is there again")
	}
}

// mergeColdState merges the cold time and the end of an evacuation of a target from a list. The
// list of a peer may be stale, so only a longer cold time counts.
func (tb *Table) mergeColdState(now ident.Time, t *Target, d event.Target) {
	until := now.Add(d.ColdFor)
	if d.ColdFor > 0 && until > t.coldUntil {
		t.coldUntil = until
	}
	if t.Evacuated && !d.Evacuated {
		tb.assumeCold(now, t)
	}
}

// Usable reports whether requests may be sent to a target at all.
func (t *Target) Usable(now ident.Time) bool { return t.usableAfterRest(now) && !t.Resting(now) }

func (t *Target) usableAfterRest(now ident.Time) bool {
	return !t.KnownDraining && !t.Removed && !t.Evacuated && !t.Suspect(now)
}
