package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// returnGrace is how long after an outage of the platform a target that its list lacks
// stays in use: entries that expired meanwhile are written again.
const returnGrace = 2200 * time.Millisecond

// ListFailed records that a read of the platform's list has failed.
func (tb *Table) ListFailed(now ident.Time) {
	tb.Advance(now)
	tb.list.readFailed = true
	tb.list.steadySince = 0
	tb.scheduleRead(now, "failed")
}

// readSucceeded records that an own read has brought a list.
func (tb *Table) readSucceeded(now ident.Time) {
	if tb.list.readFailed {
		tb.list.readFailed = false
		tb.list.recoveredAt = now
	}
	if tb.list.steadySince == 0 {
		tb.list.steadySince = now
	}
}

// steady reports whether this host has read the platform's list for long enough without a
// failure to announce removals. Just after an outage an expired entry looks like a removed one.
func (tb *Table) steady(now ident.Time) bool {
	return tb.list.steadySince > 0 && now.Sub(tb.list.steadySince) >= returnGrace
}

// ListRead reports whether this host, or a peer for it, has read the platform's
// list.
func (tb *Table) ListRead() bool { return tb.list.readHere || len(tb.peers) > 0 }

// listComplete marks the targets that the complete list just read lacks.
func (tb *Table) listComplete(now ident.Time) {
	for _, t := range tb.targets {
		if !t.listed {
			t.absent(tb.list.version)
		}
	}
	tb.updateGone(now)
}

// applyComplete removes the targets that a complete list of a peer lacks, also during an
// outage of the store at this host.
func (tb *Table) applyComplete(now ident.Time) {
	for _, t := range tb.targets {
		if !t.listed {
			tb.remove(now, t, tb.list.version)
		}
	}
	tb.updateGone(now)
}

// mergeStale merges the parts of an own read that hold although a newer list is in use:
// draining targets, and removed ones that no newer list names.
func (tb *Table) mergeStale(now ident.Time, ev event.HostsRead) {
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
		if !named.Has(t.ID) && t.listedAt < ev.Version {
			t.absent(ev.Version)
		}
	}
	tb.updateGone(now)
}

// removalsObserved applies the removals that a peer has observed.
func (tb *Table) removalsObserved(now ident.Time, rs []event.RemovedTarget) {
	for _, r := range rs {
		if t, ok := tb.byID[r.Target]; ok && t.listedAt < r.Version {
			tb.remove(now, t, r.Version)
		}
	}
}

// remove marks a target as gone from a version of the list on.
func (tb *Table) remove(now ident.Time, t *Target, version uint64) {
	t.absent(version)
	if !t.Gone {
		t.Gone, t.goneAt = true, now
		tb.addNote(t, "target is gone")
	}
}

// recentRemovals returns the removals that digests repeat. Draining targets are not used
// anyway.
func (tb *Table) recentRemovals(now ident.Time) []event.RemovedTarget {
	if !tb.steady(now) {
		return nil
	}
	var rs []event.RemovedTarget
	for _, t := range tb.targets {
		if t.Gone && !t.Drains && now.Sub(t.goneAt) <= noticeRepeat {
			rs = append(rs, event.RemovedTarget{Target: t.ID, Version: t.removedAt})
		}
	}
	return rs
}

// absent records that the list lacks the target from a version on.
func (t *Target) absent(version uint64) {
	t.missing, t.listed = true, false
	t.removedAt = max(t.removedAt, version)
}

// named records that a version of the list names the target.
func (t *Target) named(version uint64) {
	t.listedAt = max(t.listedAt, version)
	t.removedAt, t.missing = 0, false
}

// updateGone updates which targets are gone by the complete lists read so far. Some targets
// never drain: their entry is removed, and they stop a few seconds later. During an outage
// of the platform and returnGrace after it nothing is removed, since entries expire though
// their targets live.
func (tb *Table) updateGone(now ident.Time) {
	held := tb.list.readFailed || tb.list.recoveredAt > 0 && now.Sub(tb.list.recoveredAt) < returnGrace
	for _, t := range tb.targets {
		gone := t.missing && (t.Gone || !held)
		if gone == t.Gone {
			continue
		}
		if gone {
			tb.remove(now, t, t.removedAt)
			tb.heartbeat.urgent = tb.heartbeat.urgent || !t.Drains && tb.steady(now)
			continue
		}
		t.Gone = false
		tb.addNote(t, "target is there again")
	}
}

// relist merges the cold time and the evacuation of a target from a list. A list of a peer
// is older, so that only a longer cold time counts.
func (tb *Table) relist(now ident.Time, t *Target, d event.Target) {
	until := now.Add(d.ColdFor)
	if d.ColdFor > 0 && until > t.coldUntil {
		t.coldUntil = until
	}
	if t.Closed && !d.Closed {
		tb.guessCold(now, t)
	}
}

// Usable reports whether work may be sent to a target at all.
func (t *Target) Usable(now ident.Time) bool {
	return !t.Drains && !t.Gone && !t.Closed && !t.Suspect(now)
}
