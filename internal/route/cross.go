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

// Latencies and bounds of forwarding to other data centres.
const (
	// interRegionRTT and intraRegionRTT are the assumed round-trip times between
	// regions and within one.
	interRegionRTT = 160 * time.Millisecond
	intraRegionRTT = 2 * time.Millisecond
	// startCrossingFactor multiplies the weight of a crossing unless one to the
	// same pool is recent. It provides hysteresis: starting to cross needs a larger
	// gain than continuing.
	startCrossingFactor = 1.25
	// minGainSeconds is the least gain for which a request is forwarded; smaller
	// ones are within the error of the prediction.
	minGainSeconds = 0.05
	// crossingTTL is how long a crossing counts as recent.
	crossingTTL = 5 * time.Second
	// maxRecentCrossings bounds the recent crossings that are kept.
	maxRecentCrossings = 256
)

// remoteChoice returns the cheapest data centre to forward a request to. Its cost
// must be below the given fraction of that of the best local choice, by at least
// minGainSeconds. A nil local sets no limit.
func (rt *Router) remoteChoice(v *view, local *candidate, costFactor float64) (Decision, bool) {
	limit := math.Inf(1)
	if local != nil {
		limit = costFactor * local.cost.sum()
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
	h, _ := v.tb.ForwardHost(v.now, best, v.key)
	return Decision{
		Host: h, Centre: best.Place.Group(), Pool: poolID(pool),
		Wait: remoteTTFT(v, best, pool), EventInterval: toDuration(secondsFor(1, pool.DecodeRate)),
	}, true
}

// remoteCostFactor returns the fraction of the cost of the best local choice that the cost of
// another data centre must not reach. Load reports lag, so with a fixed fraction all work would
// oscillate between the data centres with the fastest streams. For a request of a route that needs
// an engine and has a local target, the fraction is therefore derived from a hash, so that the
// probability of forwarding grows with the gain: one half at half the local cost, zero at equal
// costs.
func (rt *Router) remoteCostFactor(v *view, best *candidate) float64 {
	if best == nil || v.q.Profile.Route == nil || !v.q.needsEngine() {
		return 1
	}
	return rank.Unit(rank.Mix(v.key))
}

// centreCost returns the cost of a request at another data centre, with the weight
// of a continued crossing. It assumes that no target there caches the prompt.
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
	k.unfinished = unfinishedCostSeconds * endRisk(v, remoteTTFT(v, c, p), toDuration(secondsFor(1, p.DecodeRate)))
	return k
}

// withStartFactor raises the crossing cost by startCrossingFactor unless requests of the pool
// have crossed recently.
func (rt *Router) withStartFactor(v *view, c *member.Centre, p *event.Pool, k cost) cost {
	if k.crossing > 0 && !rt.recentlyCrossed(v.now, c.Place.Group(), poolID(p)) {
		k.crossing *= startCrossingFactor
	}
	return k
}

// poolSlotUse returns the fraction of its slots that a pool has in use.
func poolSlotUse(p *event.Pool) float64 {
	if p.Slots <= 0 {
		return 1
	}
	return 1 - float64(p.Free)/float64(p.Slots)
}

func remoteTTFT(v *view, c *member.Centre, p *event.Pool) time.Duration {
	ttft := p.Wait + rtt(v, c)
	if v.q.needsEngine() {
		ttft += toDuration(secondsFor(float64(v.q.Request.Prompt+v.q.DeliveredTokens), p.PrefillRate))
	}
	return ttft
}

func rtt(v *view, c *member.Centre) time.Duration {
	if c.Place.Region == v.localRegion {
		return intraRegionRTT
	}
	return interRegionRTT
}

// recentlyCrossed reports whether a request of a pool was forwarded to a data
// centre within crossingTTL.
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

// minCentreCost returns a lower bound of the cost at any pool of a data centre.
func minCentreCost(v *view, c *member.Centre) float64 {
	least := math.Inf(1)
	for modelIndex := range modelCount(&v.q.Profile) {
		for i := range c.Summary.Pools {
			p := &c.Summary.Pools[i]
			if p.Offer <= 0 && !v.noLocalTarget || !poolMatches(&v.q.Profile, p, modelIndex) {
				continue
			}
			k := centreCost(v, c, p)
			least = min(least, k.sum())
		}
	}
	return least
}

func poolID(p *event.Pool) member.PoolID { return member.PoolID{Serve: p.Serve, Service: p.Service} }
