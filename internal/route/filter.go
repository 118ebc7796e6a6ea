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
	code codes.Code
	out  func(v *view, t *member.Target) bool
}

// targetFilters is the table that each target goes through, in order. Room
// comes last: a target that only lacks room is worth waiting for.
var targetFilters = [...]targetFilter{
	{codes.FilterKind, wrongKind},
	{codes.FilterModel, lacksModel},
	{codes.FilterResidency, targetOutside},
	{codes.FilterLeaving, func(_ *view, t *member.Target) bool { return t.KnownDraining || t.Removed }},
	{codes.FilterClosed, func(_ *view, t *member.Target) bool { return t.Closed }},
	{codes.FilterHealth, func(v *view, t *member.Target) bool { return t.Suspect(v.now) && !v.desperate }},
	{codes.FilterTried, func(v *view, t *member.Target) bool { return v.q.Tried.Has(t.ID) }},
	{codes.FilterBound, func(v *view, t *member.Target) bool { return v.q.Only != "" && t.ID != v.q.Only }},
	{codes.FilterCold, func(v *view, t *member.Target) bool { return v.tb.ColdLimitReached(v.now, t) }},
	{codes.FilterFull, full},
}

// centreFilter is one declared reason to rule another data centre out.
type centreFilter struct {
	code codes.Code
	out  func(v *view, c *member.Centre) bool
}

// centreFilters is the table that each other data centre goes through, in
// order.
var centreFilters = [...]centreFilter{
	{codes.FilterResidency, centreOutside},
	{codes.FilterHops, hopsSpent},
	{codes.FilterTried, func(v *view, c *member.Centre) bool { return v.q.TriedCentres.Has(c.Place.Group()) }},
	{codes.FilterBound, func(v *view, _ *member.Centre) bool { return v.q.Only != "" }},
	{codes.FilterHealth, func(v *view, c *member.Centre) bool { return c.CutOff(v.now) || !hasHost(c) }},
	{codes.FilterModel, func(v *view, c *member.Centre) bool { return !hasPool(&v.q.Profile, c) }},
	{codes.FilterOffer, noOffer},
}

// cheapFilters are those that look at nothing but the data centre itself. A
// decision asks the rest, the offer, only of data centres that cost less than
// the best so far.
var cheapFilters = centreFilters[:len(centreFilters)-1]

func ruledOut(v *view, t *member.Target) (codes.ID, bool) {
	for i := range targetFilters {
		if targetFilters[i].out(v, t) {
			return targetFilters[i].code.ID, true
		}
	}
	return "", false
}

