package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Intervals and timeouts for reads of the platform's list.
const (
	// watcherReadInterval is the interval between reads of the watcher, idleReadInterval that
	// of the other hosts. These read in case the watcher is cut off without being detected.
	watcherReadInterval = 2 * time.Second
	idleReadInterval    = 30 * time.Second
	// idleReadJitter and firstReadJitter keep hosts that start or come back together from
	// reading together: the store handles about two thousand reads a second from the whole
	// fleet.
	idleReadJitter  = 10 * time.Second
	firstReadJitter = 250 * time.Millisecond
	// staleListTimeout is how long an older version of the list is rejected. After that the
	// platform is assumed to have reset its version counter.
	staleListTimeout = time.Minute
	// maxVersionLead is how many versions the list of a peer may be ahead of the one that this host
	// has read. The store doesn't accept as many writes in a year.
	maxVersionLead = 1 << 34
)

// firstReadDelay returns the delay between the start of a host and its first read of the list.
func firstReadDelay(self event.Host) time.Duration {
	return jitter(rank.Combine(rank.Hash("first", string(self.ID)), uint64(self.Incarnation)), firstReadJitter)
}

func jitter(h uint64, width time.Duration) time.Duration {
	return time.Duration(rank.Unit(h) * float64(width))
}

// HostsRead merges a list that this host has read from the platform. The list lags behind the
// actual state.
func (tb *Table) HostsRead(now ident.Time, ev event.HostsRead) {
	tb.Advance(now)
	tb.readSucceeded(now)
	if tb.isStale(now, ev.Version) && !leads(tb.list.version, ev.Version) {
		tb.noteStaleList(ev.Version)
		tb.mergeStaleRead(now, ev)
		return
	}
	tb.list.source, tb.list.complete = tb.self.ID, ev.Complete
	tb.list.unannounced = tb.list.unannounced || !tb.list.readHere || ev.Version != tb.list.version
	tb.list.readHere, tb.list.readVersion = true, ev.Version
	tb.useVersion(now, ev.Version)
	tb.list.urgent = tb.list.urgent || tb.hasUrgentChanges(ev.Targets)
	tb.heartbeat.urgent = tb.heartbeat.urgent || tb.list.urgent
	tb.mergeListedTargets(now, ev.Targets)
	tb.mergeListedHosts(now, ev.Hosts)
	if ev.Complete {
		tb.markAbsentTargets(now)
	}
}

// isStale reports whether a list is older than the one in use.
func (tb *Table) isStale(now ident.Time, version uint64) bool {
	return version < tb.list.version && now.Sub(tb.list.updatedAt) <= staleListTimeout
}

// leads reports whether a version can't be one of the same list as another.
func leads(version, other uint64) bool { return version > other && version-other > maxVersionLead }

// isImplausible reports whether a version that a peer names can't be one of the list that this host reads. Every
// later version of the list would count as older.
func (tb *Table) isImplausible(version uint64) bool {
	return tb.list.readHere && leads(version, tb.list.readVersion)
}

// mergeList merges a list that a peer has sent, unless a newer one is in use. An older one would
// revert evacuations. That the store has reset its version counter is believed only of a peer that has
// just read the list: one that was cut off sends what it knew before.
func (tb *Table) mergeList(now ident.Time, d event.Digest) {
	isOlder := d.ListVersion < tb.list.version && !d.ListConfirmed
	if len(d.Targets) == 0 && !d.Complete || isOlder || tb.isStale(now, d.ListVersion) || tb.isImplausible(d.ListVersion) {
		return
	}
	tb.list.source, tb.list.complete = d.Host.ID, false
	tb.useVersion(now, d.ListVersion)
	tb.mergeListedTargets(now, d.Targets)
	if d.Complete {
		tb.removeAbsentTargets(now)
	}
}

