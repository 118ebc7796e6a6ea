// Package route chooses where a request runs: at a target of the local data
// centre, or at another data centre that has offered capacity.
//
// # Usage
//
//	rt := route.New()
//	dec := rt.Choose(now, route.Query{...}, table)
//	switch {
//	case dec.Centre != "":
//		// forward to dec.Host, and count it: table.ForwardStarted(dec.Centre, dec.Pool)
//	case dec.Target != nil:
//		// send to dec.Target
//	case dec.Full:
//		// targets lack only capacity; dec.Wait predicts for how long
//	}
//
// Filters first rule out the choices that may not serve the request. A filter is
// a hard constraint, not a cost, so load can't override it. The router then takes
// the cheapest remaining choice. Costs are seconds of predicted time, weighted by
// the profile. Explain lists every choice with the filter that ruled it out or
// the components of its cost.
//
// A decision compares a bounded sample of the eligible targets, drawn by a hash of
// the request, and the few targets that probably cache its prefix. Load reports
// lag: if every host compared all targets, all of them would send their requests
// to the same best one until the next report. A sample avoids this at a small loss
// in quality and bounds the time of a decision.
//
// A Router is not safe for concurrent use. It reads neither the clock nor a source
// of randomness.
package route

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/length"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Query holds the inputs of a decision.
type Query struct {
	Request event.Request
	Profile rules.Profile
	Client  rules.Client
	// TriedTargets and TriedCentres hold the targets and data centres that have
	// already failed this request.
	TriedTargets value.Set[ident.TargetID]
	TriedCentres value.Set[ident.DataCentre]
	// OnlyTarget is the only target that may serve the request; empty allows any.
	OnlyTarget ident.TargetID
	// Build is the only build whose targets may serve the request; empty allows any.
	Build ident.Build
	// Crossings counts how often the request has been forwarded between regions.
	Crossings ident.Hops
	// Forwarded reports whether another entry host forwarded the request.
	Forwarded bool
	// DeliveredTokens is the number of tokens that the caller has already received.
	DeliveredTokens ident.Tokens
	// MayHaveRun reports whether an earlier attempt may have run the request.
	MayHaveRun bool
	// ExpectedEvents is the typical number of events in a stream of this route, zero
	// if unknown.
	ExpectedEvents float64
	// Length is the estimated number of events in the whole stream, and Deadline when the
	// caller stops waiting; zero for none.
	Length   length.Estimate
	Deadline ident.Time
	// Backlog is the predicted time that the request would wait in the queue of
	// this host before a target is chosen.
	Backlog time.Duration
}

// Decision is the result of Choose. If neither Target nor Centre is set, Code is the reason.
type Decision struct {
	Target *member.Target
	Serve  rules.Serve
	// PrefillTokens is the number of tokens that the target probably has to prefill.
	PrefillTokens ident.Tokens
	// CopyFrom is a target from which Target can copy a prefix of the prompt, nil
	// if there is none.
	CopyFrom *member.Target
	// Centre is set if the request is to be forwarded to Host, an entry host of
	// another data centre. Pool identifies the pool there that serves it.
	Centre ident.DataCentre
	Host   event.Host
	Pool   member.PoolID
	// Wait is the predicted time to the first token at the best choice. It is
	// also set if Full is.
	Wait time.Duration
	// EventInterval is the time between two events of a stream at Centre, zero if
	// unknown.
	EventInterval time.Duration
	// SpillShare is the share of the local callers' work without a long shared
	// prefix that is forwarded to other data centres. RemoteRoom is the work a
	// second that Centre may take besides that of its own callers without a long
	// shared prefix: in prompt tokens if the targets of the service are engines,
	// otherwise in seconds of slot time. Both are zero if they did not affect the
	// decision.
	SpillShare float64
	RemoteRoom float64
	// Full reports that targets exist that lack only capacity.
	Full bool
	Code codes.ID
}

// sampleSize is how many targets a decision compares in addition to the warm ones,
// which probably cache a prefix of the prompt.
const sampleSize = 8

// Router chooses where requests run. The zero value is ready to use.
type Router struct {
	// Policy chooses among the targets that the filters leave; nil selects the
	// cost policy. It exists to compare policies. With a Policy set, requests are
	// forwarded only if no local target is eligible, and offers apply as usual.
	Policy func(now ident.Time, q Query, eligible []*member.Target) *member.Target

	caches          caches
	recentCrossings []recentCrossing

	// The fields below are scratch space for one decision, reused to avoid allocations.
	q           Query
	v           view
	cands       []candidate
	warm        []holder
	eligible    []*member.Target
	allocations []member.CentreAllocation
}

