package route

import (
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// copyCostFactor is the cost of copying a token from another engine, as a part of that of prefilling
// it. It covers copies of prefixes that the engine has evicted from its cache.
const copyCostFactor = 0.5

// applyCopy has a candidate copy a prefix of the prompt from the engine that is preferred for it,
// where that saves prefill.
func (rt *Router) applyCopy(v *view, c *candidate) {
	h, ok := rt.copySource(c.t.ID)
	if !ok || !mech.On(codes.PrefixTransfer) {
		return
	}
	from, ok := v.tb.Target(h.target)
	if !ok || !from.Usable(v.now) {
		return
	}
	prompt := float64(v.q.Request.Prompt)
	left := ident.Tokens(prompt*(1-h.fraction)+copyCostFactor*prompt*h.fraction) + v.q.DeliveredTokens
	c.copyFrom = from
	c.prefillTokens = min(c.prefillTokens, left)
}

// copySource returns the engine from which another one best copies a prefix of a prompt, none where
// that one was sent as much of it by this host. That an engine was sent a prefix is known; that
// the preferred engine caches it is a guess.
func (rt *Router) copySource(to ident.TargetID) (best holder, ok bool) {
	held := 0.0
	for _, h := range rt.warm {
		switch {
		case h.target == to && h.sent:
			held = h.fraction
		case h.target == to:
		case !ok || h.sent && !best.sent || h.sent == best.sent && h.fraction > best.fraction:
			best, ok = h, true
		}
	}
	return best, ok && best.fraction > held
}
