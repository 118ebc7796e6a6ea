package route

import (
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// copyCost is what it costs to copy a token from another engine, as a part of what it
// costs to read it. The copy itself takes a few hundredths of the time. But the engine
// may have dropped the beginning, and it keeps what it is asked for: with 0.1 so many
// requests went elsewhere that the usual engines held little, and 0.538 of what callers
// are worth was earned, with 0.5 0.550 (64 hosts, a day of 34 s with failures).
const copyCost = 0.5

// copied has a candidate copy the beginning of a prompt from the engine that is usual
// for it, where that saves reading.
//
// Reading is what slows down all streams of an engine. Where the usual engine is too busy
// for one more request, another would read the beginning once more; engines hand it
// to each other in milliseconds.
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

// source returns the engine that another one best copies the beginning of a prompt from,
// none where that one was sent as much of it by this host.
//
// What this host has sent is known, that the usual engine holds it is a guess: it may
// have been too busy when the beginning was read elsewhere. The usual engine itself was
// given 152 long beginnings a minute to read that another one nearby held.
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
