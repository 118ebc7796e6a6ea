package member

import (
	"math/bits"
	"slices"
	"strconv"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// summaries returns the summaries for the other data centres if this host is the
// representative. Each summary goes to one host of the other data centre, which relays it to
// its peers in its digests. Each sending data centre picks a different host, so that the
// relaying is shared.
func (tb *Table) summaries(now ident.Time) []event.Effect {
	tb.heartbeat.summaryDue = false
	if len(tb.centres) == 0 {
		return nil
	}
	offers := tb.offers(now)
	if !tb.IsRepresentative(now) {
		tb.recordExpectedOffers(now, offers)
		tb.resetLastSent()
		return nil
	}
	base := tb.summary(now)
	var accounts []event.AccountUse
	accountsRead, accountsKnown := false, false
	var effs []event.Effect
	for i, c := range tb.centres {
		s := base
		s.Pools = withOffers(base.Pools, offers, i)
		repeat := c.needsRepeat(now, s)
		to, ok := tb.recipient(now, c)
		if !ok || !tb.omitKnownParts(now, c, to, &s, repeat) {
			continue
		}
		if !s.AccountsOmitted && !accountsRead && tb.local.CentreAccounts != nil {
			accounts, accountsKnown = tb.local.CentreAccounts()
			accountsRead = true
		}
		if accountsRead && !accountsKnown {
			s.AccountsOmitted = true
		}
		if !s.AccountsOmitted {
			s.Accounts = accounts
		}
		c.sendAttempts++
		tb.heartbeat.summarySeq++
		s.Seq = tb.heartbeat.summarySeq
		c.offersMade = recordOffers(c.offersMade, now, s.Pools)
		effs = append(effs, event.SendSummary{To: to, Summary: s})
	}
	return effs
}

// resetLastSent has this host send all parts when it next becomes the representative. Another
// representative may have replaced the parts that it sent before.
func (tb *Table) resetLastSent() {
	for _, c := range tb.centres {
		c.lastSent = lastSent{}
	}
}

// recordExpectedOffers records the offers that the representative probably makes now. Each host
// computes them from the same loads, so that none uses the offer of a data centre that holds an
// offer of this one.
func (tb *Table) recordExpectedOffers(now ident.Time, offers [][]int) {
	pools := make([]event.Pool, len(tb.pools))
	for i, p := range tb.pools {
		pools[i] = p.Pool
	}
	for i, c := range tb.centres {
		c.offersMade = recordOffers(c.offersMade, now, withOffers(pools, offers, i))
	}
}

// lastSent is the state that was last sent to a data centre.
type lastSent struct {
	// at is when the last summary was sent, to and incarnation its recipient. Any other recipient
	// may lack every part.
	at          ident.Time
	everSent    bool
	to          ident.EntryID
	incarnation ident.Incarnation
	inForce     ident.Revision
	highest     ident.Revision
	hostsHash   uint64
	hostsAt     ident.Time
	poolsHash   uint64
	poolsAt     ident.Time
	accountsAt  ident.Time
}

// omitKnownParts removes the parts of a summary that its recipient already has, and reports whether
// the rest is worth a message. The pools are sent at the summary interval, on change, and at the
// fast interval while they carry an offer; the accounts at an interval of their own; the hosts on
// change and every hostsInterval, in case a summary was lost.
func (tb *Table) omitKnownParts(now ident.Time, c *Centre, to event.Host, s *event.Summary, repeat bool) bool {
	t := &c.lastSent
	if t.everSent && now.Sub(t.at) < minSummaryGap {
		return false
	}
	if t.to != to.ID || t.incarnation != to.Incarnation {
		*t = lastSent{at: t.at, to: to.ID, incarnation: to.Incarnation}
	}
	poolsHash := hashPools(s.Pools)
	accounts := !t.everSent || now.Sub(t.accountsAt) >= tb.accountsInterval()
	pools := !t.everSent || now.Sub(t.poolsAt) >= tb.summaryInterval() || poolsHash != t.poolsHash || hasOffers(s.Pools) && now.Sub(t.poolsAt) >= fastSummaryInterval
	hosts := !t.everSent || s.HostsHash != t.hostsHash || now.Sub(t.hostsAt) >= hostsInterval
	if !pools && !hosts && !accounts && !repeat && !t.revisionsChanged(s) {
		return false
	}
	s.HostsOmitted, s.PoolsOmitted, s.AccountsOmitted = !hosts, !pools, !accounts
	if hosts {
		t.hostsHash, t.hostsAt = s.HostsHash, now
	} else {
		s.Hosts = nil
	}
	if pools {
		t.poolsHash, t.poolsAt = poolsHash, now
	} else {
		s.Pools = nil
	}
	if accounts {
		t.accountsAt = now
	}
	t.at, t.everSent, t.inForce, t.highest = now, true, s.InForce, s.Highest
	return true
}

// revisionsChanged reports whether the revisions are worth a summary of their own. The lowest
// revision shows operators that a change is in force everywhere. The other data centre may
// lack the highest one, or wait for it.
func (t *lastSent) revisionsChanged(s *event.Summary) bool {
	return s.InForce != t.inForce || s.Highest != t.highest
}

// isBehind reports whether a data centre has not yet confirmed the highest revision.
func (c *Centre) isBehind(s event.Summary) bool {
	return c.HasSummary && c.Summary.Highest < s.Highest
}

// needsRepeat reports whether to send a summary again because the data centre has not confirmed its
// revision, and counts these repeats. Each repeat goes to the next host, since the last recipient
// may be frozen.
func (c *Centre) needsRepeat(now ident.Time, s event.Summary) bool {
	t := &c.lastSent
	if !t.everSent || s.Highest != t.highest || !c.isBehind(s) {
		c.unconfirmedRepeats = 0
		return false
	}
	if now.Sub(t.at) < fastSummaryInterval {
		return false
	}
	c.unconfirmedRepeats++
	return true
}

func hasOffers(pools []event.Pool) bool {
	return slices.ContainsFunc(pools, func(p event.Pool) bool { return p.Offer > 0 })
}

// hashPools returns a hash of the state that another data centre acts on at once: whether capacity
// is requested, the demand in steps, the size of the offers in powers of two, and the number of
// targets.
func hashPools(pools []event.Pool) uint64 {
	h := uint64(0)
	for _, p := range pools {
		h = rank.Combine(h, rank.Hash(string(p.Serve.Model), string(p.Serve.Version), string(p.Serve.Adapter), p.Service))
		h = rank.Combine(h, rank.Hash(strconv.FormatBool(needsCapacity(p.Free, p.Slots))))
		h = rank.Combine(h, uint64(bits.Len(uint(p.Offer))))
		h = rank.Combine(h, demandStep(&p))
		h = rank.Combine(h, uint64(p.Targets))
		for _, build := range p.Builds {
			h = rank.Combine(h, rank.Hash(string(build)))
		}
	}
	return h
}

// hashHosts returns a hash of hosts, which is never zero.
func hashHosts(hosts []event.Host) uint64 {
	h := uint64(1)
	for _, x := range hosts {
		h = rank.Combine(h, rank.Hash(string(x.ID), x.CallerURL, x.PeerAddr, strconv.FormatBool(x.Draining)))
		h = rank.Combine(h, uint64(x.Incarnation))
	}
	return max(h, 1)
}

// summary returns the state of this data centre without offers.
func (tb *Table) summary(now ident.Time) event.Summary {
	low, high := tb.Revisions(now)
	s := event.Summary{
		From: tb.self.ID, Place: tb.self.Place, Incarnation: tb.self.Incarnation,
		InForce: low, Highest: high, Hosts: tb.liveHosts(now),
	}
	s.HostsHash = hashHosts(s.Hosts)
	for _, p := range tb.pools {
		s.Pools = append(s.Pools, p.Pool)
	}
	return s
}

// liveHosts returns the live hosts of this data centre, including this one, in order of their
// IDs.
func (tb *Table) liveHosts(now ident.Time) []event.Host {
	return sortedHosts(append(tb.Peers(now), tb.self))
}

// recipient returns the host of a data centre to send a summary to: a live host, or a
// different one for each attempt if none is known to be alive.
func (tb *Table) recipient(now ident.Time, c *Centre) (event.Host, bool) {
	salt := rank.Hash("recipient", string(tb.self.Place.Group()))
	if c.CutOff(now) {
		if len(c.Hosts) == 0 {
			return event.Host{}, false
		}
		// The salt spreads the summaries of several data centres over the hosts after a
		// partition has healed.
		return c.Hosts[(salt+c.sendAttempts)%uint64(len(c.Hosts))], true
	}
	if h, ok := c.HostFor(salt); ok {
		return c.hostAfter(h, c.unconfirmedRepeats), true
	}
	if len(c.Hosts) == 0 {
		return event.Host{}, false
	}
	return c.Hosts[0], true
}

// hostAfter returns the live host that is n places after the given one.
func (c *Centre) hostAfter(h event.Host, n int) event.Host {
	hs := c.Summary.Hosts
	i := slices.IndexFunc(hs, func(x event.Host) bool { return x.ID == h.ID })
	return hs[(i+n)%len(hs)]
}
