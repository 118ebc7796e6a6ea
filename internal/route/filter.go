package route

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// targetFilter is one declared reason to rule a target out.
type targetFilter struct {
	code     codes.Code
	rulesOut func(v *view, t *member.Target) bool
}

// targetFilters is the table that each target goes through, in order. Room
// comes last: a target that only lacks room is worth waiting for.
var targetFilters = [...]targetFilter{
	{codes.FilterKind, wrongKind},
	{codes.FilterModel, lacksModel},
	{codes.FilterResidency, targetOutside},
	{codes.FilterLeaving, func(_ *view, t *member.Target) bool { return t.Drains || t.Gone }},
	{codes.FilterClosed, func(_ *view, t *member.Target) bool { return t.Closed }},
	{codes.FilterHealth, func(v *view, t *member.Target) bool { return t.Suspect(v.now) && !v.allowSuspect }},
	{codes.FilterTried, func(v *view, t *member.Target) bool { return v.q.TriedTargets.Has(t.ID) }},
	{codes.FilterBound, func(v *view, t *member.Target) bool { return v.q.OnlyTarget != "" && t.ID != v.q.OnlyTarget }},
	{codes.FilterCold, func(v *view, t *member.Target) bool { return v.tb.ColdFull(v.now, t) }},
	{codes.FilterFull, targetFull},
}

// centreFilter is one declared reason to rule another data centre out.
type centreFilter struct {
	code     codes.Code
	rulesOut func(v *view, c *member.Centre) bool
}

// centreFilters is the table that each other data centre goes through, in
// order.
var centreFilters = [...]centreFilter{
	{codes.FilterResidency, centreOutside},
	{codes.FilterHops, crossingsExhausted},
	{codes.FilterTried, func(v *view, c *member.Centre) bool { return v.q.TriedCentres.Has(c.Place.Group()) }},
	{codes.FilterBound, func(v *view, _ *member.Centre) bool { return v.q.OnlyTarget != "" }},
	{codes.FilterHealth, func(v *view, c *member.Centre) bool { return c.CutOff(v.now) || !hasActiveHost(c) }},
	{codes.FilterModel, func(v *view, c *member.Centre) bool { return !hasPool(&v.q.Profile, c) }},
	{codes.FilterOffer, noOffer},
}

// cheapFilters are those that look at nothing but the data centre itself. A
// decision asks the rest, the offer, only of data centres that cost less than
// the best so far.
var cheapFilters = centreFilters[:len(centreFilters)-1]

func targetRuledOut(v *view, t *member.Target) (codes.ID, bool) {
	for i := range targetFilters {
		if targetFilters[i].rulesOut(v, t) {
			return targetFilters[i].code.ID, true
		}
	}
	return "", false
}

func centreRuledOut(v *view, c *member.Centre, filters []centreFilter) (codes.ID, bool) {
	for i := range filters {
		if filters[i].rulesOut(v, c) {
			return filters[i].code.ID, true
		}
	}
	return "", false
}

func wrongKind(v *view, t *member.Target) bool {
	if v.q.Profile.Service != "" {
		return t.Kind != event.Service || t.Service != v.q.Profile.Service
	}
	return t.Kind != event.Engine
}

func lacksModel(v *view, t *member.Target) bool {
	if v.q.Profile.Service != "" {
		return false
	}
	_, ok := servedModel(&v.q.Profile, t.Load.Serves)
	return !ok
}

// servedModel returns the first model of the profile among those that are loaded.
func servedModel(p *rules.Profile, loaded []rules.Serve) (rules.Serve, bool) {
	for i := range p.Models {
		for j := range loaded {
			if serveMatches(&p.Models[i], &loaded[j]) {
				return loaded[j], true
			}
		}
	}
	return rules.Serve{}, false
}

func serveMatches(want, have *rules.Serve) bool {
	if want.Model != have.Model || want.Adapter != have.Adapter {
		return false
	}
	return want.Version == "" || want.Version == have.Version
}

func targetOutside(v *view, t *member.Target) bool { return outsideResidency(v, t.Place.Region) }

