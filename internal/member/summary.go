package member

import (
	"math/bits"
	"slices"
	"strconv"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// summaries returns what this host sends to the other data centres, if it
// speaks for its own. Each summary goes to one host there, which relays it to
// its peers with its digests. The host differs from data centre to data
// centre, so that the relaying is shared out.
func (tb *Table) summaries(now ident.Time) []event.Effect {
	tb.beat.asks = false
	if len(tb.centres) == 0 {
		return nil
	}
	offers := tb.offers(now)
	if !tb.Represents(now) {
		tb.noteOffers(now, offers)
		tb.forgetSent()
		return nil
	}
	base := tb.summary(now)
	var accounts []event.AccountUse
	asked := false
	var effs []event.Effect
	for i, c := range tb.centres {
		s := base
		s.Pools = withOffers(base.Pools, offers, i)
		repeat := c.repeat(now, s)
		to, ok := tb.recipient(now, c)
		if !ok || !tb.leaveOut(now, c, to, &s, repeat) {
			continue
		}
		if !s.AccountsKept && !asked && tb.own.CentreAccounts != nil {
			accounts, asked = tb.own.CentreAccounts(), true
		}
		if !s.AccountsKept {
			s.Accounts = accounts
		}
		c.tries++
		tb.beat.sum++
		s.Seq = tb.beat.sum
		c.given = note(c.given, now, s.Pools)
		effs = append(effs, event.SendSummary{To: to, Summary: s})
	}
	return effs
}

// forgetSent has a host that takes the duty to speak begin with all parts. What
// it told when it last had the duty, another may have replaced since.
func (tb *Table) forgetSent() {
	for _, c := range tb.centres {
		c.sent = lastSent{}
	}
}

// noteOffers takes note of what the host that speaks probably offers now. Each
// host works out the same from the same loads. Without it a host that does not
// speak would use the offer of a data centre that holds one of its own.
func (tb *Table) noteOffers(now ident.Time, offers [][]int) {
	pools := make([]event.Pool, len(tb.pools))
	for i, p := range tb.pools {
		pools[i] = p.Pool
	}
	for i, c := range tb.centres {
		c.given = note(c.given, now, withOffers(pools, offers, i))
	}
}

// lastSent is what the newest summaries to a data centre have told.
type lastSent struct {
	// at is when the last went out, and to whom. Another receiver may lack
	// every part.
	at          ident.Time
	sent        bool
	to          ident.EntryID
	incarnation ident.Incarnation
	inForce     ident.Revision
	highest     ident.Revision
	hosts       uint64
	hostsAt     ident.Time
	pools       uint64
	poolsAt     ident.Time
	accountsAt  ident.Time
}

// leaveOut takes the parts out of a summary that its receiver has, and tells
// whether what is left is worth a message. The pools go out at the slow pace,
// on change, and often while they carry an offer; the accounts at a pace of
// their own; the hosts on change and each wholeEvery, which makes good a
// summary that was lost.
func (tb *Table) leaveOut(now ident.Time, c *Centre, to event.Host, s *event.Summary, repeat bool) bool {
	t := &c.sent
	if t.sent && now.Sub(t.at) < minGap {
		return false
	}
	if t.to != to.ID || t.incarnation != to.Incarnation {
		*t = lastSent{at: t.at, to: to.ID, incarnation: to.Incarnation}
	}
	news := poolNews(s.Pools)
	accounts := !t.sent || now.Sub(t.accountsAt) >= tb.accountsPace()
	pools := !t.sent || now.Sub(t.poolsAt) >= tb.slowPace() || news != t.pools || offers(s.Pools) && now.Sub(t.poolsAt) >= fastEvery
	hosts := !t.sent || s.HostsHash != t.hosts || now.Sub(t.hostsAt) >= wholeEvery
	if !pools && !hosts && !accounts && !repeat && !t.revisionNews(s) {
		return false
	}
	s.HostsKept, s.PoolsKept, s.AccountsKept = !hosts, !pools, !accounts
	if hosts {
		t.hosts, t.hostsAt = s.HostsHash, now
	} else {
		s.Hosts = nil
	}
	if pools {
		t.pools, t.poolsAt = news, now
	} else {
		s.Pools = nil
	}
	if accounts {
		t.accountsAt = now
	}
	t.at, t.sent, t.inForce, t.highest = now, true, s.InForce, s.Highest
	return true
}

// revisionNews tells whether the revisions are worth a summary of their own. The
// lowest is: by it operators are told that a change is in force
// everywhere. Left to the slow pace, that word came up to 7 s late, and an
// operator who waits for it took an accepted change for one that hangs. So is
// the highest, which the other data centre may lack or wait to hear back.
func (t *lastSent) revisionNews(s *event.Summary) bool {
	return s.InForce != t.inForce || s.Highest != t.highest
}

// behind reports whether a data centre has not yet told that it has the highest
// revision.
func (c *Centre) behind(s event.Summary) bool {
	return c.HasSummary && c.Summary.Highest < s.Highest
}

// repeat reports whether a summary goes out again because no answer shows its
// revision, and counts those in vain. The host that a summary goes to may be
// frozen and not yet missed; a change would then reach a data centre that is
// cut off from the platform with the next summary but one. So each of these
// goes to the next host.
func (c *Centre) repeat(now ident.Time, s event.Summary) bool {
	t := &c.sent
	if !t.sent || s.Highest != t.highest || !c.behind(s) {
		c.vain = 0
		return false
	}
	if now.Sub(t.at) < fastEvery {
		return false
	}
	c.vain++
	return true
}

func offers(pools []event.Pool) bool {
	return slices.ContainsFunc(pools, func(p event.Pool) bool { return p.Offer > 0 })
}

// poolNews returns a hash of what another data centre acts on at once: what is
// asked for, the size of the offers by powers of two, so that an offer that
// has lost half is sent anew, and the targets: the work of a region is shared out by
// them, and one whose targets have all gone was sent it for up to seconds.
func poolNews(pools []event.Pool) uint64 {
	h := uint64(0)
	for _, p := range pools {
		h = rank.Join(h, rank.Hash(string(p.Serve.Model), string(p.Serve.Version), string(p.Serve.Adapter), p.Service))
		h = rank.Join(h, rank.Hash(strconv.FormatBool(short(p.Free, p.Slots))))
		h = rank.Join(h, uint64(bits.Len(uint(p.Offer))))
		h = rank.Join(h, demandStep(&p))
		h = rank.Join(h, uint64(p.Targets))
	}
	return h
}

// hashHosts returns a hash of hosts, never zero.
func hashHosts(hosts []event.Host) uint64 {
	h := uint64(1)
	for _, x := range hosts {
		h = rank.Join(h, rank.Hash(string(x.ID), x.CallerURL, x.PeerAddr, strconv.FormatBool(x.Draining)))
		h = rank.Join(h, uint64(x.Incarnation))
	}
	return max(h, 1)
}

// summary returns the state of the own data centre without offers.
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

// liveHosts returns the live hosts of the own data centre by id, this one
// among them.
func (tb *Table) liveHosts(now ident.Time) []event.Host {
	return sortedHosts(append(tb.Peers(now), tb.self))
}

// recipient picks the host of a data centre that a summary goes to: a live one
// that relays, or, where none is known to live, another at each try.
func (tb *Table) recipient(now ident.Time, c *Centre) (event.Host, bool) {
	salt := rank.Hash("recipient", string(tb.self.Place.Group()))
	if c.CutOff(now) {
		if len(c.Hosts) == 0 {
			return event.Host{}, false
		}
		// The speakers of a region that is cut off all count the same tries. If
		// they began at the same host, the summaries of every data centre
		// would come to it in one second after the heal, and it would pass
		// them all on.
		return c.Hosts[(salt+c.tries)%uint64(len(c.Hosts))], true
	}
	if h, ok := c.HostFor(salt); ok {
		return c.after(h, c.vain), true
	}
	if len(c.Hosts) == 0 {
		return event.Host{}, false
	}
	return c.Hosts[0], true
}

// after returns the host n places after another one among those that live.
func (c *Centre) after(h event.Host, n int) event.Host {
	hs := c.Summary.Hosts
	i := slices.IndexFunc(hs, func(x event.Host) bool { return x.ID == h.ID })
	return hs[(i+n)%len(hs)]
}