func centreRuledOut(v *view, c *member.Centre, filters []centreFilter) (codes.ID, bool) {
	for i := range filters {
		if filters[i].out(v, c) {
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
	_, ok := served(&v.q.Profile, t.Load.Serves)
	return !ok
}

// served returns the first model of the profile among those that are loaded.
func served(p *rules.Profile, loaded []rules.Serve) (rules.Serve, bool) {
	for i := range p.Models {
		for j := range loaded {
			if matches(&p.Models[i], &loaded[j]) {
				return loaded[j], true
			}
		}
	}
	return rules.Serve{}, false
}

func matches(want, have *rules.Serve) bool {
	if want.Model != have.Model || want.Adapter != have.Adapter {
		return false
	}
	return want.Version == "" || want.Version == have.Version
}

func targetOutside(v *view, t *member.Target) bool { return outside(v, t.Place.Region) }

func centreOutside(v *view, c *member.Centre) bool { return outside(v, c.Place.Region) }

// outside asks the residency rule, once for each run of the same region: all
// own targets stand in one.
func outside(v *view, r ident.Region) bool {
	if !v.asked || v.region != r {
		v.asked, v.region, v.outside = true, r, !v.q.Profile.Allows(v.q.Client, r)
	}
	return v.outside
}

// full reports whether a target has neither a slot nor a place in its queue, or
// whether a request would wait there for too much of its time.
func full(v *view, t *member.Target) bool {
	out := t.Outstanding(v.now)
	if out >= roomFor(v.q, t) {
		return true
	}
	if crowdsOut(v, t) {
		return true
	}
	hold := holdAt(v.q)
	return hold > 0 && t.Wait(v.now, out, 1) > hold
}

// The memory of an engine that long prompts may take.
const (
	// memoryPart is the part of an engine's memory that the prompts of its requests may take
	// before another long one is queued. The rest is for generated tokens, short prompts and
	// cached prefixes. Prompts are counted whole, though shared prefixes are stored once.
	memoryPart = 0.6
	// longPrompt is the length in tokens from which on a prompt counts as long.
	longPrompt = 2048
)

// crowdsOut reports whether a long prompt would take memory that an engine needs for cached
// prefixes and running streams. Such prompts are queued here until others have ended, or
// refused while they can still come back.
func crowdsOut(v *view, t *member.Target) bool {
	q := v.q
	if !mech.On(codes.PromptMemory) || q.Profile.Route == nil || t.MemoryTokens == 0 || q.Request.Prompt < longPrompt {
		return false
	}
	return float64(t.OutstandingTokens()+q.Request.Prompt) > memoryPart*float64(t.MemoryTokens)
}

// The part of the time to a first byte that a request of a route may be
// predicted to wait at a target, and the least time that it may.
//
// An engine takes long prompts in the order of their coming, at most a few of
// them a second. What is sent beyond that waits at the engine, where neither a
// more urgent request passes it nor a better place that becomes free can draw
// it away. So it waits here instead.
const (
	holdPart  = 0.5
	holdLeast = 150 * time.Millisecond
)

// holdAt returns the wait at a target past which a request waits here, zero for
// none.
func holdAt(q *Query) time.Duration {
	if q.Profile.Route == nil || q.Profile.Route.GoalMs <= 0 {
		return 0
	}
	return max(holdLeast, time.Duration(holdPart*float64(q.Profile.Route.Goal())))
}

// The queue that a target is allowed, as a part of its slots, and the reserve
// that work from other regions may not take.
const (
	queuePart   = 4
	reservePart = 5
	// callPart is the part of its goal that a call may wait in the queue of its target.
	callPart = 0.25
)

// roomFor returns how many requests a target may have outstanding for a request to be sent
// there.
//
// A small queue at the target keeps its slots busy while reports lag; a longer one would bind
// work to it that others could begin earlier. Work from another region gets no queue and leaves
// a reserve for home work, which has nowhere else to go.
//
// Calls that are short beside their goal may queue at the target for a quarter of it, behind as
// many as have slots at the most, since many hosts before few slots do not see when one gets
// free.
func roomFor(q *Query, t *member.Target) int {
	slots := t.Slots()
	if rt := q.Profile.Route; mech.On(codes.CallQueue) && rt != nil && !q.engine() && t.RequestTime() > 0 && rt.GoalMs > 0 {
		turns := callPart * float64(rt.Goal()) / float64(t.RequestTime())
		return slots + min(max(1, int(turns*float64(slots))), slots)
	}
	if q.Crossings > 0 {
		return slots - slots/reservePart
	}
	return slots + max(1, slots/queuePart)
}

// hopsSpent reports whether a request may not be passed on to a data centre. One
// that another host passed on may only go to another region, and only while
// its profile has crossings left, so that each passage uses up what is bounded
// and no request circulates without end.
func hopsSpent(v *view, c *member.Centre) bool {
	if c.Place.Region == v.home {
		return v.q.Forwarded
	}
	return v.q.Crossings >= v.q.Profile.MaxCrossings
}

func hasHost(c *member.Centre) bool {
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
	return pool.Service == "" && matches(&p.Models[want], &pool.Serve)
}

// wants returns how many models a profile lists, one for a service.
func wants(p *rules.Profile) int {
	if p.Service != "" {
		return 1
	}
	return len(p.Models)
}

func hasPool(p *rules.Profile, c *member.Centre) bool {
	for want := range wants(p) {
		for i := range c.Summary.Pools {
			if poolMatches(p, &c.Summary.Pools[i], want) {
				return true
			}
		}
	}
	return false
}

func noOffer(v *view, c *member.Centre) bool { return offered(v, c) == nil }

// unoffered returns the pool of a data centre that a request may use without an offer: one of
// its home, which must accept it like its own callers', or one with spare capacity where the
// own data centre has no target for it at all.
func unoffered(v *view, c *member.Centre) *event.Pool {
	if v.q.Profile.Route == nil || !v.stranded {
		return nil
	}
	homeless := outside(v, v.home)
	for i := range c.Summary.Pools {
		p := &c.Summary.Pools[i]
		if p.Slots == 0 || !poolMatches(&v.q.Profile, p, 0) {
			continue
		}
		if homeless || v.tb.RemainingSpare(v.now, c.Place.Group(), poolID(p)) > 0 || inGoal(v, c, p) {
			return p
		}
	}
	return nil
}

// inGoal reports whether a request is predicted to start at another data centre within its
// goal. An evacuated data centre brings more work than the others count as spare; they refuse
// what they can't begin in time.
func inGoal(v *view, c *member.Centre, p *event.Pool) bool {
	if c.CutOff(v.now) || readyAbroad(v, c, p) > v.q.Profile.Route.Goal() {
		return false
	}
	return p.Free > 0 || endsInTime(v, p)
}

// endsPart is the part of a route's time that a stream may be predicted to take at
// targets whose streams are slow, and that count as having no room for it. The rest
// is for what the prediction misses: the pace gets slower with the work that comes.
const endsPart = 0.5

// endsInTime reports whether a stream without a place at home is predicted to end well within
// its time at the pace of the targets of another data centre, though that leaves no room for
// other work.
func endsInTime(v *view, p *event.Pool) bool {
	if v.q.Expect <= 0 || p.DecodeRate <= 0 {
		return false
	}
	most := endsPart * float64(v.q.Profile.Route.TimeoutMs) / 1000
	return v.q.Expect/p.DecodeRate <= most
}

// offered returns the pool of a data centre whose offer the request may use.
func offered(v *view, c *member.Centre) *event.Pool {
	if p := unoffered(v, c); p != nil {
		return p
	}
	for want := range wants(&v.q.Profile) {
		for i := range c.Summary.Pools {
			p := &c.Summary.Pools[i]
			if p.Offer > 0 && poolMatches(&v.q.Profile, p, want) && v.tb.RemainingOffer(v.now, c.Place.Group(), poolID(p)) > 0 {
				return p
			}
		}
	}
	return nil
}
