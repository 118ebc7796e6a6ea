package route

import (
	"time"

	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// cost holds the weighted parts of a cost in seconds.
type cost struct {
	wait     float64
	prefill  float64
	decode   float64
	price    float64
	crossing float64
}

func (c *cost) sum() float64 { return c.wait + c.prefill + c.decode + c.price + c.crossing }

// Guesses and bounds of costs.
const (
	// expectedOutputFraction is the part of the tokens that a request may generate and is
	// expected to.
	expectedOutputFraction = 0.5
	// fullBatchSlowdown is how much slower a full batch decodes than an empty one. It
	// also spreads work over targets that all have free slots.
	fullBatchSlowdown = 0.25
	// maxWarmUse is how much fuller than the mean a target may be and still
	// draw work by its cache.
	maxWarmUse = 1.25
	// maxWarmUseRouted is the same for routes, whose engines copy a prefix from the one that is
	// preferred for it, which must get enough of its requests to cache it.
	maxWarmUseRouted = 3
	// serviceCallSeconds stands for the time of a call of a plain service.
	serviceCallSeconds = 0.2
	// failureCostSeconds is what a failure costs the caller of a route, in seconds: a
	// second try elsewhere, or the answer.
	failureCostSeconds = 1.0
	// prefillStallWeight is the weight of what reading a prompt costs the requests
	// that run at the same engine: each of them stands still for a part of it.
	prefillStallWeight = 0.2
)

// tailWeight is the weight of the time to the first token. Zero, which is what
// a profile without weights has, counts as one: if waiting cost nothing, all
// work would go to one target.
func tailWeight(w rules.Weights) float64 {
	if w.Tail == 0 {
		return 1
	}
	return w.Tail
}

// needsEngine reports whether a request is for an needsEngine: it has a model, or names a
// service and brings a prompt.
func (q *Query) needsEngine() bool { return q.Profile.Service == "" || q.Request.Prompt > 0 }

// priceCandidates fills in the costs of the candidates.
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

// priceTarget returns the cost of one target outside the sample.
func (rt *Router) priceTarget(v *view, t *member.Target) *candidate {
	c := &candidate{t: t}
	rt.setCost(v, c)
	return c
}

// slotUse is the part of its slots that a target has in slotUse.
func slotUse(v *view, t *member.Target) float64 {
	return float64(t.Outstanding(v.now)) / float64(t.Slots())
}

func (rt *Router) setCost(v *view, c *candidate) {
	t, q := c.t, v.q
	c.serve, _ = servedModel(&q.Profile, t.Load.Serves)
	before := t.Outstanding(v.now)
	u := float64(before) / float64(t.Slots())
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
	// A cold target counts as smaller than it is, for the cost only: the
	// prediction that admission goes by is not inflated.
	ramped := t.Wait(v.now, before, t.Share(v.now))
	c.cost = cost{
		wait:    tail * (ramped + q.Backlog).Seconds(),
		prefill: tail * prefill,
		decode:  decode,
		price:   w.Cost * t.Price * (prefill + decode),
	}
	if q.Profile.Route != nil {
		c.cost.prefill += prefillStallWeight * prefill * float64(before)
		c.cost.wait += failureCostSeconds * t.Faults(v.now)
	}
	c.ttft = t.Wait(v.now, before, 1) + q.Backlog + toDuration(prefill)
}

// cachedTokens returns how many tokens of the prompt a target probably holds, none
// for one above its bound.
//
// Without the bound a popular prefix would draw every request that shares it
// to the one target that holds it, however long its queue; with it the
// overflow goes elsewhere and warms a second target.
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

// secondsFor is the time that tokens take at a rate, zero where the rate is unknown.
func secondsFor(tokens, rate float64) float64 {
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	return tokens / rate
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// recentCrossing is a use of an offer, for the hysteresis.
type recentCrossing struct {
	centre ident.DataCentre
	pool   member.PoolID
	at     ident.Time
}