// useVersion sets the version of the list in use. A lower version than before means that the
// store has reset its version counter, which makes all earlier versions meaningless.
func (tb *Table) useVersion(now ident.Time, version uint64) {
	if version < tb.list.version {
		for _, t := range tb.targets {
			t.listedVersion, t.removedVersion = 0, 0
		}
	}
	tb.list.version = version
	tb.list.updatedAt = now
}

// hasUrgentChanges reports whether a list names unknown targets of this data centre, or starts
// or ends the evacuation of known ones.
func (tb *Table) hasUrgentChanges(targets []event.Target) bool {
	return slices.ContainsFunc(targets, func(d event.Target) bool {
		t, ok := tb.byID[d.ID]
		if !ok {
			return d.Place.Group() == tb.self.Place.Group()
		}
		return t.Evacuated != d.Evacuated
	})
}

func (tb *Table) mergeListedHosts(now ident.Time, hosts []event.Host) {
	tb.list.fresh.hostsReadAt = now
	for _, p := range tb.peers {
		p.listed = false
	}
	for _, c := range tb.centres {
		c.listed = c.listed[:0]
	}
	for _, h := range sortedHosts(hosts) {
		if h.Place.Group() != tb.self.Place.Group() {
			c := tb.ensureCentre(h.Place)
			c.listed = append(c.listed, h)
			continue
		}
		if p := tb.mergeListedPeer(now, h); p != nil {
			p.listed = true
		}
	}
	for _, c := range tb.centres {
		c.mergeHosts()
	}
}

// mergeListedPeer merges a listed host of this data centre.
func (tb *Table) mergeListedPeer(now ident.Time, h event.Host) *peer {
	old, ok := tb.peer(h.ID)
	if ok && h.Incarnation < old.host.Incarnation {
		// The list lags behind a restart, but it does list the host.
		return old
	}
	p := tb.putPeer(now, h)
	if p != nil && p.lastSeen == 0 {
		p.lastSeen = now
	}
	return p
}

// mergeListedTargets merges the targets of a list that was read here or sent by a peer.
func (tb *Table) mergeListedTargets(now ident.Time, targets []event.Target) {
	for _, t := range tb.targets {
		t.listed = false
	}
	for _, d := range targets {
		if d.Place.Group() != tb.self.Place.Group() {
			continue
		}
		if t, ok := tb.byID[d.ID]; ok && tb.list.version < t.removedVersion && !leads(t.removedVersion, tb.list.version) {
			continue
		}
		tb.putTarget(now, d)
		tb.byID[d.ID].markListed(tb.list.version)
	}
}

// readHosts returns a read of the list if one is due, and schedules the next.
func (tb *Table) readHosts(now ident.Time) []event.Effect {
	if now < tb.list.nextRead {
		return nil
	}
	tb.list.nextRead = now.Add(tb.readInterval(now))
	return []event.Effect{event.ReadHosts{}}
}

func (tb *Table) readInterval(now ident.Time) time.Duration {
	if tb.IsWatcher(now) {
		return watcherReadInterval
	}
	h := rank.Hash("read", string(tb.self.ID))
	return idleReadInterval + jitter(rank.Combine(h, uint64(now)), idleReadJitter)
}

// scheduleWatcherRead schedules an early read when this host becomes the watcher, with jitter
// so that many new watchers do not read at once.
func (tb *Table) scheduleWatcherRead(now ident.Time) {
	if !tb.IsWatcher(now) {
		return
	}
	tb.scheduleRead(now, "duty")
}

// scheduleRead moves the next read forward, with jitter for each host and reason.
func (tb *Table) scheduleRead(now ident.Time, reason string) {
	h := rank.Combine(rank.Hash(reason, string(tb.self.ID)), uint64(now))
	tb.list.nextRead = min(tb.list.nextRead, now.Add(watcherReadInterval+jitter(h, HeartbeatInterval)))
}

func sortedHosts(hosts []event.Host) []event.Host {
	hs := slices.Clone(hosts)
	slices.SortStableFunc(hs, compareHosts)
	return hs
}