func centreOutside(v *view, c *member.Centre) bool { return outsideResidency(v, c.Place.Region) }

// outsideResidency asks the residency rule, once for each run of the same region: all
// own targets stand in one.
func outsideResidency(v *view, r ident.Region) bool {
	if !v.residencyCached || v.residencyRegion != r {
		v.residencyCached, v.residencyRegion, v.residencyDenied = true, r, !v.q.Profile.Allows(v.q.Client, r)
	}
	return v.residencyDenied
}

// targetFull reports whether a target has neither a slot nor a place in its queue, or
// whether a request would wait there for too much of its time.
func targetFull(v *view, t *member.Target) bool {
	out := t.Outstanding(v.now)
	if out >= maxOutstanding(v.q, t) {
		return true
	}
	if exceedsPromptMemory(v, t) {
		return true
	}
	hold := waitBound(v.q)
	return hold > 0 && t.Wait(v.now, out, 1) > hold
}

// The memory of an engine that long prompts may take.
const (
	// maxPromptMemoryFraction is the part of an engine's memory that the prompts of its requests may take
	// before another long one is queued. The rest is for generated tokens, short prompts and
	// cached prefixes. Prompts are counted whole, though shared prefixes are stored once.
	maxPromptMemoryFraction = 0.6
	// minLongPrompt is the length in tokens from which on a prompt counts as long.
	minLongPrompt = 2048
)

// exceedsPromptMemory reports whether a long prompt would take memory that an engine needs for cached
// prefixes and running streams. Such prompts are queued here until others have ended, or
// refused while they can still come back.
func exceedsPromptMemory(v *view, t *member.Target) bool {
	q := v.q
	if !mech.On(codes.PromptMemory) || q.Profile.Route == nil || t.Memory == 0 || q.Request.Prompt < minLongPrompt {
		return false
	}
	return float64(t.Held()+q.Request.Prompt) > maxPromptMemoryFraction*float64(t.Memory)
}

// The part of the time to a first byte that a request of a route may be
// predicted to wait at a target, and the least time that it may.
//
// An engine takes long prompts in the order of their coming, at most a few of
// them a second. What is sent beyond that waits at the engine, where neither a
// more urgent request passes it nor a better place that becomes free can draw
// it away. So it waits here instead.
const (
	waitBoundFraction = 0.5
	minWaitBound      = 150 * time.Millisecond
)

// waitBound returns the wait at a target past which a request waits here, zero for
// none.
func waitBound(q *Query) time.Duration {
	if q.Profile.Route == nil || q.Profile.Route.GoalMs <= 0 {
		return 0
	}
	return max(minWaitBound, time.Duration(waitBoundFraction*float64(q.Profile.Route.Goal())))
}

// The queue that a target is allowed, as a part of its slots, and the reserve
// that work from other regions may not take.
const (
	queueDivisor   = 4
	reserveDivisor = 5
	// callQueueFraction is the part of its goal that a call may wait in the queue of its target.
	callQueueFraction = 0.25
)

// maxOutstanding returns how many requests a target may have outstanding for a request to be sent
// there.
//
// A small queue at the target keeps its slots busy while reports lag; a longer one would bind
// work to it that others could begin earlier. Work from another region gets no queue and leaves
// a reserve for home work, which has nowhere else to go.
//
// Calls that are short beside their goal may queue at the target for a quarter of it, behind as
// many as have slots at the most, since many hosts before few slots do not see when one gets
// free.
func maxOutstanding(q *Query, t *member.Target) int {
	slots := t.Slots()
	if rt := q.Profile.Route; mech.On(codes.CallQueue) && rt != nil && !q.needsEngine() && t.Run() > 0 && rt.GoalMs > 0 {
		turns := callQueueFraction * float64(rt.Goal()) / float64(t.Run())
		return slots + min(max(1, int(turns*float64(slots))), slots)
	}
	if q.Crossings > 0 {
		return slots - slots/reserveDivisor
	}
	return slots + max(1, slots/queueDivisor)
}

