package member

import (
	"cmp"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Times and bounds of summaries.
const (
	// slowEvery and slowEach give the time between summaries to a data centre
	// that wants nothing: a fixed part and a part for each data centre known,
	// so that the bytes of a representative grow little with their number.
	slowEvery = 5 * time.Second
	slowEach  = 250 * time.Millisecond
	// accountsEach is the same part for the demand of accounts, the largest
	// part of a summary.
	accountsEach = 600 * time.Millisecond
	// fastEvery is the time between summaries that carry an offer; it renews
	// the offer before it expires.
	fastEvery = 2 * time.Second
	// minGap bounds the summaries on change to one data centre.
	minGap = 500 * time.Millisecond
	// cutOffBeats is how many slow summaries a data centre may miss before it
	// counts as cut off.
	cutOffBeats = 3
	// maxSenders bounds the senders of summaries that are distinguished for each
	// data centre.
	maxSenders = 16
	// wholeEvery is the longest time between two summaries to a data centre
	// that name the hosts.
	wholeEvery = 30 * time.Second
)

// Centre is another data centre as this host knows it.
type Centre struct {
	Place event.Place
	// Hosts are its entry hosts by id, from its summary and the platform's
	// list.
	Hosts []event.Host
	// Summary is its newest summary, as it came.
	Summary    event.Summary
	HasSummary bool

	listed []event.Host
	linked []event.Host
	// made is when the newest summary was made, by its age, since
	// when the data centre came or came back.
	made  ident.Time
	since ident.Time
	// slow is the pace of its summaries, which bounds its silence.
	slow time.Duration
	// madePools is the same of the newest pools. A summary without pools must
	// not make an offer look new that it says nothing of.
	madePools ident.Time
	// held is the hash of the hosts that are held, zero for none.
	held    uint64
	relay   relay
	senders []sender
	// given are the offers that the data centre may hold of this one, taken
	// those that hosts of this one may hold of it.
	given  []heldOffer
	taken  []heldOffer
	passed []*forwardWindow
	// away is when the data centre last turned a request away for want of room, by
	// service.
	away  map[string]ident.Time
	sent  lastSent
	tries uint64
	// vain counts the summaries in a row that went out again because the data
	// centre has not confirmed the highest revision.
	vain int
}

// relay is what the next digest passes on of a summary that came to this host.
type relay struct {
	due, hosts, pools, accounts bool
	// direct says that the newest summary came to this host; the others are
	// what was last passed on.
	direct  bool
	inForce ident.Revision
	highest ident.Revision
	hash    uint64
}

// sender is the newest summary of one host of a data centre.
type sender struct {
	id          ident.EntryID
	incarnation ident.Incarnation
	seq         uint64
}

// Age is the age of the newest summary.
func (c *Centre) Age(now ident.Time) time.Duration { return now.Sub(c.made) }

// poolsAge is how old the newest pools are.
func (c *Centre) poolsAge(now ident.Time) time.Duration { return now.Sub(c.madePools) }

// lacks reports whether the hosts of the data centre are not known as they are.
func (c *Centre) lacks() bool {
	return c.HasSummary && c.Summary.HostsHash != 0 && c.Summary.HostsHash != c.held
}

// CutOff reports whether no summary of the data centre has come for long, or ever.
func (c *Centre) CutOff(now ident.Time) bool {
	return !c.HasSummary || c.Age(now) > cutOffBeats*c.slow
}

// Pool returns the pool of the newest summary, nil for none.
func (c *Centre) Pool(id PoolID) *event.Pool {
	for i := range c.Summary.Pools {
		p := &c.Summary.Pools[i]
		if p.Serve == id.Serve && p.Service == id.Service {
			return p
		}
	}
	return nil
}

// ask returns the pool by which the data centre asks for one, nil for none. A
// pool without a version asks for any version.
func (c *Centre) ask(id PoolID) *event.Pool {
	p := c.Pool(id)
	if p == nil && id.Service == "" {
		id.Serve.Version = ""
		p = c.Pool(id)
	}
	if p == nil || !needsHelp(p.Free, p.Slots) {
		return nil
	}
	return p
}

// Centres returns the other data centres by name. The slice is the table's.
func (tb *Table) Centres(ident.Time) []*Centre { return tb.centres }

func (tb *Table) findCentre(dc ident.DataCentre) (int, bool) {
	return slices.BinarySearchFunc(tb.centres, dc, func(c *Centre, dc ident.DataCentre) int { return cmp.Compare(c.Place.Group(), dc) })
}

// centre returns a data centre, made if it is new.
func (tb *Table) centre(place event.Place) *Centre {
	i, ok := tb.findCentre(place.Group())
	if !ok {
		tb.centres = slices.Insert(tb.centres, i, &Centre{Place: place, slow: tb.slow})
		slow := tb.slowPace()
		for _, c := range tb.centres {
			c.slow = slow
		}
	}
	return tb.centres[i]
}

// slowPace is the time between two summaries to a data centre that wants
// nothing.
func (tb *Table) slowPace() time.Duration {
	return tb.slow + time.Duration(len(tb.centres))*slowEach
}

// accountsPace is the time between two summaries with the demand of accounts.
func (tb *Table) accountsPace() time.Duration {
	return tb.slow + time.Duration(len(tb.centres))*accountsEach
}

// SummaryReceived merges the state of another data centre and relays it with the next
// digest.
func (tb *Table) SummaryReceived(now ident.Time, s event.Summary) {
	tb.Advance(now)
	tb.mergeSummary(now, s, true)
}

func (tb *Table) mergeSummary(now ident.Time, s event.Summary, direct bool) {
	if s.Place.Group() == tb.self.Place.Group() {
		return
	}
	c := tb.centre(s.Place)
	if !c.newest(s) {
		return
	}
	made := now.Add(-s.Age - tb.late(now))
	if c.HasSummary && s.From != c.Summary.From && made < c.made {
		return
	}
	if c.CutOff(now) {
		c.since = now
	}
	asked, offers := c.asks(), c.offers()
	c.Place = s.Place
	c.made = made
	c.mergeParts(now, s)
	c.relay.direct = direct
	switch {
	case direct:
		c.relay.add(s)
	case !s.HostsKept:
		// The peer that relayed the hosts has sent them to all.
		c.relay.hash = s.HostsHash
	}
	c.mergeHosts()
	if !slices.Equal(asked, c.asks()) {
		tb.beat.asks = true
	}
	if direct && (!slices.Equal(asked, c.asks()) || offers != c.offers()) {
		// The peers act on it too, and one of them may be the representative.
		tb.beat.urgent = true
	}
}

// offers reports whether the data centre offers anything.
func (c *Centre) offers() bool {
	return offers(c.Summary.Pools)
}

// mergeParts replaces the parts that a summary contains and keeps the others.
func (c *Centre) mergeParts(now ident.Time, s event.Summary) {
	old := c.Summary
	if s.HostsKept {
		s.Hosts = old.Hosts
	} else {
		c.held = hashHosts(s.Hosts)
	}
	if s.PoolsKept {
		s.Pools = old.Pools
	} else {
		c.taken = recordOffers(c.taken, now, s.Pools)
		c.madePools = c.made.Add(-s.PoolsAge)
	}
	if s.AccountsKept {
		s.Accounts = old.Accounts
	}
	s.HostsKept, s.PoolsKept, s.AccountsKept, s.PoolsAge = false, false, false, 0
	c.Summary = s
	c.HasSummary = true
}

// add marks the parts of a summary that peers need. Hosts are relayed only when they
// have changed.
func (r *relay) add(s event.Summary) {
	r.hosts = r.hosts || !s.HostsKept && s.HostsHash != r.hash
	r.pools = r.pools || !s.PoolsKept
	r.accounts = r.accounts || !s.AccountsKept
	r.due = r.due || r.hosts || r.pools || r.accounts || s.InForce != r.inForce || s.Highest != r.highest
}

// newest reports whether a summary is newer than all before it of the same sender, and
// records it. Late and doubled ones would revive offers that were withdrawn.
func (c *Centre) newest(s event.Summary) bool {
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

// asks returns the pools that the data centre is short of.
func (c *Centre) asks() []PoolID {
	var ids []PoolID
	for _, p := range c.Summary.Pools {
		if needsHelp(p.Free, p.Slots) {
			ids = append(ids, PoolID{p.Serve, p.Service})
		}
	}
	return ids
}

// aged returns the newest summary with the time that it was held. Hosts that
// are not those of the data centre any more are no part of it, nor are pools
// where none have come.
func (c *Centre) aged(now ident.Time) event.Summary {
	s := c.Summary
	s.Age = c.Age(now)
	if c.lacks() || c.held == 0 {
		s.Hosts, s.HostsKept = nil, true
	}
	if c.madePools == 0 {
		s.Pools, s.PoolsKept = nil, true
	}
	s.PoolsAge = c.made.Sub(c.madePools)
	return s
}

// putHost adds a host that a link has authenticated.
func (c *Centre) putHost(h event.Host) {
	i, ok := slices.BinarySearchFunc(c.linked, h, byHost)
	if !ok {
		c.linked = slices.Insert(c.linked, i, h)
	} else if h.Incarnation >= c.linked[i].Incarnation {
		c.linked[i] = h
	}
	c.mergeHosts()
}

// mergeHosts joins the hosts of the summary, the list and the links. A summary
// names the live hosts of its data centre, so links only count until one has
// come.
func (c *Centre) mergeHosts() {
	hs := slices.Concat(c.Summary.Hosts, c.listed)
	if c.held == 0 {
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

func byHost(a, b event.Host) int { return cmp.Compare(a.ID, b.ID) }

// HostFor picks the host that a request goes to, spread over the live hosts by
// a hash of the request.
func (c *Centre) HostFor(key uint64) (event.Host, bool) {
	best, found := -1, uint64(0)
	for i, h := range c.Summary.Hosts {
		if h.Draining {
			continue
		}
		if s := rank.Combine(key, rank.Hash(string(h.ID))); best < 0 || s > found {
			best, found = i, s
		}
	}
	if best < 0 {
		return event.Host{}, false
	}
	return c.Summary.Hosts[best], true
}

// newSummaries returns what came to this host since its last digest.
func (tb *Table) newSummaries(now ident.Time) []event.Summary {
	var ss []event.Summary
	for _, c := range tb.centres {
		if c.relay.due {
			ss = append(ss, c.passOn(now))
		}
	}
	return ss
}

// passOn returns the parts of the newest summary that peers need.
func (c *Centre) passOn(now ident.Time) event.Summary {
	r := &c.relay
	s := c.aged(now)
	if !r.hosts {
		s.Hosts, s.HostsKept = nil, true
	}
	if !r.pools {
		s.Pools, s.PoolsKept, s.PoolsAge = nil, true, 0
	}
	if !r.accounts {
		s.Accounts, s.AccountsKept = nil, true
	}
	if !s.HostsKept {
		r.hash = s.HostsHash
	}
	*r = relay{direct: r.direct, inForce: s.InForce, highest: s.Highest, hash: r.hash}
	return s
}

// lacking returns the data centres whose hosts are not known as they are now, as after a
// lost digest. Peers that have them send them with the next digest.
func (tb *Table) lacking() []ident.DataCentre {
	var dcs []ident.DataCentre
	for _, c := range tb.centres {
		if c.lacks() {
			dcs = append(dcs, c.Place.Group())
		}
	}
	return dcs
}

// supply has the hosts that a peer lacks passed on once more, by the host that
// the newest summary came to, so that not every peer answers.
func (tb *Table) supply(dcs []ident.DataCentre) {
	for _, dc := range dcs {
		i, ok := tb.findCentre(dc)
		if ok && tb.centres[i].relay.direct && !tb.centres[i].lacks() {
			tb.centres[i].relay.due, tb.centres[i].relay.hosts = true, true
		}
	}
}
