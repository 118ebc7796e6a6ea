package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Times of reading the platform's list.
const (
	// watchEvery is the time between reads of the host that watches, idleEvery
	// of the others, which read in case the one that watches is cut off in a
	// way that no one notices.
	watchEvery = 2 * time.Second
	idleEvery  = 30 * time.Second
	// idleSpread and firstSpread keep hosts that start or come back together
	// from reading together: the store takes about two thousand reads a
	// second from the whole fleet.
	idleSpread  = 10 * time.Second
	firstSpread = 250 * time.Millisecond
	// versionHolds is how long an older version of the list is refused. After
	// that the platform has lost its count.
	versionHolds = time.Minute
)

// firstRead returns how long after its start a host reads the list.
func firstRead(self event.Host) time.Duration {
	return spread(rank.Combine(rank.Hash("first", string(self.ID)), uint64(self.Incarnation)), firstSpread)
}

func spread(h uint64, width time.Duration) time.Duration {
	return time.Duration(rank.Unit(h) * float64(width))
}

// HostsRead merges a list that this host has read from the platform. The list lags.
func (tb *Table) HostsRead(now ident.Time, ev event.HostsRead) {
	tb.Advance(now)
	tb.readSucceeded(now)
	if tb.older(now, ev.Version) {
		tb.noteStaleList(ev.Version)
		tb.mergeStaleRead(now, ev)
		return
	}
	tb.list.source, tb.list.complete = tb.self.ID, ev.Complete
	tb.list.changed = tb.list.changed || !tb.list.read || ev.Version != tb.list.version
	tb.list.read = true
	tb.useVersion(now, ev.Version)
	tb.list.urgent = tb.list.urgent || tb.hasNews(ev.Targets)
	tb.beat.urgent = tb.beat.urgent || tb.list.urgent
	tb.listTargets(now, ev.Targets)
	tb.listHosts(now, ev.Hosts)
	if ev.Complete {
		tb.markUnlisted(now)
	}
}

// older reports whether a list is older than the one that this host goes by.
func (tb *Table) older(now ident.Time, version uint64) bool {
	return version < tb.list.version && now.Sub(tb.list.readAt) <= versionHolds
}

// mergeList merges a list that a peer has read, unless a newer one is in use. An older one
// would revert evacuations.
func (tb *Table) mergeList(now ident.Time, d event.Digest) {
	if len(d.Targets) == 0 && !d.Complete || tb.older(now, d.ListVersion) {
		return
	}
	tb.list.source, tb.list.complete = d.Host.ID, false
	tb.useVersion(now, d.ListVersion)
	tb.listTargets(now, d.Targets)
	if d.Complete {
		tb.removeUnlisted(now)
	}
}

// useVersion sets the version of the list in use. One that is lower than before comes from a
// store that has lost its count, which makes all versions seen so far meaningless.
func (tb *Table) useVersion(now ident.Time, version uint64) {
	if version < tb.list.version {
		for _, t := range tb.targets {
			t.listedVersion, t.removedVersion = 0, 0
		}
	}
	tb.list.version = version
	tb.list.readAt = now
}

// hasNews reports whether a list names targets of the own data centre that are not known here,
// evacuates targets that are in use, or takes that back.
func (tb *Table) hasNews(targets []event.Target) bool {
	return slices.ContainsFunc(targets, func(d event.Target) bool {
		t, ok := tb.byID[d.ID]
		if !ok {
			return d.Place.Group() == tb.self.Place.Group()
		}
		return t.Closed != d.Closed
	})
}

func (tb *Table) listHosts(now ident.Time, hosts []event.Host) {
	for _, p := range tb.peers {
		p.listed = false
	}
	for _, c := range tb.centres {
		c.listed = c.listed[:0]
	}
	for _, h := range sortedHosts(hosts) {
		if h.Place.Group() != tb.self.Place.Group() {
			c := tb.centre(h.Place)
			c.listed = append(c.listed, h)
			continue
		}
		if p := tb.listPeer(now, h); p != nil {
			p.listed = true
		}
	}
	for _, c := range tb.centres {
		c.mergeHosts()
	}
}

// listPeer merges a host of the own data centre from the list.
func (tb *Table) listPeer(now ident.Time, h event.Host) *peer {
	old, ok := tb.peer(h.ID)
	if ok && h.Incarnation < old.host.Incarnation {
		// The list lags behind a restart: the host is listed all the same.
		return old
	}
	p := tb.putPeer(now, h)
	if p != nil && p.lastSeen == 0 {
		p.lastSeen = now
	}
	return p
}

// listTargets merges the targets of a list, read here or by a peer.
func (tb *Table) listTargets(now ident.Time, targets []event.Target) {
	for _, t := range tb.targets {
		t.listed = false
	}
	for _, d := range targets {
		if d.Place.Group() != tb.self.Place.Group() {
			continue
		}
		if t, ok := tb.byID[d.ID]; ok && tb.list.version < t.removedVersion {
			continue
		}
		tb.putTarget(now, d)
		tb.byID[d.ID].markListed(tb.list.version)
	}
}

// readHosts returns the read of the list that is due, and settles the next.
func (tb *Table) readHosts(now ident.Time) []event.Effect {
	if now < tb.list.nextRead {
		return nil
	}
	tb.list.nextRead = now.Add(tb.readPause(now))
	return []event.Effect{event.ReadHosts{}}
}

func (tb *Table) readPause(now ident.Time) time.Duration {
	if tb.Watches(now) {
		return watchEvery
	}
	h := rank.Hash("read", string(tb.self.ID))
	return idleEvery + spread(rank.Combine(h, uint64(now)), idleSpread)
}

// dutyRead brings the next read forward when this host becomes the watcher, spread so that
// many new watchers do not read at once.
func (tb *Table) dutyRead(now ident.Time) {
	if !tb.Watches(now) {
		return
	}
	tb.readSoon(now, "duty")
}

// readSoon brings the next read forward, spread over the hosts of a reason.
func (tb *Table) readSoon(now ident.Time, reason string) {
	h := rank.Combine(rank.Hash(reason, string(tb.self.ID)), uint64(now))
	tb.list.nextRead = min(tb.list.nextRead, now.Add(watchEvery+spread(h, Period)))
}

func sortedHosts(hosts []event.Host) []event.Host {
	hs := slices.Clone(hosts)
	slices.SortStableFunc(hs, byHost)
	return hs
}
