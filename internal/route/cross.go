package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Times and bounds of passing on.
const (
	// interRegionRTT and nearTrip are the times of a way there and back, between
	// regions and within one.
	interRegionRTT = 160 * time.Millisecond
	intraRegionRTT = 2 * time.Millisecond
	// startCrossingFactor is how much more than the weight of a crossing must be
	// gained to begin to cross; once begun the weight itself will do.
	startCrossingFactor = 1.25
	// minGainSeconds is what must be gained for any passing on, in seconds: less is
	// within the error of the prediction.
	minGainSeconds = 0.05
	// crossingTTL is how long a crossing counts as begun.
	crossingTTL = 5 * time.Second
	// maxRecentCrossings bounds the crossings remembered.
	maxRecentCrossings = 256
)

// remoteChoice returns the best data centre to pass a request on to, if one is worth
// it against a part of the cost of the best local choice, which is nil where there
// is none.
func (rt *Router) remoteChoice(v *view, local *candidate, part float64) (Decision, bool) {
	limit := math.Inf(1)
	if local != nil {
		limit = part * local.cost.sum()
		if limit <= minGainSeconds {
			return Decision{}, false
		}
	}
	var best *member.Centre
	var pool *event.Pool
	least := math.Inf(1)
	for _, c := range v.tb.Centres(v.now) {
		if _, out := centreRuledOut(v, c, cheapFilters); out {
			continue
		}
		if f := minCentreCost(v, c); f+minGainSeconds >= limit || f >= least {
			continue
		}
		p := usablePool(v, c)
		if p == nil {
			continue
		}
		k := rt.withStartFactor(v, c, p, centreCost(v, c, p))
		if s := k.sum(); s+minGainSeconds < limit && s < least {
			best, pool, least = c, p, s
		}
	}
	if best == nil {
		return Decision{}, false
	}
	h, _ := best.HostFor(v.key)
	return Decision{
		Host: h, Centre: best.Place.Group(), Pool: poolID(pool),
		Wait: remoteTTFT(v, best, pool), EventInterval: toDuration(secondsFor(1, pool.DecodeRate)),
	}, true
}

// remoteCostFactor returns the remoteCostFactor of the cost of the best local choice that another data centre must
// undercut. Loads lag, so that all work would swing to where streams are fastest and back;
// instead a request of a route with a place here is forwarded by a chance that grows with its
// gain: with half the cost elsewhere one in two, with equal costs none.
func (rt *Router) remoteCostFactor(v *view, best *candidate) float64 {
	if best == nil || v.q.Profile.Route == nil || !v.q.needsEngine() {
		return 1
	}
	return rank.Unit(rank.Mix(v.key))
}

// centreCost is the cost of a request at another data centre, with the weight
// of a crossing that goes on. Nothing is warm for it there.
func centreCost(v *view, c *member.Centre, p *event.Pool) cost {
	q := v.q
	w := q.Profile.Weights
	tail := tailWeight(w)
	prefill, decode := 0.0, serviceCallSeconds
	if q.needsEngine() {
		prefill = secondsFor(float64(q.Request.Prompt+q.DeliveredTokens), p.PrefillRate)
		decode = decodeSeconds(q, p.DecodeRate) * (1 + fullBatchSlowdown*poolSlotUse(p))
	}
	if q.Profile.Route != nil && q.needsEngine() {
		decode = secondsFor(q.ExpectedEvents, cmp.Or(p.DecodeRate, v.tb.DecodeRate(v.now, q.Profile.Service)))
	}
	k := cost{
		wait:    tail * (p.Wait + rtt(v, c)).Seconds(),
		prefill: tail * prefill,
		decode:  decode,
		price:   w.Cost * p.Price * (prefill + decode),
	}
	if c.Place.Region != v.localRegion {
		k.crossing = w.Crossing
	}
	return k
}

// withStartFactor adds what must be gained to begin to cross.
func (rt *Router) withStartFactor(v *view, c *member.Centre, p *event.Pool, k cost) cost {
	if k.crossing > 0 && !rt.recentlyCrossed(v.now, c.Place.Group(), poolID(p)) {
		k.crossing *= startCrossingFactor
	}
	return k
}

// poolSlotUse is the part of its slots that a pool has in use.
func poolSlotUse(p *event.Pool) float64 {
	if p.Slots <= 0 {
		return 1
	}
	return 1 - float64(p.Free)/float64(p.Slots)
}

func remoteTTFT(v *view, c *member.Centre, p *event.Pool) time.Duration {
	ready := p.Wait + rtt(v, c)
	if v.q.needsEngine() {
		ready += toDuration(secondsFor(float64(v.q.Request.Prompt+v.q.DeliveredTokens), p.PrefillRate))
	}
	return ready
}

func rtt(v *view, c *member.Centre) time.Duration {
	if c.Place.Region == v.localRegion {
		return intraRegionRTT
	}
	return interRegionRTT
}

// recentlyCrossed reports whether requests of a pool went to a data centre lately.
func (rt *Router) recentlyCrossed(now ident.Time, dc ident.DataCentre, id member.PoolID) bool {
	i := rt.crossingIndex(dc, id)
	return i >= 0 && now.Sub(rt.recentCrossings[i].at) <= crossingTTL
}

func (rt *Router) crossingIndex(dc ident.DataCentre, id member.PoolID) int {
	return slices.IndexFunc(rt.recentCrossings, func(x recentCrossing) bool { return x.centre == dc && x.pool == id })
}

func (rt *Router) recordCrossing(now ident.Time, dc ident.DataCentre, id member.PoolID) {
	if i := rt.crossingIndex(dc, id); i >= 0 {
		rt.recentCrossings[i].at = now
		return
	}
	rt.recentCrossings = slices.DeleteFunc(rt.recentCrossings, func(x recentCrossing) bool { return now.Sub(x.at) > crossingTTL })
	if len(rt.recentCrossings) < maxRecentCrossings {
		rt.recentCrossings = append(rt.recentCrossings, recentCrossing{dc, id, now})
	}
}

// minCentreCost returns a cost that no pool of a data centre undercuts.
func minCentreCost(v *view, c *member.Centre) float64 {
	least := math.Inf(1)
	for want := range modelCount(&v.q.Profile) {
		for i := range c.Summary.Pools {
			p := &c.Summary.Pools[i]
			if p.Offer <= 0 && !v.noLocalTarget || !poolMatches(&v.q.Profile, p, want) {
				continue
			}
			k := centreCost(v, c, p)
			least = min(least, k.sum())
		}
	}
	return least
}

func poolID(p *event.Pool) member.PoolID { return member.PoolID{Serve: p.Serve, Service: p.Service} }
