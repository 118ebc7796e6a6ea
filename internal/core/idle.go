package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/rules"
)

// How long an attempt may be silent that another can be made after.
const (
	// firstPart is the part of the goal that the first byte of a stream may
	// take at the least, and callPart that of the answer to a call: below that
	// the tail of a sound target would be asked twice. What is left of the goal
	// is for the second try to meet it.
	firstPart = 0.75
	callPart  = 1.0 / 3
	// lostPart is how many goals the first byte of a stream may take where the second
	// try could not meet the goal either. Callers bear at least four. In a burst of 1.6
	// times the usual load 253 of 1,384 long prompts were broken off after 0.75 to 1.7 s
	// though no answer was lost, and each was read a second time.
	lostPart = 2.5
	// gapFactor is how many times the goal between two events a stream may
	// pause, and gapLeast the least: an engine that reads a long prompt for
	// somebody else, or puts a request back, pauses for a second and more. Callers
	// bear 4 s; of 130 streams broken off after 1.2 s in 34 s at 90 hosts, 58 were never
	// whole.
	gapFactor = 4
	gapLeast  = 2 * time.Second
)

// patience returns how long an attempt may be silent.
//
// A target may run a request and its answer be lost on the way without a word:
// the connection stands, and nothing comes. The caller would wait until its
// deadline for what another target answers in a fraction of that. Under load all
// answers come late, and to ask twice then would make them later still; so the
// bound follows the times that are usual for the service. Where nothing can be
// tried after it, there is nothing to gain by breaking an attempt off.
func (rd *Reducer) idleTimeouts(r *request, dec route.Decision) event.IdleTimeouts {
	rt := r.profile.Route
	if rt == nil || r.once || r.forwarded || rt.GoalMs <= 0 || r.tries >= rt.MaxAttempts {
		return event.IdleTimeouts{}
	}
	late := rd.slack.LateAfter(r.profile.Name)
	if rt.Kind != rules.Streaming {
		return event.IdleTimeouts{First: dec.Wait + max(late, part(rt.Goal(), callPart))}
	}
	first := part(rt.Goal(), firstPart)
	if late > first && mech.On(codes.LongIdleTimeout) {
		first = max(late, part(rt.Goal(), lostPart))
	}
	return event.IdleTimeouts{
		First: dec.Wait + first,
		Gap:   max(gapFactor*time.Duration(rt.GapMs)*time.Millisecond, gapLeast),
	}
}

func part(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }
