package member

import (
	"cmp"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// peer is another entry host of this data centre.
type peer struct {
	host event.Host
	// lastSeen is when the last message of the host arrived. everSeen reports whether one has ever
	// arrived.
	lastSeen ident.Time
	everSeen bool
	// linkDown reports whether the link to the host has failed and has not been restored.
	linkDown bool
	listed   bool
	// seq is the sequence number of the newest digest of this incarnation.
	seq      uint64
	revision ident.Revision
	use      []event.TargetUse
	// useNoted is set once it was noted that the peer names a use out of range.
	useNoted            bool
	forwarded           []event.ForwardedUse
	demands             []event.PrefillDemand
	platformUnreachable bool
	// needsFullDigest reports whether the host is due a digest of everything that this host
	// knows.
	needsFullDigest bool
	probedAt        ident.Time
}

// live reports whether the host was seen recently. A host whose link is down may be silent for
// a shorter time.
func (p *peer) live(now ident.Time) bool {
	if !p.everSeen {
		return false
	}
	if p.linkDown {
		return now.Sub(p.lastSeen) <= linkDownTimeout
	}
	return now.Sub(p.lastSeen) <= suspectTimeout
}

func (p *peer) dead(now ident.Time) bool { return !p.everSeen || now.Sub(p.lastSeen) > deadTimeout }

func (tb *Table) peer(id ident.EntryID) (*peer, bool) {
	i, ok := tb.peerIndex(id)
	if !ok {
		return nil, false
	}
	return tb.peers[i], true
}

func (tb *Table) peerIndex(id ident.EntryID) (int, bool) {
	return slices.BinarySearchFunc(tb.peers, id, func(p *peer, id ident.EntryID) int { return cmp.Compare(p.host.ID, id) })
}

// putPeer adds or updates a host of this data centre. It returns nil for this host itself and,
// unless the known incarnation is dead, for a previous incarnation.
func (tb *Table) putPeer(now ident.Time, h event.Host) *peer {
	if h.ID == tb.self.ID || h.Place.Group() != tb.self.Place.Group() {
		return nil
	}
	i, ok := tb.peerIndex(h.ID)
	if !ok {
		p := &peer{host: h}
		tb.peers = slices.Insert(tb.peers, i, p)
		return p
	}
	p := tb.peers[i]
	if h.Incarnation == p.host.Incarnation {
		// An incarnation never stops draining, so a description without the flag is older.
		h.Draining = h.Draining || p.host.Draining
		p.host = h
		return p
	}
	if h.Incarnation < p.host.Incarnation && !p.dead(now) {
		return nil
	}
	tb.mergeUse(p, nil)
	*p = peer{host: h, listed: p.listed}
	return p
}

// markPeerSeen records that a message of a host has arrived.
func (tb *Table) markPeerSeen(now ident.Time, p *peer) {
	if !p.live(now) {
		// The host may have restarted, or missed messages in the meantime.
		p.needsFullDigest = true
	}
	p.everSeen = true
	p.linkDown = false
	p.lastSeen = max(p.lastSeen, now)
	if p.needsFullDigest {
		tb.heartbeat.fullDigestDue = true
	}
}

// PeerUp records that a link to another entry host is up and that the host is authenticated.
func (tb *Table) PeerUp(now ident.Time, h event.Host) {
	tb.Advance(now)
	if h.Place.Group() != tb.self.Place.Group() {
		c := tb.ensureCentre(h.Place)
		c.putHost(h)
		c.hostReachable(h.ID)
		if c.lastSent.to == h.ID && c.lastSent.incarnation != h.Incarnation {
			// The host has restarted and lost the parts that were sent to it.
			c.lastSent = lastSent{}
		}
		return
	}
	if p := tb.putPeer(now, h); p != nil {
		tb.markPeerSeen(now, p)
	}
}

// PeerDown records that the link to another entry host has failed.
func (tb *Table) PeerDown(now ident.Time, id ident.EntryID) {
	tb.Advance(now)
	if p, ok := tb.peer(id); ok {
		p.linkDown = true
		return
	}
	for _, c := range tb.centres {
		if i, ok := slices.BinarySearchFunc(c.Hosts, event.Host{ID: id}, compareHosts); ok {
			tb.HostUnreachable(now, c.Place.Group(), c.Hosts[i])
		}
	}
}

// Peers returns the other live entry hosts of this data centre.
func (tb *Table) Peers(now ident.Time) []event.Host {
	var hs []event.Host
	for _, p := range tb.peers {
		if p.live(now) {
			hs = append(hs, p.host)
		}
	}
	return hs
}

// HasActivePeer reports whether another live host of this data centre is not draining.
func (tb *Table) HasActivePeer(now ident.Time) bool {
	return slices.ContainsFunc(tb.peers, func(p *peer) bool { return p.live(now) && !p.host.Draining })
}

// IsWatcher reports whether this host watches the platform for its data centre.
func (tb *Table) IsWatcher(now ident.Time) bool {
	return tb.watcher(now) == tb.self.ID
}

// Hosts that read the platform's store continuously.
const (
	// activeReaderCount is the number of active readers in a data centre. If its confirmations end,
	// the other hosts read for themselves until the next in line has taken over.
	activeReaderCount = 1
	// maxReaderSilence is the longest silence of a host that still counts as an active reader.
	maxReaderSilence = 1800 * time.Millisecond
)

// IsActiveReader reports whether this host is an active reader of the platform's store. Active
// readers announce the changes that they read. It does no harm if there are more of them than
// needed.
func (tb *Table) IsActiveReader(now ident.Time) bool {
	mine := dutyScore("watch", tb.self, tb.platformUnreachable)
	before := 0
	for _, p := range tb.peers {
		if !p.everSeen || p.linkDown || now.Sub(p.lastSeen) > maxReaderSilence {
			continue
		}
		if dutyScore("watch", p.host, p.platformUnreachable) > mine {
			before++
		}
	}
	return before < activeReaderCount
}

// IsRepresentative reports whether this host sends the summaries of its data centre.
func (tb *Table) IsRepresentative(now ident.Time) bool { return tb.representative(now) == tb.self.ID }

func (tb *Table) watcher(now ident.Time) ident.EntryID {
	return tb.topRanked(now, "watch", true)
}

func (tb *Table) representative(now ident.Time) ident.EntryID {
	return tb.topRanked(now, "speak", false)
}

// topRanked returns the live host that ranks first for a duty. Draining hosts rank after all
// others. If the duty needs the platform, hosts that cannot reach it rank after those that can.
func (tb *Table) topRanked(now ident.Time, duty string, needsPlatform bool) ident.EntryID {
	best := tb.self.ID
	bestScore := dutyScore(duty, tb.self, needsPlatform && tb.platformUnreachable)
	for _, p := range tb.peers {
		if !p.live(now) {
			continue
		}
		if s := dutyScore(duty, p.host, needsPlatform && p.platformUnreachable); s > bestScore {
			best, bestScore = p.host.ID, s
		}
	}
	return best
}

// eligibilityBits is the number of top bits of a score that encode eligibility. A host that is
// eligible for a duty ranks before every host that is not, whatever their hashes.
const eligibilityBits = 2

func dutyScore(duty string, h event.Host, platformUnreachable bool) uint64 {
	s := rank.Hash(duty, string(h.ID)) >> eligibilityBits
	if !h.Draining {
		s |= 1 << (64 - 1)
	}
	if !platformUnreachable {
		s |= 1 << (64 - eligibilityBits)
	}
	return s
}

// reapPeers drops unlisted hosts after a long silence, and the requests of dead hosts.
func (tb *Table) reapPeers(now ident.Time) {
	for _, p := range tb.peers {
		if p.dead(now) {
			tb.mergeUse(p, nil)
			p.forwarded = nil
		}
	}
	tb.peers = slices.DeleteFunc(tb.peers, func(p *peer) bool {
		return !p.listed && now.Sub(p.lastSeen) > dropTimeout
	})
}
