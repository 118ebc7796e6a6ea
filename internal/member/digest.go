package member

import (
	"slices"
	"strconv"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// DigestReceived merges the digest of a host of this data centre. A host that is not on the
// list is added too: its link is authenticated, and the list lags.
func (tb *Table) DigestReceived(now ident.Time, d event.Digest) {
	tb.Advance(now)
	// Drain notices are valid even in late digests. They are merged first, so that a draining
	// target is not used in the meantime.
	for _, w := range d.Draining {
		tb.observeDraining(now, w.Target, w.Incarnation)
	}
	tb.mergeNewestParts(now, d)
	tb.mergeRemovals(now, d.Removed)
	tb.mergeRateLimits(now, d.Host.ID, d.RateLimits)
	// Loads and summaries have their own sequence numbers, so late digests may contain new ones.
	for _, ld := range d.Loads {
		tb.mergeRelayedLoad(now, ld)
	}
	for _, s := range d.Summaries {
		tb.mergeSummary(now, s, false)
	}
}

// mergeNewestParts merges the parts of a digest that are valid only in the newest digest of the
// newest incarnation.
func (tb *Table) mergeNewestParts(now ident.Time, d event.Digest) {
	p := tb.putPeer(now, d.Host)
	if p == nil || d.Seq <= p.seq {
		return
	}
	p.seq = d.Seq
	p.revision = d.Revision
	p.platformUnreachable = d.PlatformUnreachable
	p.forwarded = slices.Clone(d.Forwarded)
	p.demands = slices.Clone(d.Demand)
	tb.markPeerSeen(now, p)
	tb.mergeList(now, d)
	tb.mergeConfirmation(now, d)
	tb.mergeUse(p, d.Use)
	tb.resendHosts(d.StaleCentres)
	tb.serviceStats.AdoptRates(now, d.Rates)
	for _, w := range d.Wants {
		tb.recordPoolRequest(now, PoolID{Serve: w.Serve, Service: w.Service})
	}
}

// mergeUse replaces the recorded use of targets by a peer.
func (tb *Table) mergeUse(p *peer, use []event.TargetUse) {
	for _, u := range p.use {
		if t, ok := tb.byID[u.Target]; ok {
			t.PeerInFlight -= u.Running
			t.PeerInFlightTokens -= u.Tokens
			t.PeerPendingPrefill -= u.PendingPrefill
		}
	}
	p.use = slices.Clone(use)
	for i := range p.use {
		u := &p.use[i]
		tb.resolveUse(u)
		if t, ok := tb.byID[u.Target]; ok {
			tb.addUse(p, t, u)
		}
	}
}

// Limits of the requests that one host may have at a target with a capacity. A host sends fewer than twice
// as many as there are slots; the slots may since have become fewer.
const (
	maxUseRatio = 8
	minMaxUse   = 64
)

// addUse adds the use of a target by a peer. A use out of range counts as unknown: otherwise the target would
// seem full.
func (tb *Table) addUse(p *peer, t *Target, u *event.TargetUse) {
	if t.Capacity > 0 && u.Running > max(minMaxUse, maxUseRatio*t.Slots()) {
		if !p.useNoted {
			p.useNoted = true
			tb.addNote(t, "use of a target by a host is out of range", event.NotePair{Key: "source", Value: string(p.host.ID)}, event.NotePair{Key: "running", Value: strconv.Itoa(u.Running)})
		}
		*u = event.TargetUse{Target: u.Target, Key: u.Key}
	}
	t.PeerInFlight += u.Running
	t.PeerInFlightTokens += u.Tokens
	t.PeerPendingPrefill += u.PendingPrefill
}

// resolveUse replaces the key of a use by the ID of its target, if that is known. Otherwise the key
// might name another target when the use is subtracted later.
func (tb *Table) resolveUse(u *event.TargetUse) {
	if u.Target != "" {
		return
	}
	if t := tb.byKey[u.Key]; t != nil {
		u.Target = t.ID
	}
}

// addPeerUse adds the use of a target that peers announced before this host knew the target.
func (tb *Table) addPeerUse(t *Target) {
	for _, p := range tb.peers {
		for i := range p.use {
			u := &p.use[i]
			tb.resolveUse(u)
			if u.Target == t.ID {
				tb.addUse(p, t, u)
			}
		}
	}
}

// digest returns a digest with the parts that every digest contains.
func (tb *Table) digest(now ident.Time) event.Digest {
	tb.heartbeat.seq++
	d := event.Digest{
		Host: tb.self, Seq: tb.heartbeat.seq, Revision: tb.local.Revision, PlatformUnreachable: tb.platformUnreachable,
		Accounts: tb.local.Accounts, AccountsIncluded: tb.local.AccountsIncluded, Draining: tb.drainNotices(now, false), Forwarded: slices.Clone(tb.forwarded), Wants: tb.ownPoolRequests(now),
		Demand: tb.ownDemand(now), Removed: tb.recentRemovals(now),
	}
	for _, t := range tb.targets {
		if t.InFlight > 0 {
			id, key := tb.digestName(t)
			use := event.TargetUse{Target: id, Key: key, Running: t.InFlight, Tokens: t.InFlightTokens}
			if t.Capacity > 0 {
				// Targets without a Capacity report their queue with their load.
				use.PendingPrefill = t.PendingPrefill
			}
			d.Use = append(d.Use, use)
		}
	}
	return d
}

// dueDigests returns the digests that are due. An incremental digest goes to all live peers and
// contains the changes since the last one; at intervals it also goes to silent hosts, to detect
// those that have come back. A full digest goes to new peers.
func (tb *Table) dueDigests(now ident.Time, regular bool) []event.Effect {
	var effs []event.Effect
	switch {
	case regular || tb.heartbeat.urgent:
		effs = tb.incrementalDigest(now, regular)
	case tb.heartbeat.useDue:
		effs = tb.useDigest(now)
	}
	tb.heartbeat.urgent, tb.heartbeat.useDue = false, false
	if tb.heartbeat.fullDigestDue {
		effs = append(effs, tb.fullDigest(now)...)
	}
	tb.heartbeat.fullDigestDue = false
	return effs
}

func (tb *Table) incrementalDigest(now ident.Time, regular bool) []event.Effect {
	to := tb.Peers(now)
	if regular {
		to = append(to, tb.hostsToProbe(now)...)
	}
	d := tb.digest(now)
	d.Holders = tb.takeHolders()
	d.RateLimits = tb.rateLimits(now, false)
	if regular {
		d.Loads = tb.relayedLoads(now)
		d.Summaries = tb.summariesToRelay(now)
		d.StaleCentres = tb.staleCentres()
	}
	if regular || tb.list.urgent {
		tb.addListIfDue(now, &d)
	}
	tb.addConfirmation(now, &d)
	if len(to) == 0 {
		return nil
	}
	return []event.Effect{event.SendDigest{To: to, Digest: d}}
}

// useDigest returns a digest that announces the use of targets between two heartbeats. It leaves out
// the notices that each heartbeat repeats.
func (tb *Table) useDigest(now ident.Time) []event.Effect {
	to := tb.Peers(now)
	if len(to) == 0 {
		return nil
	}
	d := tb.digest(now)
	d.Draining, d.Removed, d.Wants = nil, nil, nil
	return []event.Effect{event.SendDigest{To: to, Digest: d}}
}

// hostsToProbe returns the silent hosts that are due a digest.
func (tb *Table) hostsToProbe(now ident.Time) []event.Host {
	var to []event.Host
	for _, p := range tb.peers {
		if p.live(now) || p.probedAt > 0 && now.Sub(p.probedAt) < probeInterval {
			continue
		}
		p.probedAt = now
		to = append(to, p.host)
	}
	return to
}

// sendsFullDigest reports whether this host is among the maxFullDigests live hosts that rank first
// for a new peer.
func (tb *Table) sendsFullDigest(now ident.Time, to *peer) bool {
	score := func(id ident.EntryID) uint64 { return rank.Hash("full", string(to.host.ID), string(id)) }
	self, before := score(tb.self.ID), 0
	for _, p := range tb.peers {
		if p != to && p.live(now) && score(p.host.ID) > self {
			before++
		}
	}
	return before < maxFullDigests
}

func (tb *Table) relayedLoads(now ident.Time) []event.Load {
	loads := make([]event.Load, 0, len(tb.loadsToRelay))
	for _, ld := range tb.loadsToRelay {
		t, ok := tb.byID[ld.Target]
		if !ok || ld.Incarnation != t.Incarnation || ld.Seq != t.Load.Seq {
			continue // A newer report follows in the list, or a peer has sent it.
		}
		ld.Age = now.Sub(t.LoadAt)
		loads = append(loads, tb.omitKnownFields(now, t, ld))
	}
	tb.loadsToRelay = tb.loadsToRelay[:0]
	return loads
}

// addListIfDue adds the platform's list to a digest if it has changed. The watcher sends it,
// and so does each host that is the first to read of new targets or a changed evacuation: the
// watcher may be late, and the representative acts on its own list for the whole data centre.
func (tb *Table) addListIfDue(now ident.Time, d *event.Digest) {
	changed, urgent := tb.list.unannounced, tb.list.urgent
	tb.list.unannounced, tb.list.urgent = false, false
	if changed && tb.IsWatcher(now) || urgent {
		tb.addList(now, d)
	}
}

func (tb *Table) addList(now ident.Time, d *event.Digest) {
	d.Targets, d.ListVersion = tb.listedTargets(), tb.list.version
	d.Complete = tb.list.complete && tb.readsAreStable(now)
}

func (tb *Table) listedTargets() []event.Target {
	var ts []event.Target
	for _, t := range tb.targets {
		if !t.listed {
			continue
		}
		d := t.Target
		d.Draining = t.KnownDraining
		ts = append(ts, d)
	}
	return ts
}

// maxFullDigests is the number of hosts that send a full digest to one new peer. In a large data
// centre with many targets, those of all hosts would keep a slow peer busy for seconds, and its
// heartbeats would be so late that it counted as new again.
const maxFullDigests = 8

// fullDigest returns a digest of everything that this host knows for new peers, so that a host
// that restarts while the platform is unreachable can serve requests.
func (tb *Table) fullDigest(now ident.Time) []event.Effect {
	var to []event.Host
	for _, p := range tb.peers {
		if !p.needsFullDigest || !p.live(now) {
			continue
		}
		p.needsFullDigest = false
		if tb.sendsFullDigest(now, p) {
			to = append(to, p.host)
		}
	}
	if len(to) == 0 {
		return nil
	}
	d := tb.digest(now)
	d.Draining = tb.drainNotices(now, true)
	tb.addConfirmation(now, &d)
	tb.addList(now, &d)
	d.Rates = tb.serviceStats.Rates(now)
	d.RateLimits = tb.rateLimits(now, true)
	for _, t := range tb.targets {
		if t.HasLoad {
			ld := t.Load
			ld.Age = now.Sub(t.LoadAt)
			d.Loads = append(d.Loads, ld)
		}
	}
	for _, c := range tb.centres {
		if c.HasSummary {
			d.Summaries = append(d.Summaries, c.summaryWithAge(now))
		}
	}
	return []event.Effect{event.SendDigest{To: to, Digest: d}}
}
