package route

import (
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// copyCostFactor is the cost of copying a token from another engine, relative to prefilling it. It
// includes copies that fail because the engine has evicted the prefix from its cache.
const copyCostFactor = 0.5

// applyCopy lets a candidate copy a prefix of the prompt from another engine if that reduces
// prefill.
func (rt *Router) applyCopy(v *view, c *candidate) {
	h, ok := rt.copySource(c.t.ID)
	if !ok || !mech.On(codes.PrefixTransfer) {
		return
	}
	from, ok := v.tb.Target(h.target)
	if !ok || !from.Usable(v.now) || from.Build != c.t.Build {
		return
	}
	prompt := float64(v.q.Request.Prompt)
	tokens := ident.Tokens(prompt*(1-h.fraction)+copyCostFactor*prompt*h.fraction) + v.q.DeliveredTokens
	c.copyFrom = from
	c.prefillTokens = min(c.prefillTokens, tokens)
}

// copySource returns the best engine to copy a prefix of the prompt from. It returns false if the
// destination, engine to, probably caches at least as much of it. A preferred engine that is not
// known to cache the prefix ranks last.
func (rt *Router) copySource(to ident.TargetID) (best holder, ok bool) {
	cachedFraction := 0.0
	for _, h := range rt.warm {
		switch {
		case h.target == to && h.cached:
			cachedFraction = h.fraction
		case h.target == to:
		case !ok || h.cached && !best.cached || h.cached == best.cached && h.fraction > best.fraction:
			best, ok = h, true
		}
	}
	return best, ok && best.fraction > cachedFraction
}
