package member

import (
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// DigestReceived merges the heartbeat of a host of the own data centre. A host that no list
// names is added all the same: its link is authenticated, and the list lags.
func (tb *Table) DigestReceived(now ident.Time, d event.Digest) {
	tb.Advance(now)
	// Drain notices hold in late digests too, and come first, so that a draining
	// target is not usable in between.
	for _, w := range d.Draining {
		tb.observeDraining(now, w.Target, w.Incarnation)
	}
	tb.mergeBeat(now, d)
	tb.mergeRemovals(now, d.Removed)
	// Loads and summaries have numbers of their own.
	for _, ld := range d.Loads {
		tb.mergeRelayed(now, ld)
	}
	for _, s := range d.Summaries {
		tb.mergeSummary(now, s, false)
	}
}

// mergeBeat merges what only the newest digest of the newest incarnation says.
func (tb *Table) mergeBeat(now ident.Time, d event.Digest) {
	p := tb.putPeer(now, d.Host)
	if p == nil || d.Seq <= p.seq {
		return
	}
	p.seq = d.Seq
	p.revision = d.Revision
	p.blind = d.Blind
	p.away = slices.Clone(d.Away)
	p.flows = slices.Clone(d.Flows)
	tb.observe(now, p)
	tb.mergeList(now, d)
	tb.mergeUse(p, d.Use)
	tb.supply(d.Lacks)
	for _, w := range d.Wants {
		tb.want(now, PoolID{Serve: w.Serve, Service: w.Service})
	}
}

// mergeUse replaces the work that a peer has at the targets.
func (tb *Table) mergeUse(p *peer, use []event.TargetUse) {
	for _, u := range p.use {
		if t, ok := tb.byID[u.Target]; ok {
			t.PeerInFlight -= u.Running
			t.PeerInFlightTokens -= u.Tokens
			t.PeerPendingPrefill -= u.Unread
		}
	}
	p.use = slices.Clone(use)
	for i := range p.use {
		u := &p.use[i]
		tb.nameUse(u)
		if t, ok := tb.byID[u.Target]; ok {
			t.PeerInFlight += u.Running
			t.PeerInFlightTokens += u.Tokens
			t.PeerPendingPrefill += u.Unread
		}
	}
}

// nameUse resolves the key of a use to the id of its target, if that is known. The key might
// mean another target when the use is subtracted later.
func (tb *Table) nameUse(u *event.TargetUse) {
	if u.Target != "" {
		return
	}
	if t := tb.byKey[u.Key]; t != nil {
		u.Target = t.ID
	}
}

// sumUse adds up the use that peers announced of a target before it was known here.
func (tb *Table) sumUse(t *Target) {
	for _, p := range tb.peers {
		for i := range p.use {
			u := &p.use[i]
			tb.nameUse(u)
			if u.Target == t.ID {
				t.PeerInFlight += u.Running
				t.PeerInFlightTokens += u.Tokens
				t.PeerPendingPrefill += u.Unread
			}
		}
	}
}

// digest returns what every digest carries.
func (tb *Table) digest(now ident.Time) event.Digest {
	tb.beat.seq++
	d := event.Digest{
		Host: tb.self, Seq: tb.beat.seq, Revision: tb.own.Revision, Blind: tb.blind,
		Accounts: tb.own.Accounts, AccountsIncluded: tb.own.AccountsIncluded, Draining: tb.drainNotices(now, false), Away: slices.Clone(tb.away), Wants: tb.wants(now),
		Flows: tb.ownFlows(now), Removed: tb.recentRemovals(now),
	}
	for _, t := range tb.targets {
		if t.InFlight > 0 {
			id, key := tb.digestName(t)
			use := event.TargetUse{Target: id, Key: key, Running: t.InFlight, Tokens: t.InFlightTokens}
			if t.Capacity > 0 {
				// The others report their queue with their load.
				use.Unread = t.PendingPrefill
			}
			d.Use = append(d.Use, use)
		}
	}
	return d
}

// beats returns the digests that are due. The first goes to all live peers, with the changes
// since the last, and at intervals to silent hosts, to find those that have come back. The
// second goes to new peers and is complete.
func (tb *Table) beats(now ident.Time, regular bool) []event.Effect {
	var effs []event.Effect
	if regular || tb.beat.urgent {
		effs = tb.usualBeat(now, regular)
	}
	tb.beat.urgent = false
	if tb.beat.peers {
		effs = append(effs, tb.fullBeat(now)...)
	}
	tb.beat.peers = false
	return effs
}

func (tb *Table) usualBeat(now ident.Time, regular bool) []event.Effect {
	to := tb.Peers(now)
	if regular {
		to = append(to, tb.probes(now)...)
	}
	d := tb.digest(now)
	d.Holders = tb.takeHolders()
	if regular {
		d.Loads = tb.newLoads(now)
		d.Summaries = tb.newSummaries(now)
		d.Lacks = tb.lacking()
	}
	if regular || tb.list.urgent {
		tb.addList(now, &d)
	}
	if len(to) == 0 {
		return nil
	}
	return []event.Effect{event.SendDigest{To: to, Digest: d}}
}

// probes returns the silent hosts that a digest is due to.
func (tb *Table) probes(now ident.Time) []event.Host {
	var to []event.Host
	for _, p := range tb.peers {
		if p.live(now) || p.probedAt > 0 && now.Sub(p.probedAt) < probeEvery {
			continue
		}
		p.probedAt = now
		to = append(to, p.host)
	}
	return to
}

func (tb *Table) newLoads(now ident.Time) []event.Load {
	loads := make([]event.Load, 0, len(tb.relay))
	for _, ld := range tb.relay {
		t, ok := tb.byID[ld.Target]
		if !ok || ld.Incarnation != t.Incarnation || ld.Seq != t.Load.Seq {
			continue // A newer one follows in the list, or came from a peer.
		}
		ld.Age = now.Sub(t.LoadAt)
		loads = append(loads, tb.shorten(now, t, ld))
	}
	tb.relay = tb.relay[:0]
	return loads
}

// addList adds the platform's list to a digest if it has changed. The watcher sends it, and
// each host that is the first to read of new targets or a changed evacuation: the watcher may
// be late, and the representative acts on its own list for the whole data centre.
func (tb *Table) addList(now ident.Time, d *event.Digest) {
	changed, urgent := tb.list.changed, tb.list.urgent
	tb.list.changed, tb.list.urgent = false, false
	if changed && tb.Watches(now) || urgent {
		tb.fillList(now, d)
	}
}

func (tb *Table) fillList(now ident.Time, d *event.Digest) {
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

// fullBeat sends new peers all that this host knows, so that a host that restarts while the
// platform is unreachable can serve.
func (tb *Table) fullBeat(now ident.Time) []event.Effect {
	var to []event.Host
	for _, p := range tb.peers {
		if p.fresh && p.live(now) {
			p.fresh = false
			to = append(to, p.host)
		}
	}
	if len(to) == 0 {
		return nil
	}
	d := tb.digest(now)
	d.Draining = tb.drainNotices(now, true)
	tb.fillList(now, &d)
	for _, t := range tb.targets {
		if t.HasLoad {
			ld := t.Load
			ld.Age = now.Sub(t.LoadAt)
			d.Loads = append(d.Loads, ld)
		}
	}
	for _, c := range tb.centres {
		if c.HasSummary {
			d.Summaries = append(d.Summaries, c.aged(now))
		}
	}
	return []event.Effect{event.SendDigest{To: to, Digest: d}}
}
