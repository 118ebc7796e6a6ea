package route

import (
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
	h, ok := rt.usual()
	if !ok || h.target == c.t.ID {
		return
	}
	for _, w := range rt.warm {
		if w.target == c.t.ID && w.part >= h.part && w.learned {
			return
		}
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

// usual returns the target that ranks first for the shared beginning of a prompt.
func (rt *Router) usual() (holder, bool) {
	for _, h := range rt.warm {
		if h.first {
			return h, true
		}
	}
	return holder{}, false
}
