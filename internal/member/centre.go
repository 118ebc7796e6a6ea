package member

import (
	"cmp"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Intervals and limits of summaries.
const (
	// defaultSummaryInterval and summaryIntervalPerCentre determine the interval between
	// summaries to a data centre that requests nothing: a fixed part and a part for each known
	// data centre, so that the traffic of a representative grows little with their number.
	defaultSummaryInterval   = 5 * time.Second
	summaryIntervalPerCentre = 250 * time.Millisecond
	// accountsIntervalPerCentre is the part for each data centre in the interval between
	// summaries that include the demand of accounts, the largest part of a summary.
	accountsIntervalPerCentre = 600 * time.Millisecond
	// fastSummaryInterval is the interval between summaries that carry an offer. They renew
	// the offer before it expires.
	fastSummaryInterval = 2 * time.Second
	// minSummaryGap is the shortest time between two summaries to one data centre, also after
	// changes.
	minSummaryGap = 500 * time.Millisecond
	// maxMissedSummaries is the number of summary intervals that a data centre may be silent
	// before it counts as cut off.
	maxMissedSummaries = 3
	// maxSenders bounds the number of senders of summaries that are tracked for each data
	// centre.
	maxSenders = 16
	// hostsInterval is the longest time between two summaries to a data centre that include
	// the hosts.
	hostsInterval = 30 * time.Second
)

// Centre is another data centre as seen by this host.
type Centre struct {
	Place event.Place
	// Hosts holds its entry hosts in order of their IDs, from its summary, the platform's list and,
	// until a summary has contained hosts, from links.
	Hosts []event.Host
	// Summary is its newest summary. Parts that it omitted are those of earlier summaries.
	Summary    event.Summary
	HasSummary bool

	listed []event.Host
	linked []event.Host
	// summaryMadeAt is when the newest summary was made, derived from its age. reachableSince
	// is when the data centre was first reached or last came back.
	summaryMadeAt  ident.Time
	reachableSince ident.Time
	// summaryInterval is the expected interval between its summaries, from which CutOff derives its
	// timeout.
	summaryInterval time.Duration
	// poolsMadeAt is when the newest pools were made. It is separate from summaryMadeAt, so
	// that a summary without pools does not make an old offer look new.
	poolsMadeAt ident.Time
	// hostsHash is the hash of Summary.Hosts, zero if no hosts have been received.
	hostsHash uint64
	toRelay   relayState
	senders   []sender
	// offersMade are the offers of this data centre that the other one may still hold,
	// offersReceived the offers of the other one that hosts of this data centre may still
	// hold.
	offersMade     []heldOffer
	offersReceived []heldOffer
	forwarded      []*forwardWindow
	// refusedAt is when the data centre last refused a request for lack of capacity, by service.
	refusedAt map[string]ident.Time
	// unreachable holds the hosts that this host could not reach recently.
	unreachable  []unreachableHost
	lastSent     lastSent
	sendAttempts uint64
	// unconfirmedRepeats counts the consecutive repeated summaries since the data centre last
	// confirmed the highest revision.
	unconfirmedRepeats int
}

// relayState marks the parts of a received summary that the next regular digest relays.
type relayState struct {
	// due is set if anything is to be relayed, which may be only changed revisions.
	due, hosts, pools, accounts bool
	// receivedHere reports whether the newest summary was sent to this host by its data centre and
	// not relayed by a peer. The fields below hold the values that were last relayed.
	receivedHere bool
	inForce      ident.Revision
	highest      ident.Revision
	hostsHash    uint64
}

// sender identifies the newest summary of one host of a data centre.
type sender struct {
	id          ident.EntryID
	incarnation ident.Incarnation
	seq         uint64
}

// Age returns the age of the newest summary.
func (c *Centre) Age(now ident.Time) time.Duration { return now.Sub(c.summaryMadeAt) }

// poolsAge returns the age of the newest pools.
func (c *Centre) poolsAge(now ident.Time) time.Duration { return now.Sub(c.poolsMadeAt) }

// hostsAreStale reports whether the known hosts of the data centre differ from those that its
// newest summary refers to.
func (c *Centre) hostsAreStale() bool {
	return c.HasSummary && c.Summary.HostsHash != 0 && c.Summary.HostsHash != c.hostsHash
}

// CutOff reports whether no summary of the data centre has arrived recently, or none ever.
func (c *Centre) CutOff(now ident.Time) bool {
	return !c.HasSummary || c.Age(now) > maxMissedSummaries*c.summaryInterval
}

// Pool returns a pool from the newest summary, or nil.
func (c *Centre) Pool(id PoolID) *event.Pool {
	for i := range c.Summary.Pools {
		p := &c.Summary.Pools[i]
		if p.Serve == id.Serve && p.Service == id.Service {
			return p
		}
	}
	return nil
}

// requestedPool returns the pool of the data centre that requests capacity for the given one,
// or nil. A pool without a version requests any version.
func (c *Centre) requestedPool(id PoolID) *event.Pool {
	p := c.Pool(id)
	if p == nil && id.Service == "" {
		id.Serve.Version = ""
		p = c.Pool(id)
	}
	if p == nil || !needsCapacity(p.Free, p.Slots) {
		return nil
	}
	return p
}

// Centres returns the other data centres in order of their names. The caller must not change
// the slice.
func (tb *Table) Centres(ident.Time) []*Centre { return tb.centres }

func (tb *Table) findCentre(dc ident.DataCentre) (int, bool) {
	return slices.BinarySearchFunc(tb.centres, dc, func(c *Centre, dc ident.DataCentre) int { return cmp.Compare(c.Place.Group(), dc) })
}

// ensureCentre returns a data ensureCentre and adds it if it is new.
func (tb *Table) ensureCentre(place event.Place) *Centre {
	i, ok := tb.findCentre(place.Group())
	if !ok {
		tb.centres = slices.Insert(tb.centres, i, &Centre{Place: place, summaryInterval: tb.baseSummaryInterval})
		interval := tb.summaryInterval()
		for _, c := range tb.centres {
			c.summaryInterval = interval
		}
	}
	return tb.centres[i]
}

// summaryInterval returns the interval between two summaries to a data centre that requests
// nothing.
func (tb *Table) summaryInterval() time.Duration {
	return tb.baseSummaryInterval + time.Duration(len(tb.centres))*summaryIntervalPerCentre
}

// accountsInterval returns the interval between two summaries that include the demand of
// accounts.
func (tb *Table) accountsInterval() time.Duration {
	return tb.baseSummaryInterval + time.Duration(len(tb.centres))*accountsIntervalPerCentre
}

// SummaryReceived merges the summary of another data centre. The next regular digest relays it.
func (tb *Table) SummaryReceived(now ident.Time, s event.Summary) {
	tb.Advance(now)
	tb.mergeSummary(now, s, true)
}

func (tb *Table) mergeSummary(now ident.Time, s event.Summary, direct bool) {
	if s.Place.Group() == tb.self.Place.Group() {
		return
	}
	c := tb.ensureCentre(s.Place)
	if !c.recordIfNewest(s) {
		return
	}
	made := now.Add(-s.Age - tb.extraAge(now))
	if c.HasSummary && s.From != c.Summary.From && made < c.summaryMadeAt {
		return
	}
	if c.CutOff(now) {
		c.reachableSince = now
	}
	oldRequests, hadOffers := c.requestedPools(), c.hasOffers()
	c.Place = s.Place
	c.summaryMadeAt = made
	c.mergeParts(now, s)
	c.toRelay.receivedHere = direct
	switch {
	case direct:
		c.toRelay.add(s)
	case !s.HostsOmitted:
		// The peer that relayed the hosts has sent them to all peers.
		c.toRelay.hostsHash = s.HostsHash
	}
	c.mergeHosts()
	if !slices.Equal(oldRequests, c.requestedPools()) {
		tb.heartbeat.summaryDue = true
	}
	if direct && (!slices.Equal(oldRequests, c.requestedPools()) || hadOffers != c.hasOffers()) {
		// The peers act on the change too, and one of them may be the representative.
		tb.heartbeat.urgent = true
	}
}

// hasOffers reports whether the data centre offers any capacity.
func (c *Centre) hasOffers() bool {
	return hasOffers(c.Summary.Pools)
}

// mergeParts replaces the parts that a summary contains and keeps the others.
func (c *Centre) mergeParts(now ident.Time, s event.Summary) {
	old := c.Summary
	if s.HostsOmitted {
		s.Hosts = old.Hosts
	} else {
		c.hostsHash = hashHosts(s.Hosts)
	}
	if s.PoolsOmitted {
		s.Pools = old.Pools
	} else {
		c.offersReceived = recordOffers(c.offersReceived, now, s.Pools)
		c.poolsMadeAt = c.summaryMadeAt.Add(-s.PoolsAge)
	}
	if s.AccountsOmitted {
		s.Accounts = old.Accounts
	}
	s.HostsOmitted, s.PoolsOmitted, s.AccountsOmitted, s.PoolsAge = false, false, false, 0
	c.Summary = s
	c.HasSummary = true
}

// add marks the parts of a summary that peers need. Hosts are relayed only when they have
// changed.
func (r *relayState) add(s event.Summary) {
	r.hosts = r.hosts || !s.HostsOmitted && s.HostsHash != r.hostsHash
	r.pools = r.pools || !s.PoolsOmitted
	r.accounts = r.accounts || !s.AccountsOmitted
	r.due = r.due || r.hosts || r.pools || r.accounts || s.InForce != r.inForce || s.Highest != r.highest
}

// recordIfNewest records a summary if it is newer than all earlier ones of its sender, and
// reports whether it is. Late and duplicate summaries would restore offers that were
// withdrawn.
func (c *Centre) recordIfNewest(s event.Summary) bool {
	i := slices.IndexFunc(c.senders, func(x sender) bool { return x.id == s.From })
	if i < 0 {
		if len(c.senders) == maxSenders {
			c.senders = slices.Delete(c.senders, 0, 1)
		}
		c.senders = append(c.senders, sender{s.From, s.Incarnation, s.Seq})
		return true
	}
	x := &c.senders[i]
	if s.Incarnation < x.incarnation || s.Incarnation == x.incarnation && s.Seq <= x.seq {
		return false
	}
	*x = sender{s.From, s.Incarnation, s.Seq}
	return true
}

// requestedPools returns the pools for which the data centre requests capacity.
func (c *Centre) requestedPools() []PoolID {
	var ids []PoolID
	for _, p := range c.Summary.Pools {
		if needsCapacity(p.Free, p.Slots) {
			ids = append(ids, PoolID{p.Serve, p.Service})
		}
	}
	return ids
}

// summaryWithAge returns the newest summary with its current age. It omits stale hosts, and pools
// that have never been received.
func (c *Centre) summaryWithAge(now ident.Time) event.Summary {
	s := c.Summary
	s.Age = c.Age(now)
	if c.hostsAreStale() || c.hostsHash == 0 {
		s.Hosts, s.HostsOmitted = nil, true
	}
	if c.poolsMadeAt == 0 {
		s.Pools, s.PoolsOmitted = nil, true
	}
	s.PoolsAge = c.summaryMadeAt.Sub(c.poolsMadeAt)
	return s
}

// putHost adds a host that was authenticated on a link. A later incarnation than that in the
// summary replaces it, since nothing can be forwarded to the earlier one any more.
func (c *Centre) putHost(h event.Host) {
	if i := slices.IndexFunc(c.Summary.Hosts, func(o event.Host) bool { return o.ID == h.ID && o.Incarnation < h.Incarnation }); i >= 0 {
		c.Summary.Hosts = slices.Clone(c.Summary.Hosts)
		c.Summary.Hosts[i] = h
	}
	i, ok := slices.BinarySearchFunc(c.linked, h, compareHosts)
	if !ok {
		c.linked = slices.Insert(c.linked, i, h)
	} else if h.Incarnation >= c.linked[i].Incarnation {
		c.linked[i] = h
	}
	c.mergeHosts()
}

// mergeHosts combines the hosts of the summary, the list and the links. A summary names the
// live hosts of its data centre, so that hosts known by links count only until the first
// summary that contains hosts.
func (c *Centre) mergeHosts() {
	hs := slices.Concat(c.Summary.Hosts, c.listed)
	if c.hostsHash == 0 {
		hs = append(hs, c.linked...)
	} else {
		c.linked = nil
	}
	slices.SortStableFunc(hs, func(a, b event.Host) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(b.Incarnation, a.Incarnation))
	})
	out := hs[:0]
	for _, h := range hs {
		if n := len(out); n > 0 && out[n-1].ID == h.ID {
			same := out[n-1].Incarnation == h.Incarnation
			out[n-1].Draining = out[n-1].Draining || same && h.Draining
			continue
		}
		out = append(out, h)
	}
	c.Hosts = out
}

