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
	// farTrip and nearTrip are the times of a way there and back, between
	// regions and within one.
	farTrip  = 160 * time.Millisecond
	nearTrip = 2 * time.Millisecond
	// startFactor is how much more than the weight of a crossing must be
	// gained to begin to cross; once begun the weight itself will do.
	startFactor = 1.25
	// minGain is what must be gained for any passing on, in seconds: less is
	// within the error of the prediction.
	minGain = 0.05
	// crossHold is how long a crossing counts as begun.
	crossHold = 5 * time.Second
	// maxCrossed bounds the crossings remembered.
	maxCrossed = 256
)

// abroad returns the best data centre to pass a request on to, if one is worth
// it against a part of the cost of the best local choice, which is nil where there
// is none.
func (rt *Router) abroad(v *view, local *cand, part float64) (Decision, bool) {
	limit := math.Inf(1)
	if local != nil {
		limit = part * local.cost.sum()
		if limit <= minGain {
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
		if f := floor(v, c); f+minGain >= limit || f >= least {
			continue
		}
		p := offered(v, c)
		if p == nil {
			continue
		}
		k := rt.begun(v, c, p, centreCost(v, c, p))
		if s := k.sum(); s+minGain < limit && s < least {
			best, pool, least = c, p, s
		}
	}
	if best == nil {
		return Decision{}, false
	}
	h, _ := best.HostFor(v.key)
	return Decision{
		Host: h, Centre: best.Place.Group(), Pool: poolID(pool),
		Wait: readyAbroad(v, best, pool), Pace: toTime(span(1, pool.DecodeRate)),
	}, true
}

// part returns the part of the cost of the best local choice that another data centre must
// undercut. Loads lag, so that all work would swing to where streams are fastest and back;
// instead a request of a route with a place here is forwarded by a chance that grows with its
// gain: with half the cost elsewhere one in two, with equal costs none.
func (rt *Router) part(v *view, best *cand) float64 {
	if best == nil || v.q.Profile.Route == nil || !v.q.engine() {
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
	prefill, decode := 0.0, serviceTime
	if q.engine() {
		prefill = span(float64(q.Request.Prompt+q.Resume), p.PrefillRate)
		decode = decodeTime(q, p.DecodeRate) * (1 + batchSlow*poolUse(p))
	}
	if q.Profile.Route != nil && q.engine() {
		decode = span(q.Expect, cmp.Or(p.DecodeRate, v.tb.DecodeRate(v.now, q.Profile.Service)))
	}
	k := cost{
		wait:    tail * (p.Wait + trip(v, c)).Seconds(),
		prefill: tail * prefill,
		decode:  decode,
		price:   w.Cost * p.Price * (prefill + decode),
	}
	if c.Place.Region != v.home {
		k.crossing = w.Crossing
	}
	return k
}

// begun adds what must be gained to begin to cross.
func (rt *Router) begun(v *view, c *member.Centre, p *event.Pool, k cost) cost {
	if k.crossing > 0 && !rt.crossing(v.now, c.Place.Group(), poolID(p)) {
		k.crossing *= startFactor
	}
	return k
}

// poolUse is the part of its slots that a pool has in use.
func poolUse(p *event.Pool) float64 {
	if p.Slots <= 0 {
		return 1
	}
	return 1 - float64(p.Free)/float64(p.Slots)
}

func readyAbroad(v *view, c *member.Centre, p *event.Pool) time.Duration {
	ready := p.Wait + trip(v, c)
	if v.q.engine() {
		ready += toTime(span(float64(v.q.Request.Prompt+v.q.Resume), p.PrefillRate))
	}
	return ready
}

func trip(v *view, c *member.Centre) time.Duration {
	if c.Place.Region == v.home {
		return nearTrip
	}
	return farTrip
}

// crossing reports whether requests of a pool went to a data centre lately.
func (rt *Router) crossing(now ident.Time, dc ident.DataCentre, id member.PoolID) bool {
	i := rt.crossedIndex(dc, id)
	return i >= 0 && now.Sub(rt.crossed[i].at) <= crossHold
}

func (rt *Router) crossedIndex(dc ident.DataCentre, id member.PoolID) int {
	return slices.IndexFunc(rt.crossed, func(x crossing) bool { return x.centre == dc && x.pool == id })
}

func (rt *Router) noteCrossing(now ident.Time, dc ident.DataCentre, id member.PoolID) {
	if i := rt.crossedIndex(dc, id); i >= 0 {
		rt.crossed[i].at = now
		return
	}
	rt.crossed = slices.DeleteFunc(rt.crossed, func(x crossing) bool { return now.Sub(x.at) > crossHold })
	if len(rt.crossed) < maxCrossed {
		rt.crossed = append(rt.crossed, crossing{dc, id, now})
	}
}

// floor returns a cost that no pool of a data centre undercuts.
func floor(v *view, c *member.Centre) float64 {
	least := math.Inf(1)
	for want := range wants(&v.q.Profile) {
		for i := range c.Summary.Pools {
			p := &c.Summary.Pools[i]
			if p.Offer <= 0 && !v.stranded || !poolMatches(&v.q.Profile, p, want) {
				continue
			}
			k := centreCost(v, c, p)
			least = min(least, k.sum())
		}
	}
	return least
}

func poolID(p *event.Pool) member.PoolID { return member.PoolID{Serve: p.Serve, Service: p.Service} }
