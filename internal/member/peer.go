package member

import (
	"cmp"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// peer is another entry host of the own data centre.
type peer struct {
	host event.Host
	// lastSeen is when a message of the host last came, met whether one ever did.
	lastSeen ident.Time
	seen     bool
	// linkDown says that the link to it broke and has not come back.
	linkDown bool
	listed   bool
	// seq is the number of the newest digest of this incarnation.
	seq                 uint64
	revision            ident.Revision
	use                 []event.TargetUse
	forwarded           []event.AwayUse
	flows               []event.Flow
	platformUnreachable bool
	// needsFullDigest says that it is to be sent all that this host knows.
	needsFullDigest bool
	probedAt        ident.Time
}

// live reports whether the host was seen lately. A broken link shortens the time that it
// may be silent.
func (p *peer) live(now ident.Time) bool {
	if !p.seen {
		return false
	}
	if p.linkDown {
		return now.Sub(p.lastSeen) <= linkDownTimeout
	}
	return now.Sub(p.lastSeen) <= suspectTimeout
}

func (p *peer) dead(now ident.Time) bool { return !p.seen || now.Sub(p.lastSeen) > deadTimeout }

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

// putPeer adds or updates a host of the own data centre. It returns nil for this host
// itself and for an incarnation that another has followed.
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
		// Draining holds for the incarnation; a description without it is older.
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

// observe records a message of a host.
func (tb *Table) observe(now ident.Time, p *peer) {
	if !p.live(now) {
		// It may have restarted, or missed what was sent meanwhile.
		p.needsFullDigest = true
	}
	p.seen = true
	p.linkDown = false
	p.lastSeen = max(p.lastSeen, now)
	if p.needsFullDigest {
		tb.heartbeat.fullDigestDue = true
	}
}

// PeerUp says that a link to another entry host stands and that the host has
// proved who it is.
func (tb *Table) PeerUp(now ident.Time, h event.Host) {
	tb.Advance(now)
	if h.Place.Group() != tb.self.Place.Group() {
		c := tb.centre(h.Place)
		c.putHost(h)
		if c.lastSent.to == h.ID && c.lastSent.incarnation != h.Incarnation {
			// It has restarted and lost what was sent to it.
			c.lastSent = lastSent{}
		}
		return
	}
	if p := tb.putPeer(now, h); p != nil {
		tb.observe(now, p)
	}
}

// PeerDown says that the link to another entry host broke.
func (tb *Table) PeerDown(now ident.Time, id ident.EntryID) {
	tb.Advance(now)
	if p, ok := tb.peer(id); ok {
		p.linkDown = true
	}
}

// Peers returns the live entry hosts of the own data centre but this one.
func (tb *Table) Peers(now ident.Time) []event.Host {
	var hs []event.Host
	for _, p := range tb.peers {
		if p.live(now) {
			hs = append(hs, p.host)
		}
	}
	return hs
}

// HasActivePeer reports whether a live host of the own data centre is there to stay.
func (tb *Table) HasActivePeer(now ident.Time) bool {
	return slices.ContainsFunc(tb.peers, func(p *peer) bool { return p.live(now) && !p.host.Draining })
}

// IsWatcher reports whether this host watches the platform for its data centre.
func (tb *Table) IsWatcher(now ident.Time) bool {
	return tb.watcher(now) == tb.self.ID
}

// Hosts that read the platform's store all the time.
const (
	// activeReaders is how many hosts of a data centre do, so that one may freeze.
	activeReaders = 2
	// maxReaderSilence bounds the silence of a host that is relied on to read.
	maxReaderSilence = 1800 * time.Millisecond
)

// IsActiveReader reports whether this host is an active reader of the platform's store. Active readers
// announce what they read; more of them than needed do no harm.
func (tb *Table) IsActiveReader(now ident.Time) bool {
	mine := dutyScore("watch", tb.self, tb.platformUnreachable)
	before := 0
	for _, p := range tb.peers {
		if !p.seen || p.linkDown || now.Sub(p.lastSeen) > maxReaderSilence {
			continue
		}
		if dutyScore("watch", p.host, p.platformUnreachable) > mine {
			before++
		}
	}
	return before < activeReaders
}

// IsRepresentative reports whether this host sends the summaries of its data centre.
func (tb *Table) IsRepresentative(now ident.Time) bool { return tb.representative(now) == tb.self.ID }

func (tb *Table) watcher(now ident.Time) ident.EntryID {
	return tb.topRanked(now, "watch", true)
}

func (tb *Table) representative(now ident.Time) ident.EntryID {
	return tb.topRanked(now, "speak", false)
}

// topRanked returns the live host that ranks topRanked for a duty. Hosts that drain, and for some
// duties those that are blind, come after all others.
func (tb *Table) topRanked(now ident.Time, duty string, sight bool) ident.EntryID {
	best := tb.self.ID
	bestScore := dutyScore(duty, tb.self, sight && tb.platformUnreachable)
	for _, p := range tb.peers {
		if !p.live(now) {
			continue
		}
		if s := dutyScore(duty, p.host, sight && p.platformUnreachable); s > bestScore {
			best, bestScore = p.host.ID, s
		}
	}
	return best
}

// eligibilityBits are the highest bits of a score: a host that is fit for a duty comes
// before every host that is not, whatever their hashes.
const eligibilityBits = 2

func dutyScore(duty string, h event.Host, blind bool) uint64 {
	s := rank.Hash(duty, string(h.ID)) >> eligibilityBits
	if !h.Draining {
		s |= 1 << (64 - 1)
	}
	if !blind {
		s |= 1 << (64 - eligibilityBits)
	}
	return s
}

// reapPeers drops what has been silent for long and is not listed, and forgets the
// work of hosts that are dead.
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
