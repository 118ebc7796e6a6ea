package route

import (
	"time"

	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// cost holds the weighted components of a cost in seconds.
type cost struct {
	wait    float64
	prefill float64
	decode  float64
	// unfinished is the risk that a stream is broken off at its deadline.
	unfinished float64
	price      float64
	crossing   float64
}

func (c *cost) sum() float64 {
	return c.wait + c.prefill + c.decode + c.unfinished + c.price + c.crossing
}

// Estimates and bounds used by costs.
const (
	// expectedOutputFraction is the fraction of its token limit that a request is
	// expected to generate.
	expectedOutputFraction = 0.5
	// fullBatchSlowdown is how much slower a full batch decodes than an empty
	// one. It also spreads work over targets that all have free slots.
	fullBatchSlowdown = 0.25
	// maxWarmUse is the slot use, relative to the mean, up to which the cache of
	// a target counts. One slot more is allowed.
	maxWarmUse = 1.25
	// maxWarmUseRouted is the same for routes. Their engines copy a prefix from
	// its preferred engine, which must get enough of the requests to cache it.
	maxWarmUseRouted = 3
	// serviceCallSeconds is the assumed duration of a call of a plain service.
	serviceCallSeconds = 0.2
	// failureCostSeconds is what a failure costs the caller of a route: a retry
	// elsewhere, or the answer.
	failureCostSeconds = 1.0
	// prefillStallWeight is the weight of the time for which a prefill stalls
	// the requests that run at the same engine: each of them stalls for a part of it.
	prefillStallWeight = 0.2
)

// tailWeight returns the weight of the time to the first token. Zero, the value in a
// profile without weights, counts as one: if waiting cost nothing, all work would go
// to one target.
func tailWeight(w rules.Weights) float64 {
	if w.Tail == 0 {
		return 1
	}
	return w.Tail
}

// needsEngine reports whether a request needs an engine: it names a model, or a
// service together with a prompt.
func (q *Query) needsEngine() bool { return q.Profile.Service == "" || q.Request.Prompt > 0 }

// priceCandidates sets the costs of all candidates.
func (rt *Router) priceCandidates(v *view) {
	v.meanUse = 0
	for i := range rt.cands {
		v.meanUse += slotUse(v, rt.cands[i].t)
	}
	if n := len(rt.cands); n > 0 {
		v.meanUse /= float64(n)
	}
	for i := range rt.cands {
		rt.setCost(v, &rt.cands[i])
	}
}

// priceTarget returns a target outside the sample as a candidate with its cost.
func (rt *Router) priceTarget(v *view, t *member.Target) *candidate {
	c := &candidate{t: t}
	rt.setCost(v, c)
	return c
}

// slotUse returns the fraction of its slots that a target has in use.
func slotUse(v *view, t *member.Target) float64 {
	return float64(t.Outstanding(v.now)) / float64(t.Slots())
}

func (rt *Router) setCost(v *view, c *candidate) {
	t, q := c.t, v.q
	c.serve, _ = servedModel(&q.Profile, t.Load.Serves)
	outstanding := t.Outstanding(v.now)
	u := float64(outstanding) / float64(t.Slots())
	prefill, decode := 0.0, serviceCallSeconds
	if q.needsEngine() {
		c.prefillTokens = q.Request.Prompt + q.DeliveredTokens - ident.Tokens(rt.cachedTokens(v, t, u))
		if q.Profile.Route != nil {
			rt.applyCopy(v, c)
		}
		prefill = secondsFor(float64(c.prefillTokens), t.Load.PrefillRate)
		decode = decodeSeconds(q, t.Load.DecodeRate) * (1 + fullBatchSlowdown*u)
	}
	if q.Profile.Route != nil && q.needsEngine() {
		decode = secondsFor(q.ExpectedEvents, t.Load.DecodeRate)
	}
	w := q.Profile.Weights
	tail := tailWeight(w)
	// A target that is still warming up counts with a part of its capacity, but
	// only in the cost: ttft, which admission uses, is not inflated.
	rampedWait := t.Wait(v.now, outstanding, t.Share(v.now))
	c.cost = cost{
		wait:    tail * (rampedWait + q.Backlog).Seconds(),
		prefill: tail * prefill,
		decode:  decode,
		price:   w.Cost * t.Price * (prefill + decode),
	}
	if q.Profile.Route != nil {
		c.cost.prefill += prefillStallWeight * prefill * float64(outstanding)
		c.cost.wait += failureCostSeconds * t.FailureRate(v.now)
	}
	c.ttft = t.Wait(v.now, outstanding, 1) + q.Backlog + toDuration(prefill)
	c.cost.unfinished = unfinishedCostSeconds * endRisk(v, c.ttft, t.EventGap(v.now))
}

// cachedTokens returns how many tokens of the prompt a target probably caches. It
// returns zero for a target whose slot use u is above the bound.
//
// Without the bound, a popular prefix would attract every request that shares it to
// the one target that caches it, however long the queue there. With it, the overflow
// goes to other targets and warms a second one.
func (rt *Router) cachedTokens(v *view, t *member.Target, u float64) float64 {
	bound := maxWarmUse
	if v.q.Profile.Route != nil {
		bound = maxWarmUseRouted
	}
	if u > bound*v.meanUse+1/float64(t.Slots()) {
		return 0
	}
	for _, h := range rt.warm {
		if h.target == t.ID && (h.incarnation == 0 || h.incarnation == t.Incarnation) {
			return h.fraction * float64(v.q.Request.Prompt)
		}
	}
	return 0
}

func decodeSeconds(q *Query, rate float64) float64 {
	return secondsFor(expectedOutputFraction*float64(max(0, q.Request.MaxTokens-q.DeliveredTokens)), rate)
}

// secondsFor returns the time that tokens take at a rate, zero if the rate is unknown.
func secondsFor(tokens, rate float64) float64 {
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	return tokens / rate
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// recentCrossing records the last use of a pool of another data centre, for hysteresis.
type recentCrossing struct {
	centre ident.DataCentre
	pool   member.PoolID
	at     ident.Time
}
