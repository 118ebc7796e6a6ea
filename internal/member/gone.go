package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// returnGrace is how long after the platform's return a target that its list
// lacks is still taken for there. Entries that lapsed while the platform was
// away are written anew within two seconds of its return.
const returnGrace = 2200 * time.Millisecond

// ListFailed takes note of a read of the platform's list that failed.
func (tb *Table) ListFailed(now ident.Time) {
	tb.Advance(now)
	tb.list.away = true
	tb.list.steadyAt = 0
}

// readSucceeded takes note of an own read that brought a list.
func (tb *Table) readSucceeded(now ident.Time) {
	if tb.list.away {
		tb.list.away = false
		tb.list.backAt = now
	}
	if tb.list.steadyAt == 0 {
		tb.list.steadyAt = now
	}
}

// steady reports whether this host has read the platform's list for long enough without a
// failure to vouch for removals. A host that starts just after an outage would take entries
// that have lapsed in it for removed.
func (tb *Table) steady(now ident.Time) bool {
	return tb.list.steadyAt > 0 && now.Sub(tb.list.steadyAt) >= returnGrace
}

// ListRead reports whether this host, or a peer for it, has read the platform's
// list.
func (tb *Table) ListRead() bool { return tb.list.read || len(tb.peers) > 0 }

// listComplete takes note that the list which was just read lacks nothing.
func (tb *Table) listComplete(now ident.Time) {
	for _, t := range tb.targets {
		if !t.listed {
			t.absent(tb.list.version)
		}
	}
	tb.settleGone(now)
}

// applyComplete takes what a complete list of a peer lacks for gone. The peer has vouched
// for it, so that an outage of the store at this host does not matter.
func (tb *Table) applyComplete(now ident.Time) {
	for _, t := range tb.targets {
		if !t.listed {
			tb.remove(now, t, tb.list.version)
		}
	}
	tb.settleGone(now)
}

// mergeStale takes from an own read that is older than the list in use what holds all the
// same: which targets drain, and which it lacks that no newer list names.
func (tb *Table) mergeStale(now ident.Time, ev event.HostsRead) {
	named := value.SetOf[ident.TargetID]()
	for _, d := range ev.Targets {
		named.Add(d.ID)
		if d.Draining && tb.observeDraining(now, d.ID, d.Incarnation) {
			tb.beat.urgent = true
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
	tb.settleGone(now)
}

// removalsObserved applies the removals that a peer has observed.
func (tb *Table) removalsObserved(now ident.Time, rs []event.RemovedTarget) {
	for _, r := range rs {
		if t, ok := tb.byID[r.Target]; ok && t.listedAt < r.Version {
			tb.remove(now, t, r.Version)
		}
	}
}

// remove has a target be gone from a version of the list on.
func (tb *Table) remove(now ident.Time, t *Target, version uint64) {
	t.absent(version)
	if !t.Gone {
		t.Gone, t.goneAt = true, now
		tb.note(t, "target is gone")
	}
}

// recentRemovals returns the removals that digests repeat. A target that drains is not used
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

// absent takes note that the list lacks the target from a version on.
func (t *Target) absent(version uint64) {
	t.missing, t.listed = true, false
	t.removedAt = max(t.removedAt, version)
}

// named takes note that a version of the list names the target.
func (t *Target) named(version uint64) {
	t.listedAt = max(t.listedAt, version)
	t.removedAt, t.missing = 0, false
}

// settleGone takes what a complete list lacks for gone.
//
// Some targets never say that they leave: their entry goes, and they stop a few
// seconds later. Callers would see work cut off that was sent there meanwhile.
// While the platform is away its entries may lapse though the targets live, and
// to drop them all would leave nothing to serve with; so nothing goes then, nor
// within returnGrace of its return. A target that is listed again is back.
func (tb *Table) settleGone(now ident.Time) {
	held := tb.list.away || tb.list.backAt > 0 && now.Sub(tb.list.backAt) < returnGrace
	for _, t := range tb.targets {
		gone := t.missing && (t.Gone || !held)
		if gone == t.Gone {
			continue
		}
		if gone {
			tb.remove(now, t, t.removedAt)
			tb.beat.urgent = tb.beat.urgent || !t.Drains && tb.steady(now)
			continue
		}
		t.Gone = false
		tb.note(t, "target is there again")
	}
}

// relist takes what a list says beside the description. Only a longer cold
// time, or the word of the own list that it is over, is believed: a list that a
// peer passes on is older.
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
