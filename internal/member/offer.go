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

// Thresholds and times of offers. The thresholds are percentages of free slots in a pool.
//
// requestPercent lies well below withdrawPercent, and withdrawPercent below offerPercent. So no
// data centre requests and offers capacity at the same time, and one whose load fluctuates around a
// threshold does not flap.
const (
	// A data centre requests capacity at or below requestPercent. It keeps reservePercent for
	// itself, withdraws its offer below withdrawPercent, and starts to offer at offerPercent.
	requestPercent  = 10
	reservePercent  = 20
	withdrawPercent = 25
	offerPercent    = 40
	percent         = 100
	// offerTTL is how long an offer is valid after it was made.
	offerTTL = 5 * time.Second
	// maxTransitTime bounds how long a summary is in transit. The data centre that made an offer
	// assumes that it is still held for this time after offerTTL.
	maxTransitTime = 3 * time.Second
	// maxForwardDelay is how long before the computed time of an offer a request may have been
	// forwarded without being included in it. It covers the network delays of the request and of
	// the offer.
	maxForwardDelay = 200 * time.Millisecond
	// poolRequestTTL is how long a data centre requests a pool without targets after the last
	// request for it. Such a pool is added only while there are fewer than maxPools pools; maxPools
	// also bounds the pools whose forwarded requests are counted for each data centre.
	poolRequestTTL = 10 * time.Second
	maxPools       = 64
)

// heldOffer is an offer that its recipient may still use.
type heldOffer struct {
	id        PoolID
	expiresAt ident.Time
}

// needsCapacity reports whether a data centre requests capacity for a pool.
func needsCapacity(free, slots int) bool { return free*percent <= slots*requestPercent }

// spareSlots returns the slots that may be offered: the free ones beyond the reserve for local
// requests and for those that may be served only here.
func spareSlots(free, slots int) int {
	reserve := (slots*reservePercent + percent - 1) / percent
	return max(0, free-reserve)
}

// offers returns what each pool offers to each data centre, with a row for each pool and a column
// for each data centre.
func (tb *Table) offers(now ident.Time) [][]int {
	rows := make([][]int, len(tb.pools))
	for i, p := range tb.pools {
		rows[i] = make([]int, len(tb.centres))
		if !p.offering {
			continue
		}
		requesters := tb.requesters(now, p.id)
		n := spareSlots(p.Free, p.Slots)
		if tb.hasPace(p.id) {
			n /= pacedOfferDivisor
		}
		for j, n := range split(n, len(requesters)) {
			rows[i][requesters[j]] = n
		}
	}
	return rows
}

// requesters returns the indexes of the data centres that may get an offer of a pool. The order
// differs between pools, so that small offers do not always go to the same ones. Unless the pace of
// streams is known, a data centre is left out while a host here may still hold an offer of it, so
// that the two do not exchange work.
func (tb *Table) requesters(now ident.Time, id PoolID) []int {
	var is []int
	for i, c := range tb.centres {
		if c.CutOff(now) || !tb.mayOfferTo(now, c, id) {
			continue
		}
		is = append(is, i)
	}
	salt := rank.Hash("askers", string(id.Serve.Model), string(id.Serve.Version), string(id.Serve.Adapter), id.Service)
	slices.SortFunc(is, func(a, b int) int {
		return cmp.Compare(tb.requesterRank(salt, a), tb.requesterRank(salt, b))
	})
	return is
}

// mayOfferTo reports whether a data centre may get an offer of a pool. If the pace of streams is
// known, the data centre need not request it, which takes a round trip through both
// representatives.
func (tb *Table) mayOfferTo(now ident.Time, c *Centre, id PoolID) bool {
	if tb.hasPace(id) {
		return c.Pool(id) != nil
	}
	return c.requestedPool(id) != nil && !holdsOffer(c.offersReceived, now, id)
}

func (tb *Table) requesterRank(salt uint64, i int) uint64 {
	return rank.Combine(salt, rank.Hash(string(tb.centres[i].Place.Group())))
}

// split divides n into k parts that add up to n and differ by at most one.
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

// recordOffers adds the offers in pools to the held ones and drops those that have expired.
func recordOffers(held []heldOffer, now ident.Time, pools []event.Pool) []heldOffer {
	held = slices.DeleteFunc(held, func(g heldOffer) bool { return g.expiresAt < now })
	expiresAt := now.Add(offerTTL + maxTransitTime)
	for _, p := range pools {
		if p.Offer == 0 {
			continue
		}
		id := PoolID{p.Serve, p.Service}
		i := slices.IndexFunc(held, func(g heldOffer) bool { return g.id == id })
		if i < 0 {
			held = append(held, heldOffer{id, expiresAt})
			continue
		}
		held[i].expiresAt = expiresAt
	}
	return held
}

func holdsOffer(held []heldOffer, now ident.Time, id PoolID) bool {
	return slices.ContainsFunc(held, func(g heldOffer) bool { return g.id == id && g.expiresAt >= now })
}

// RemainingOffer returns how many more requests this host may forward to a data centre: its share
// of an unexpired offer, less what it has sent since the offer was made. It is zero while this data
// centre has spare capacity of its own or, unless the pace of streams is known, while the other may
// hold an offer of this one.
func (tb *Table) RemainingOffer(now ident.Time, dc ident.DataCentre, id PoolID) int {
	i, ok := tb.findCentre(dc)
	if !ok {
		return 0
	}
	c := tb.centres[i]
	p := c.Pool(id)
	if p == nil || p.Offer <= 0 || c.poolsAge(now) > offerTTL || !tb.hasPace(id) && holdsOffer(c.offersMade, now, id) {
		return 0
	}
	if own, ok := tb.pool(id); ok && own.offering {
		return 0
	}
	share := tb.ownShare(now, dc, p.Offer)
	ramped := int(ramp(now.Sub(c.reachableSince))*float64(share) + 0.999999)
	return max(0, min(share, ramped)-tb.unreportedInFlight(now, c, id))
}

