package route

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// targetFilter is one reason to rule out a target.
type targetFilter struct {
	code     codes.Code
	rulesOut func(v *view, t *member.Target) bool
}

// targetFilters are applied to each target in order. Capacity comes last, because
// a target that lacks only capacity is worth waiting for.
var targetFilters = [...]targetFilter{
	{codes.FilterKind, wrongKind},
	{codes.FilterModel, lacksModel},
	{codes.FilterBuild, func(v *view, t *member.Target) bool { return v.q.Build != "" && t.Build != v.q.Build }},
	{codes.FilterResidency, targetOutside},
	{codes.FilterDraining, func(_ *view, t *member.Target) bool { return t.KnownDraining || t.Removed }},
	{codes.FilterEvacuated, func(_ *view, t *member.Target) bool { return t.Evacuated }},
	{codes.FilterRest, func(v *view, t *member.Target) bool { return t.Resting(v.now) }},
	{codes.FilterHealth, func(v *view, t *member.Target) bool { return t.Suspect(v.now) && !v.allowSuspect }},
	{codes.FilterTried, func(v *view, t *member.Target) bool { return v.q.TriedTargets.Has(t.ID) }},
	{codes.FilterBound, func(v *view, t *member.Target) bool { return v.q.OnlyTarget != "" && t.ID != v.q.OnlyTarget }},
	{codes.FilterCold, func(v *view, t *member.Target) bool { return v.tb.ColdLimitReached(v.now, t) }},
	{codes.FilterRate, func(v *view, t *member.Target) bool { return v.tb.RateLimitReached(v.now, t) }},
	{codes.FilterFull, targetFull},
}

// centreFilter is one reason to rule out another data centre.
type centreFilter struct {
	code     codes.Code
	rulesOut func(v *view, c *member.Centre) bool
}

// centreFilters are applied to each other data centre in order.
var centreFilters = [...]centreFilter{
	{codes.FilterResidency, centreOutside},
	{codes.FilterHops, crossingsExhausted},
	{codes.FilterTried, func(v *view, c *member.Centre) bool { return v.q.TriedCentres.Has(c.Place.Group()) }},
	{codes.FilterBound, func(v *view, _ *member.Centre) bool { return v.q.OnlyTarget != "" }},
	{codes.FilterHealth, func(v *view, c *member.Centre) bool { return c.CutOff(v.now) || !hasActiveHost(c) }},
	{codes.FilterModel, func(v *view, c *member.Centre) bool { return !hasPool(&v.q.Profile, c) }},
	{codes.FilterBuild, lacksBuild},
	{codes.FilterOffer, noOffer},
}

// cheapFilters are the filters that need only the summary of a data centre. The last
// one, which checks for an offer, runs only for data centres that may be cheaper than
// the best found so far.
var cheapFilters = centreFilters[:len(centreFilters)-1]

func targetRuledOut(v *view, t *member.Target) (codes.ID, bool) {
	for i := range targetFilters {
		if targetFilters[i].rulesOut(v, t) {
			return targetFilters[i].code.ID, true
		}
	}
	return "", false
}