// candidate is a target that passed the filters, with its cost.
type candidate struct {
	t     *member.Target
	serve rules.Serve
	cost  cost
	// ttft is the predicted time to the first token, prefillTokens the number of
	// tokens that the target probably has to prefill.
	ttft          time.Duration
	prefillTokens ident.Tokens
	// copyFrom is a target to copy a prefix of the prompt from.
	copyFrom *member.Target
}

// New returns a router without any cache state.
func New() *Router { return &Router{} }

// Choose returns the cheapest choice that passes the filters. It records
// the use of another data centre, and in tb the demand for a pool without local
// targets.
func (rt *Router) Choose(now ident.Time, q Query, tb *member.Table) Decision {
	v := rt.resetView(now, q, tb)
	if rt.Policy != nil {
		return rt.applyPolicy(v)
	}
	dec := rt.decide(v)
	if dec.Centre != "" {
		rt.recordCrossing(now, dec.Centre, dec.Pool)
	}
	if dec.Target == nil && !dec.Full && len(q.Profile.Models) > 0 {
		tb.PoolRequested(now, member.PoolID{Serve: q.Profile.Models[0]})
	}
	if dec.Target == nil && !dec.Full && q.Profile.Service != "" {
		tb.PoolRequested(now, member.PoolID{Service: q.Profile.Service})
	}
	return dec
}

// Preview returns the decision that Choose would return, without recording it.
func (rt *Router) Preview(now ident.Time, q Query, tb *member.Table) Decision {
	return rt.decide(rt.resetView(now, q, tb))
}

// view holds the state that filters and costs use during one decision.
type view struct {
	now ident.Time
	q   *Query
	tb  *member.Table
	// key is a hash of the request's ID.
	key uint64
	// localRegion is the region of this host.
	localRegion ident.Region
	// meanUse is the mean slot use of the candidates.
	meanUse float64
	// residencyCached, residencyRegion and residencyDenied cache the last result
	// of the residency rule.
	residencyCached bool
	residencyRegion ident.Region
	residencyDenied bool
	// noLocalTarget reports that no target of the local data centre may serve the
	// request, not even once it has capacity.
	noLocalTarget bool
	// allowSuspect reports that suspect targets are eligible too.
	allowSuspect bool
}

// resetView initialises the view of a decision. The view is stored in the router
// to avoid an allocation.
func (rt *Router) resetView(now ident.Time, q Query, tb *member.Table) *view {
	rt.q = q
	rt.v = view{
		now: now, q: &rt.q, tb: tb, key: rank.Hash(string(q.Request.ID)), localRegion: tb.Self().Place.Region,
	}
	return &rt.v
}

// decide returns the decision without recording it.
func (rt *Router) decide(v *view) Decision {
	rt.findWarm(v)
	bestFull := rt.sample(v)
	rt.priceCandidates(v)
	best := rt.cheapest(v)
	if best == nil && bestFull == nil {
		return rt.decideWithoutLocal(v)
	}
	if v.q.Profile.Route != nil {
		return rt.decideRouted(v, best, bestFull)
	}
	local := best
	if local == nil {
		local = rt.priceTarget(v, bestFull)
	}
	if dec, ok := rt.remoteChoice(v, local, rt.remoteCostFactor(v, best)); ok {
		return dec
	}
	if best == nil {
		return Decision{Wait: local.ttft, Full: true, Code: codes.Overloaded.ID}
	}
	return Decision{Target: best.t, Serve: best.serve, PrefillTokens: best.prefillTokens, Wait: best.ttft}
}

// decideWithoutLocal decides for a request that no healthy target of the local
// data centre may serve. It forwards the request to another data centre or, for
// a request of a route, falls back to a suspect target.
//
// A target becomes suspect after a few consecutive failures, and a successful probe
// clears it within about a second. If it is the only target of its service, or all
// targets fail some of their requests, refusing everything in the meantime does
// more harm than the failures: most requests sent to a suspect target may still
// succeed, and a dead target runs none of them.
func (rt *Router) decideWithoutLocal(v *view) Decision {
	v.noLocalTarget = true
	if dec, ok := rt.remoteChoice(v, nil, 1); ok {
		return dec
	}
	if v.q.Profile.Route != nil && !v.allowSuspect {
		v.allowSuspect = true
		return rt.decide(v)
	}
	return Decision{Code: codes.NoTarget.ID}
}

// strides are the step sizes of the sample. A step that is a prime and does not divide
// the number of targets reaches all of them, as does 1.
var strides = [...]int{1, 3, 7, 11, 13, 17, 19, 23}

// sampleOrder returns the index at which the sample starts and its step.
func sampleOrder(key uint64, n int) (start, step int) {
	step = strides[rank.Mix(key)%uint64(len(strides))]
	if n%step == 0 {
		step = 1
	}
	return int(key % uint64(n)), step % n
}