// RemainingSpare returns how many more requests this host may forward to a data centre without an
// offer: its share of the spare capacity in the newest summary of that data centre, less what it
// has sent since.
func (tb *Table) RemainingSpare(now ident.Time, dc ident.DataCentre, id PoolID) int {
	i, ok := tb.findCentre(dc)
	if !ok {
		return 0
	}
	c := tb.centres[i]
	p := c.Pool(id)
	if p == nil || c.CutOff(now) {
		return 0
	}
	return max(0, tb.ownShare(now, dc, spareSlots(p.Free, p.Slots))-tb.unreportedInFlight(now, c, id))
}

// PeerCount returns the number of other entry hosts of this data centre that are known, whether
// they can be reached or not.
func (tb *Table) PeerCount() int { return len(tb.peers) }

// HostCount returns the number of entry hosts known to this one, including itself.
func (tb *Table) HostCount() int {
	n := 1 + len(tb.peers)
	for _, c := range tb.centres {
		n += len(c.Hosts)
	}
	return n
}

// unreportedInFlight returns how many of the requests that this host has in flight at a data centre
// are not included in its offer.
//
// Slots that requests from here occupied when the offer was made are not counted. If the offer is
// older than the window of recorded sends, every request in flight is counted.
func (tb *Table) unreportedInFlight(now ident.Time, c *Centre, id PoolID) int {
	running := tb.forwardedInFlight(c.Place.Group(), id)
	from := c.poolsMadeAt.Add(-maxForwardDelay)
	p := c.forwardWindow(id)
	if p == nil || now.Sub(from) > load.WindowSpan {
		return running
	}
	net, _ := p.sends.Since(now, from)
	return min(net, running)
}

// forwardWindow counts the requests of a pool that were recently forwarded to a data centre.
type forwardWindow struct {
	id    PoolID
	sends load.SendWindow
}

func (c *Centre) forwardWindow(id PoolID) *forwardWindow {
	i := slices.IndexFunc(c.forwarded, func(p *forwardWindow) bool { return p.id == id })
	if i < 0 {
		return nil
	}
	return c.forwarded[i]
}

// recordForwarded records that a request is forwarded (n = 1) or that it has ended (n = -1).
func (tb *Table) recordForwarded(dc ident.DataCentre, id PoolID, n int) {
	i, ok := tb.findCentre(dc)
	if !ok {
		return
	}
	c := tb.centres[i]
	p := c.forwardWindow(id)
	if p == nil {
		if len(c.forwarded) >= maxPools {
			return
		}
		p = &forwardWindow{id: id}
		c.forwarded = append(c.forwarded, p)
	}
	p.sends.Add(tb.lastAdvance, n, 0)
}

// ownShare returns this host's share of an offer to its data centre. The live hosts split the offer
// evenly, and the remainder goes to those with the highest rank.
func (tb *Table) ownShare(now ident.Time, dc ident.DataCentre, offer int) int {
	ownRank := rank.Hash("offer", string(dc), string(tb.self.ID))
	hosts, before := 1, 0
	for _, p := range tb.peers {
		if !p.live(now) || p.host.Draining {
			continue
		}
		hosts++
		if rank.Hash("offer", string(dc), string(p.host.ID)) > ownRank {
			before++
		}
	}
	share := offer / hosts
	if before < offer%hosts {
		share++
	}
	return share
}

func (tb *Table) forwardedIndex(dc ident.DataCentre, id PoolID) (int, bool) {
	return slices.BinarySearchFunc(tb.forwarded, id, func(u event.ForwardedUse, id PoolID) int {
		return cmp.Or(cmp.Compare(u.DataCentre, dc), comparePools(PoolID{u.Serve, u.Service}, id))
	})
}

func (tb *Table) forwardedInFlight(dc ident.DataCentre, id PoolID) int {
	i, ok := tb.forwardedIndex(dc, id)
	if !ok {
		return 0
	}
	return tb.forwarded[i].Running
}

// ForwardStarted records that a request is forwarded to a data centre. This data centre then
// withdraws its own offer of the pool.
func (tb *Table) ForwardStarted(dc ident.DataCentre, id PoolID) {
	i, ok := tb.forwardedIndex(dc, id)
	if !ok {
		tb.forwarded = slices.Insert(tb.forwarded, i, event.ForwardedUse{DataCentre: dc, Serve: id.Serve, Service: id.Service})
	}
	tb.forwarded[i].Running++
	tb.recordForwarded(dc, id, 1)
	if p, ok := tb.pool(id); ok && p.offering {
		p.offering = false
		tb.heartbeat.summaryDue = true
	}
}

// ForwardEnded records the end of a forwarded request.
func (tb *Table) ForwardEnded(dc ident.DataCentre, id PoolID) {
	i, ok := tb.forwardedIndex(dc, id)
	if !ok {
		return
	}
	tb.forwarded[i].Running--
	tb.recordForwarded(dc, id, -1)
	if tb.forwarded[i].Running == 0 {
		tb.forwarded = slices.Delete(tb.forwarded, i, i+1)
	}
}