func compareHosts(a, b event.Host) int { return cmp.Compare(a.ID, b.ID) }

// HostFor returns the host to send a request to. A hash of the request spreads requests over
// the live hosts that are not draining.
func (c *Centre) HostFor(key uint64) (event.Host, bool) {
	best, bestScore := -1, uint64(0)
	for i, h := range c.Summary.Hosts {
		if h.Draining {
			continue
		}
		if s := rank.Combine(key, rank.Hash(string(h.ID))); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return event.Host{}, false
	}
	return c.Summary.Hosts[best], true
}

// summariesToRelay returns the summaries that this host has received since its last digest.
func (tb *Table) summariesToRelay(now ident.Time) []event.Summary {
	var ss []event.Summary
	for _, c := range tb.centres {
		if c.toRelay.due {
			ss = append(ss, c.summaryToRelay(now))
		}
	}
	return ss
}

// summaryToRelay returns the parts of the newest summary that peers need, and marks them as
// relayed.
func (c *Centre) summaryToRelay(now ident.Time) event.Summary {
	r := &c.toRelay
	s := c.summaryWithAge(now)
	if !r.hosts {
		s.Hosts, s.HostsOmitted = nil, true
	}
	if !r.pools {
		s.Pools, s.PoolsOmitted, s.PoolsAge = nil, true, 0
	}
	if !r.accounts {
		s.Accounts, s.AccountsOmitted = nil, true
	}
	if !s.HostsOmitted {
		r.hostsHash = s.HostsHash
	}
	*r = relayState{receivedHere: r.receivedHere, inForce: s.InForce, highest: s.Highest, hostsHash: r.hostsHash}
	return s
}

// staleCentres returns the data centres whose known hosts are stale, for example after a lost
// digest. Peers with the current hosts send them with the next digest.
func (tb *Table) staleCentres() []ident.DataCentre {
	var dcs []ident.DataCentre
	for _, c := range tb.centres {
		if c.hostsAreStale() {
			dcs = append(dcs, c.Place.Group())
		}
	}
	return dcs
}

// resendHosts relays the hosts of the given data centres to a peer again. Only the host that
// received the newest summary does so, so that not every peer answers.
func (tb *Table) resendHosts(dcs []ident.DataCentre) {
	for _, dc := range dcs {
		i, ok := tb.findCentre(dc)
		if ok && tb.centres[i].toRelay.receivedHere && !tb.centres[i].hostsAreStale() {
			tb.centres[i].toRelay.due, tb.centres[i].toRelay.hosts = true, true
		}
	}
}
