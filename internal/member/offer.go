package member

import (
	"cmp"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/load"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Marks and times of offers. The marks are parts of the slots of a pool in
// percent.
//
// The mark below which a data centre asks lies well under the one below which
// it withdraws, and that under the one above which it begins to offer. So no
// data centre asks and offers at once, and one whose load swings about a mark
// does not flap.
const (
	askMark      = 10
	reserveMark  = 20
	withdrawMark = 25
	offerMark    = 40
	percent      = 100
	// offerLife is how long an offer holds from when it was made.
	offerLife = 5 * time.Second
	// transit bounds the time that a summary is under way. A giver counts its offer as held for
	// this much longer than its life.
	transit = 3 * time.Second
	// wayLag bounds the time from when a request is sent to when an offer can
	// know of it, beyond the time that the offer was under way: the ways of
	// both.
	wayLag = 200 * time.Millisecond
	// wantLife is how long a pool without a target is asked for after the
	// last request for it, maxWants how many such pools there may be.
	wantLife = 10 * time.Second
	maxWants = 64
)

// given is an offer that may still be held by another data centre.
type given struct {
	id    PoolID
	until ident.Time
}

// short reports whether a pool asks for help.
func short(free, slots int) bool { return free*percent <= slots*askMark }

// spare returns the slots that may be offered: those free beyond the reserve
// for own and home-bound work.
func spare(free, slots int) int {
	reserve := (slots*reserveMark + percent - 1) / percent
	return max(0, free-reserve)
}

// offers returns what each pool offers to each data centre, as a row for each
// pool and a column for each data centre.
func (tb *Table) offers(now ident.Time) [][]int {
	rows := make([][]int, len(tb.pools))
	for i, p := range tb.pools {
		rows[i] = make([]int, len(tb.centres))
		if !p.offering {
			continue
		}
		askers := tb.askers(now, p.id)
		n := spare(p.Free, p.Slots)
		if tb.hasPace(p.id) {
			n /= pacedOfferDivisor
		}
		for j, n := range split(n, len(askers)) {
			rows[i][askers[j]] = n
		}
	}
	return rows
}

// askers returns the data centres that ask for a pool, as indexes, in an order
// of their own for each pool, so that small offers do not always go to the
// same ones. One whose own offer some host here may still hold is left out, so that
// the two don't swap work.
func (tb *Table) askers(now ident.Time, id PoolID) []int {
	var is []int
	for i, c := range tb.centres {
		if c.CutOff(now) || !tb.asked(now, c, id) {
			continue
		}
		is = append(is, i)
	}
	salt := rank.Hash("askers", string(id.Serve.Model), string(id.Serve.Version), string(id.Serve.Adapter), id.Service)
	slices.SortFunc(is, func(a, b int) int {
		return cmp.Compare(tb.askRank(salt, a), tb.askRank(salt, b))
	})
	return is
}

// asked reports whether an offer of a pool is made to a data centre. Where the pace of streams is
// known it need not ask, which would take a round trip by way of both representatives.
func (tb *Table) asked(now ident.Time, c *Centre, id PoolID) bool {
	if tb.hasPace(id) {
		return c.Pool(id) != nil
	}
	return c.requestedPool(id) != nil && !holds(c.offersReceived, now, id)
}

func (tb *Table) askRank(salt uint64, i int) uint64 {
	return rank.Join(salt, rank.Hash(string(tb.centres[i].Place.Group())))
}

// split divides n into k parts that differ by one at most and sum up to n.
func split(n, k int) []int {
	parts := make([]int, k)
	for i := range parts {
		parts[i] = n / k
		if i < n%k {
			parts[i]++
		}
	}
	return parts
}

func withOffers(pools []event.Pool, rows [][]int, column int) []event.Pool {
	out := slices.Clone(pools)
	for i := range out {
		out[i].Offer = rows[i][column]
	}
	return out
}

// note adds the offers among pools to those that may be held until a time.
func note(held []given, now ident.Time, pools []event.Pool) []given {
	held = slices.DeleteFunc(held, func(g given) bool { return g.until < now })
	until := now.Add(offerLife + transit)
	for _, p := range pools {
		if p.Offer == 0 {
			continue
		}
		id := PoolID{p.Serve, p.Service}
		i := slices.IndexFunc(held, func(g given) bool { return g.id == id })
		if i < 0 {
			held = append(held, given{id, until})
			continue
		}
		held[i].until = until
	}
	return held
}

func holds(held []given, now ident.Time, id PoolID) bool {
	return slices.ContainsFunc(held, func(g given) bool { return g.id == id && g.until >= now })
}

// OfferLeft returns how many more requests this host may pass on to a data
// centre: its share of an offer that has not expired, less what it has sent
// since the offer was made. It is zero while the own data centre has spare
// capacity of its own, or while the other may hold an offer of this one.
func (tb *Table) OfferLeft(now ident.Time, dc ident.DataCentre, id PoolID) int {
	i, ok := tb.findCentre(dc)
	if !ok {
		return 0
	}
	c := tb.centres[i]
	p := c.Pool(id)
	if p == nil || p.Offer <= 0 || c.poolsAge(now) > offerLife || !tb.hasPace(id) && holds(c.offersMade, now, id) {
		return 0
	}
	if own, ok := tb.pool(id); ok && own.offering {
		return 0
	}
	share := tb.ownShare(now, dc, p.Offer)
	grown := int(ramp(now.Sub(c.reachableSince))*float64(share) + 0.999999)
	return max(0, min(share, grown)-tb.unseen(now, c, id))
}

// SpareLeft returns how many more requests this host may pass on to a data
// centre without an offer: its share of what that centre counted as spare, less
// what it has sent since.
func (tb *Table) SpareLeft(now ident.Time, dc ident.DataCentre, id PoolID) int {
	i, ok := tb.findCentre(dc)
	if !ok {
		return 0
	}
	c := tb.centres[i]
	p := c.Pool(id)
	if p == nil || c.CutOff(now) {
		return 0
	}
	return max(0, tb.ownShare(now, dc, spare(p.Free, p.Slots))-tb.unseen(now, c, id))
}

// HostCount returns how many entry hosts there are as far as this one knows,
// itself included.
func (tb *Table) HostCount() int {
	n := 1 + len(tb.peers)
	for _, c := range tb.centres {
		n += len(c.Hosts)
	}
	return n
}

// unseen returns how many requests of those under way to a data centre its
// offer does not know of.
//
// Slots that requests from here held when the offer was made are not part of it. An offer that
// is too old to know them is charged with everything under way.
func (tb *Table) unseen(now ident.Time, c *Centre, id PoolID) int {
	running := tb.underWay(c.Place.Group(), id)
	from := c.poolsMadeAt.Add(-wayLag)
	p := c.passedOn(id)
	if p == nil || now.Sub(from) > load.RecentSpan {
		return running
	}
	net, _ := p.recent.Since(now, from)
	return min(net, running)
}

// passed counts the requests of a pool lately forwarded to a data centre.
type passed struct {
	id     PoolID
	recent load.Recent
}

func (c *Centre) passedOn(id PoolID) *passed {
	i := slices.IndexFunc(c.forwarded, func(p *passed) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	return c.forwarded[i]
}

// notePassed records a request that is forwarded, or, with -1, that has ended.
func (tb *Table) notePassed(dc ident.DataCentre, id PoolID, n int) {
	i, ok := tb.findCentre(dc)
	if !ok {
		return
	}
	c := tb.centres[i]
	p := c.passedOn(id)
	if p == nil {
		if len(c.forwarded) >= maxWants {
			return
		}
		p = &passed{id: id}
		c.forwarded = append(c.forwarded, p)
	}
	p.recent.Add(tb.lastAdvance, n, 0)
}

// ownShare is this host's part of an offer to its data centre. The live hosts
// split it, and the odd ones go by rank.
func (tb *Table) ownShare(now ident.Time, dc ident.DataCentre, offer int) int {
	mine := rank.Hash("offer", string(dc), string(tb.self.ID))
	hosts, before := 1, 0
	for _, p := range tb.peers {
		if !p.live(now) || p.host.Draining {
			continue
		}
		hosts++
		if rank.Hash("offer", string(dc), string(p.host.ID)) > mine {
			before++
		}
	}
	share := offer / hosts
	if before < offer%hosts {
		share++
	}
	return share
}

func (tb *Table) awayIndex(dc ident.DataCentre, id PoolID) (int, bool) {
	return slices.BinarySearchFunc(tb.forwarded, id, func(u event.AwayUse, id PoolID) int {
		return cmp.Or(cmp.Compare(u.DataCentre, dc), comparePools(PoolID{u.Serve, u.Service}, id))
	})
}

func (tb *Table) underWay(dc ident.DataCentre, id PoolID) int {
	i, ok := tb.awayIndex(dc, id)
	if !ok {
		return 0
	}
	return tb.forwarded[i].Running
}

// OfferTake counts a request that is passed on to a data centre.
func (tb *Table) OfferTake(dc ident.DataCentre, id PoolID) {
	i, ok := tb.awayIndex(dc, id)
	if !ok {
		tb.forwarded = slices.Insert(tb.forwarded, i, event.AwayUse{DataCentre: dc, Serve: id.Serve, Service: id.Service})
	}
	tb.forwarded[i].Running++
	tb.notePassed(dc, id, 1)
	if p, ok := tb.pool(id); ok && p.offering {
		p.offering = false
		tb.heartbeat.summaryDue = true
	}
}

// OfferGive counts the end of such a request.
func (tb *Table) OfferGive(dc ident.DataCentre, id PoolID) {
	i, ok := tb.awayIndex(dc, id)
	if !ok {
		return
	}
	tb.forwarded[i].Running--
	tb.notePassed(dc, id, -1)
	if tb.forwarded[i].Running == 0 {
		tb.forwarded = slices.Delete(tb.forwarded, i, i+1)
	}
}