// sample collects the warm targets and a bounded number of other eligible ones as
// candidates. It visits all targets only if too few are eligible. It returns the target
// with the shortest wait among the first sampleSize targets that lack only capacity.
func (rt *Router) sample(v *view) *member.Target {
	rt.cands = rt.cands[:0]
	for _, h := range rt.warm {
		if t, ok := v.tb.Target(h.target); ok {
			rt.addCandidate(v, t)
		}
	}
	targets := v.tb.Targets()
	n := len(targets)
	if n == 0 {
		return nil
	}
	var bestFull *member.Target
	var bestFullWait time.Duration
	numFull := 0
	i, step := sampleOrder(v.key, n)
	for range n {
		t := targets[i]
		i = (i + step) % n
		code := rt.addCandidate(v, t)
		if lacksCapacity(code) && numFull < sampleSize {
			numFull++
			w := max(t.Wait(v.now, t.Outstanding(v.now), 1), v.tb.ColdWait(v.now, t), v.tb.RateWait(v.now, t))
			if bestFull == nil || w < bestFullWait {
				bestFull, bestFullWait = t, w
			}
		}
		if len(rt.cands) >= sampleSize+len(rt.warm) {
			break
		}
	}
	return bestFull
}

// lacksCapacity reports whether the filter with this code rules a target out only for
// lack of capacity, so that waiting for the target makes sense.
func lacksCapacity(code codes.ID) bool {
	return code == codes.FilterFull.ID || code == codes.FilterCold.ID || code == codes.FilterRate.ID
}

// addCandidate adds a target to the candidates unless a filter rules it out. It
// returns the code of that filter.
func (rt *Router) addCandidate(v *view, t *member.Target) codes.ID {
	for i := range rt.cands {
		if rt.cands[i].t == t {
			return ""
		}
	}
	if code, out := targetRuledOut(v, t); out {
		return code
	}
	rt.cands = append(rt.cands, candidate{t: t})
	return ""
}

// Costs count as nearly equal if they exceed the least by no more than a fraction of it plus a
// fixed time. The time that the answer takes is not part of that fraction: for answers of
// several seconds it is much larger than the waits that targets differ by.
const (
	nearCostFraction = 0.05
	nearCostSeconds  = 0.005
)

// cheapest returns one of the cheapest candidates. A hash decides among nearly equal costs, so
// that hosts with the same load reports do not all choose the same target. It hashes the shared
// prefix of the prompt, so that prompts with the same prefix use the same cache, or the request
// if there is no prompt.
func (rt *Router) cheapest(v *view) *candidate {
	if len(rt.cands) == 0 {
		return nil
	}
	least := rt.cands[0].cost.sum()
	for i := range rt.cands {
		least = min(least, rt.cands[i].cost.sum())
	}
	shortest := rt.cands[0].cost.decode
	for i := range rt.cands {
		shortest = min(shortest, rt.cands[i].cost.decode)
	}
	limit := least + nearCostFraction*max(0, least-shortest) + nearCostSeconds
	key := v.prefixHash()
	var best *candidate
	var score uint64
	for i := range rt.cands {
		c := &rt.cands[i]
		if c.cost.sum() > limit {
			continue
		}
		if s := rank.Combine(key, rank.Hash(string(c.t.ID))); best == nil || s > score {
			best, score = c, s
		}
	}
	return best
}

// prefixHash returns a hash of the prefix that other requests probably share. If that prefix is
// unknown, it returns the hash of the first half of the prompt, and without a prompt that of the
// request.
func (v *view) prefixHash() uint64 {
	p := v.q.Request.Prefix
	if len(p) == 0 {
		return v.key
	}
	at := (len(p) - 1) / 2
	if n := v.q.Request.SharedBlocks; n > 0 && n <= len(p) {
		at = n - 1
	}
	return p[at]
}

// applyPolicy lets Policy choose among all targets that the filters leave.
func (rt *Router) applyPolicy(v *view) Decision {
	rt.eligible = rt.eligible[:0]
	full := false
	for _, t := range v.tb.Targets() {
		code, out := targetRuledOut(v, t)
		full = full || code == codes.FilterFull.ID
		if !out {
			rt.eligible = append(rt.eligible, t)
		}
	}
	if len(rt.eligible) == 0 {
		if dec, ok := rt.remoteChoice(v, nil, 1); ok {
			rt.recordCrossing(v.now, dec.Centre, dec.Pool)
			return dec
		}
	}
	if len(rt.eligible) == 0 && full {
		return Decision{Wait: v.q.Backlog, Full: true, Code: codes.Overloaded.ID}
	}
	if len(rt.eligible) == 0 {
		return Decision{Code: codes.NoTarget.ID}
	}
	t := rt.Policy(v.now, *v.q, rt.eligible)
	sv, _ := servedModel(&v.q.Profile, t.Load.Serves)
	return Decision{Target: t, Serve: sv, Wait: t.Wait(v.now, t.Outstanding(v.now), 1) + v.q.Backlog}
}
