package route

import (
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// copyCost is the cost of copying a token from another engine, as a part of that of prefilling
// it. It covers copies of prefixes that the engine has evicted from its cache.
const copyCost = 0.5

// copied has a candidate copy a prefix of the prompt from the engine that is preferred for it,
// where that saves prefill.
func (rt *Router) copied(v *view, c *cand) {
	h, ok := rt.source(c.t.ID)
	if !ok || !mech.On(codes.PrefixTransfer) {
		return
	}
	from, ok := v.tb.Target(h.target)
	if !ok || !from.Usable(v.now) {
		return
	}
	prompt := float64(v.q.Request.Prompt)
	left := ident.Tokens(prompt*(1-h.part)+copyCost*prompt*h.part) + v.q.Resume
	c.from = from
	c.prefill = min(c.prefill, left)
}

// source returns the engine from which another one best copies a prefix of a prompt, none where
// that one was sent as much of it by this host. That an engine was sent a prefix is known; that
// the preferred engine caches it is a guess.
func (rt *Router) source(to ident.TargetID) (best holder, ok bool) {
	held := 0.0
	for _, h := range rt.warm {
		switch {
		case h.target == to && h.learned:
			held = h.part
		case h.target == to:
		case !ok || h.learned && !best.learned || h.learned == best.learned && h.part > best.part:
			best, ok = h, true
		}
	}
	return best, ok && best.part > held
}