// RestEnds returns when the first local target that only its rest rules out may serve the request. It is false if there
// is none.
func (rt *Router) RestEnds(now ident.Time, q Query, tb *member.Table) (ident.Time, bool) {
	v := rt.resetView(now, q, tb)
	return tb.RestEnds(now, func(t *member.Target) bool {
		return !wrongKind(v, t) && !lacksModel(v, t) && !targetOutside(v, t) && (q.Build == "" || t.Build == q.Build) && (q.OnlyTarget == "" || t.ID == q.OnlyTarget)
	})
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

// servedModel returns the loaded model that the profile prefers most.
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

// outsideResidency reports whether the residency rule excludes a region. It caches
// the last result, since all local targets are in one region.
func outsideResidency(v *view, r ident.Region) bool {
	if !v.residencyCached || v.residencyRegion != r {
		v.residencyCached, v.residencyRegion, v.residencyDenied = true, r, !v.q.Profile.Allows(v.q.Client, r)
	}
	return v.residencyDenied
}

// targetFull reports whether a target has no capacity for the request: neither a
// slot nor a place in its queue, too little memory for a long prompt, or a predicted
// wait above waitBound.
func targetFull(v *view, t *member.Target) bool {
	outstanding := t.Outstanding(v.now)
	if outstanding >= maxOutstanding(v.q, t) {
		return true
	}
	if exceedsPromptMemory(v, t) {
		return true
	}
	bound := waitBound(v.q)
	return bound > 0 && t.Wait(v.now, outstanding, 1) > bound
}

// Bounds of the engine memory that long prompts may use.
const (
	// maxPromptMemoryFraction is the fraction of an engine's memory that the prompts of its
	// requests may use before another long prompt has to queue. The rest is for generated tokens,
	// short prompts and cached prefixes. Prompts are counted in full, although shared prefixes are
	// stored only once.
	maxPromptMemoryFraction = 0.6
	// minLongPrompt is the length in tokens from which a prompt counts as long.
	minLongPrompt = 2048
)

// exceedsPromptMemory reports whether a long prompt would use memory that the engine needs for
// cached prefixes and running streams. Such prompts queue at this host until others have ended,
// or are refused while the caller can still retry elsewhere.
func exceedsPromptMemory(v *view, t *member.Target) bool {
	q := v.q
	if !mech.On(codes.PromptMemory) || q.Profile.Route == nil || t.MemoryTokens == 0 || q.Request.Prompt < minLongPrompt {
		return false
	}
	return float64(t.OutstandingTokens()+q.Request.Prompt) > maxPromptMemoryFraction*float64(t.MemoryTokens)
}

// The maximum predicted wait at a target for a request of a route is a fraction of the
// route's time-to-first-byte goal, but at least minWaitBound.
//
// An engine prefills long prompts in order of arrival, at most a few of them a
// second. Further prompts would wait at the engine, where a more urgent request
// can't overtake them and a target that becomes free can't take them over. They
// wait at this host instead.
const (
	waitBoundFraction = 0.5
	minWaitBound      = 150 * time.Millisecond
)

// waitBound returns the predicted wait at a target above which a request waits at
// this host, zero for no bound.
func waitBound(q *Query) time.Duration {
	if q.Profile.Route == nil || q.Profile.Route.GoalMs <= 0 {
		return 0
	}
	return max(minWaitBound, time.Duration(waitBoundFraction*float64(q.Profile.Route.Goal())))
}

// Limits of the requests that a target may have outstanding.
const (
	// queueDivisor sets the maximum queue length at a target: its slots divided by it.
	queueDivisor = 4
	// reserveDivisor sets the slots that are reserved for local requests: the target's
	// slots divided by it.
	reserveDivisor = 5
	// callQueueFraction is the fraction of its goal for which a call may wait in the queue of its
	// target.
	callQueueFraction = 0.25
)

// maxOutstanding returns how many requests a target may have outstanding. At that number it counts
// as full for the request of q.
//
// A short queue at the target keeps its slots busy while load reports lag; a longer one would
// commit requests to it that other targets could start earlier. Requests from another region may
// not queue and leave a reserve for local requests, which have no alternative.
//
// Calls of a route with a goal, also those from another region, may instead queue for
// callQueueFraction of the goal once the run time of the target is known, behind at most as many
// others as the target has slots: with many hosts and few slots a host does not see when a slot
// becomes free.
func maxOutstanding(q *Query, t *member.Target) int {
	slots := t.Slots()
	if rt := q.Profile.Route; mech.On(codes.CallQueue) && rt != nil && !q.needsEngine() && t.RequestTime() > 0 && rt.GoalMs > 0 {
		turns := callQueueFraction * float64(rt.Goal()) / float64(t.RequestTime())
		return slots + min(max(1, int(turns*float64(slots))), slots)
	}
	if q.Crossings > 0 {
		return slots - slots/reserveDivisor
	}
	return slots + max(1, slots/queueDivisor)
}

// crossingsExhausted reports whether a request may not be forwarded to a data centre. A
// request that another host forwarded may only go to another region, and only while its
// profile has crossings left. Each forwarding thus uses up a bounded budget, and no
// request circulates forever.
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

// poolMatches reports whether a pool serves a profile. For a profile of models,
// modelIndex selects the model of its list that the pool must serve.
func poolMatches(p *rules.Profile, pool *event.Pool, modelIndex int) bool {
	if p.Service != "" {
		return pool.Service == p.Service
	}
	return pool.Service == "" && serveMatches(&p.Models[modelIndex], &pool.Serve)
}

// modelCount returns the number of models in a profile, one for a service.
func modelCount(p *rules.Profile) int {
	if p.Service != "" {
		return 1
	}
	return len(p.Models)
}

func hasPool(p *rules.Profile, c *member.Centre) bool {
	for modelIndex := range modelCount(p) {
		for i := range c.Summary.Pools {
			if poolMatches(p, &c.Summary.Pools[i], modelIndex) {
				return true
			}
		}
	}
	return false
}

// lacksBuild reports whether no target of a data centre has the build that the request needs. A data
// centre that names no builds may have one.
func lacksBuild(v *view, c *member.Centre) bool {
	if v.q.Build == "" || v.q.Profile.Service == "" {
		return false
	}
	p := c.Pool(member.PoolID{Service: v.q.Profile.Service})
	return p != nil && len(p.Builds) > 0 && !slices.Contains(p.Builds, v.q.Build)
}

func noOffer(v *view, c *member.Centre) bool { return usablePool(v, c) == nil }

// poolWithoutOffer returns a pool of a data centre that a request without any local target may use
// although it has no offer, nil if there is none. If the residency rule excludes the local region,
// the data centre must accept the request like those of its own callers. Otherwise the pool must
// have spare capacity or be predicted to start the request within its goal.
func poolWithoutOffer(v *view, c *member.Centre) *event.Pool {
	if v.q.Profile.Route == nil || !v.noLocalTarget {
		return nil
	}
	localRegionExcluded := outsideResidency(v, v.localRegion)
	for i := range c.Summary.Pools {
		p := &c.Summary.Pools[i]
		if p.Slots == 0 || !poolMatches(&v.q.Profile, p, 0) {
			continue
		}
		if localRegionExcluded || v.tb.RemainingSpare(v.now, c.Place.Group(), poolID(p)) > 0 || startsWithinGoal(v, c, p) {
			return p
		}
	}
	return nil
}

// startsWithinGoal reports whether another data centre is predicted to start a request within its
// goal. An evacuated data centre sends more work than the others count as spare; they refuse what
// they can't start in time.
func startsWithinGoal(v *view, c *member.Centre, p *event.Pool) bool {
	if c.CutOff(v.now) || remoteTTFT(v, c, p) > v.q.Profile.Route.Goal() {
		return false
	}
	return p.Free > 0 || finishesInTime(v, p)
}

// maxStreamTimeFraction is the fraction of a route's timeout that a stream may be predicted to
// take at targets that have no spare capacity because their streams are slow. The rest is a margin
// for the error of the prediction: streams slow down further as work arrives.
const maxStreamTimeFraction = 0.5

// finishesInTime reports whether a stream without a local target is predicted to finish well
// within its timeout at the pace of another data centre's targets, even though that pace leaves
// them no spare capacity.
func finishesInTime(v *view, p *event.Pool) bool {
	if v.q.ExpectedEvents <= 0 || p.DecodeRate <= 0 {
		return false
	}
	maxSeconds := maxStreamTimeFraction * float64(v.q.Profile.Route.TimeoutMs) / 1000
	return v.q.ExpectedEvents/p.DecodeRate <= maxSeconds
}

// usablePool returns a pool of a data centre that the request may use, with or without an offer.
func usablePool(v *view, c *member.Centre) *event.Pool {
	if p := poolWithoutOffer(v, c); p != nil {
		return p
	}
	for modelIndex := range modelCount(&v.q.Profile) {
		for i := range c.Summary.Pools {
			p := &c.Summary.Pools[i]
			if p.Offer > 0 && poolMatches(&v.q.Profile, p, modelIndex) && v.tb.RemainingOffer(v.now, c.Place.Group(), poolID(p)) > 0 {
				return p
			}
		}
	}
	return nil
}
