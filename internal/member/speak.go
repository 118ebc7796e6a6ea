package member

import (
	"math/bits"
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
	if !tb.Speaks(now) {
		tb.noteOffers(now, offers)
		return nil
	}
	base := tb.summary(now)
	var accounts []event.AccountUse
	var effs []event.Effect
	for i, c := range tb.centres {
		s := base
		s.Pools = withOffers(base.Pools, offers, i)
		key := newsOf(s)
		if !tb.summaryDue(now, c, s, key) {
			continue
		}
		to, ok := tb.recipient(now, c)
		if !ok {
			continue
		}
		if len(effs) == 0 && tb.own.CentreAccounts != nil {
			accounts = tb.own.CentreAccounts()
		}
		s.Accounts = accounts
		c.sentAt, c.sent, c.sentKey = now, true, key
		c.tries++
		tb.beat.sum++
		s.Seq = tb.beat.sum
		c.given = note(c.given, now, s.Pools)
		effs = append(effs, event.SendSummary{To: to, Summary: s})
	}
	return effs
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

// summaryDue tells whether a summary goes to a data centre now: on change,
// often while it carries an offer, and seldom otherwise.
func (tb *Table) summaryDue(now ident.Time, c *Centre, s event.Summary, key uint64) bool {
	if !c.sent {
		return true
	}
	age := now.Sub(c.sentAt)
	if age < minGap {
		return false
	}
	if key != c.sentKey || age >= tb.slowPace() {
		return true
	}
	for _, p := range s.Pools {
		if p.Offer > 0 && age >= fastEvery {
			return true
		}
	}
	return false
}

// newsOf returns a hash of what another data centre acts on at once: the
// highest revision, the hosts, what is asked for, and the size of the offers by
// powers of two, so that an offer that has lost half is sent anew. The lowest
// revision is news too: by it operators are told that a change is in force
// everywhere. Left to the slow pace, that word came up to 7 s late, and an
// operator who waits for it took an accepted change for one that hangs.
func newsOf(s event.Summary) uint64 {
	h := rank.Join(uint64(s.Highest), uint64(s.InForce))
	for _, x := range s.Hosts {
		h = rank.Join(h, rank.Hash(string(x.ID), strconv.FormatBool(x.Leaving)))
		h = rank.Join(h, uint64(x.Incarnation))
	}
	for _, p := range s.Pools {
		h = rank.Join(h, rank.Hash(string(p.Serve.Model), string(p.Serve.Version), string(p.Serve.Adapter), p.Service))
		h = rank.Join(h, rank.Hash(strconv.FormatBool(short(p.Free, p.Slots))))
		h = rank.Join(h, uint64(bits.Len(uint(p.Offer))))
	}
	return h
}

// summary returns the state of the own data centre without offers.
func (tb *Table) summary(now ident.Time) event.Summary {
	low, high := tb.Revisions(now)
	s := event.Summary{
		From: tb.self.ID, Place: tb.self.Place, Incarnation: tb.self.Incarnation,
		InForce: low, Highest: high, Hosts: tb.liveHosts(now),
	}
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
	salt := rank.Hash("recipient", string(tb.self.Place.DataCentre))
	if c.CutOff(now) {
		if len(c.Hosts) == 0 {
			return event.Host{}, false
		}
		return c.Hosts[c.tries%uint64(len(c.Hosts))], true
	}
	if h, ok := c.HostFor(salt); ok {
		return h, true
	}
	if len(c.Hosts) == 0 {
		return event.Host{}, false
	}
	return c.Hosts[0], true
}