// crossingsExhausted reports whether a request may not be passed on to a data centre. One
// that another host passed on may only go to another region, and only while
// its profile has crossings left, so that each passage uses up what is bounded
// and no request circulates without end.
func crossingsExhausted(v *view, c *member.Centre) bool {
	if c.Place.Region == v.localRegion {
		return v.q.Forwarded
	}
	return v.q.Crossings >= v.q.Profile.MaxCrossings
}

func hasActiveHost(c *member.Centre) bool {
	for i := range c.Summary.Hosts {
		if !c.Summary.Hosts[i].Draining {
			return true
		}
	}
	return false
}

// poolMatches reports whether a pool serves a profile, and whether as a model of
// the given rank in the profile's list.
func poolMatches(p *rules.Profile, pool *event.Pool, want int) bool {
	if p.Service != "" {
		return pool.Service == p.Service
	}
	return pool.Service == "" && serveMatches(&p.Models[want], &pool.Serve)
}

// modelCount returns how many models a profile lists, one for a service.
func modelCount(p *rules.Profile) int {
	if p.Service != "" {
		return 1
	}
	return len(p.Models)
}

func hasPool(p *rules.Profile, c *member.Centre) bool {
	for want := range modelCount(p) {
		for i := range c.Summary.Pools {
			if poolMatches(p, &c.Summary.Pools[i], want) {
				return true
			}
		}
	}
	return false
}

func noOffer(v *view, c *member.Centre) bool { return usablePool(v, c) == nil }

// poolWithoutOffer returns the pool of a data centre that a request may use without an offer: one of
// its home, which must accept it like its own callers', or one with spare capacity where the
// own data centre has no target for it at all.
func poolWithoutOffer(v *view, c *member.Centre) *event.Pool {
	if v.q.Profile.Route == nil || !v.noLocalTarget {
		return nil
	}
	homeless := outsideResidency(v, v.localRegion)
	for i := range c.Summary.Pools {
		p := &c.Summary.Pools[i]
		if p.Slots == 0 || !poolMatches(&v.q.Profile, p, 0) {
			continue
		}
		if homeless || v.tb.SpareLeft(v.now, c.Place.Group(), poolID(p)) > 0 || startsWithinGoal(v, c, p) {
			return p
		}
	}
	return nil
}

// startsWithinGoal reports whether a request is predicted to start at another data centre within its
// goal. An evacuated data centre brings more work than the others count as spare; they refuse
// what they can't begin in time.
func startsWithinGoal(v *view, c *member.Centre, p *event.Pool) bool {
	if c.CutOff(v.now) || remoteTTFT(v, c, p) > v.q.Profile.Route.Goal() {
		return false
	}
	return p.Free > 0 || finishesInTime(v, p)
}

// maxStreamTimeFraction is the part of a route's time that a stream may be predicted to take at
// targets whose streams are slow, and that count as having no room for it. The rest
// is for what the prediction misses: the pace gets slower with the work that comes.
const maxStreamTimeFraction = 0.5

// finishesInTime reports whether a stream without a place at home is predicted to end well within
// its time at the pace of the targets of another data centre, though that leaves no room for
// other work.
func finishesInTime(v *view, p *event.Pool) bool {
	if v.q.ExpectedEvents <= 0 || p.DecodeRate <= 0 {
		return false
	}
	most := maxStreamTimeFraction * float64(v.q.Profile.Route.TimeoutMs) / 1000
	return v.q.ExpectedEvents/p.DecodeRate <= most
}

// usablePool returns the pool of a data centre whose offer the request may use.
func usablePool(v *view, c *member.Centre) *event.Pool {
	if p := poolWithoutOffer(v, c); p != nil {
		return p
	}
	for want := range modelCount(&v.q.Profile) {
		for i := range c.Summary.Pools {
			p := &c.Summary.Pools[i]
			if p.Offer > 0 && poolMatches(&v.q.Profile, p, want) && v.tb.OfferLeft(v.now, c.Place.Group(), poolID(p)) > 0 {
				return p
			}
		}
	}
	return nil
}
