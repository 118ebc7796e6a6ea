// Package route chooses where a request runs: at a target of the own data
// centre, or at another data centre that has offered room.
//
// # Usage
//
//	rt := route.New()
//	dec := rt.Choose(now, route.Query{...}, table)
//	switch {
//	case dec.Centre != "":
//		// pass on to dec.Host, and count it: table.OfferTake(dec.Centre, dec.Pool)
//	case dec.Target != nil:
//		// send to dec.Target
//	case dec.Full:
//		// only room is missing; dec.Wait predicts for how long
//	}
//
// First the filters rule choices out. A filter is hard: it is no cost that
// could be outbid under load. Then the cheapest of the rest is taken, in
// seconds of predicted time weighted by the profile. Explain lists every
// choice with the filter that ruled it out or the parts of its cost.
//
// A decision looks at a bounded sample of the targets that remain, drawn by a
// hash of the request, and at the few that probably hold its prefix. Load
// reports lag, so a host that always took the single best of all would, with
// every other host, send it all that comes until the next report. The sample
// costs little against that and keeps the time of a decision small.
//
// A Router belongs to one goroutine. It reads no clock and no source of
// randomness.
package route

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Query is what a choice depends on.
type Query struct {
	Request event.Request
	Profile rules.Profile
	Client  rules.Client
	// TriedTargets holds the targets that failed for this request, TriedCentres the
	// data centres.
	TriedTargets value.Set[ident.TargetID]
	TriedCentres value.Set[ident.DataCentre]
	// OnlyTarget is the one target that may get the request, empty for any.
	OnlyTarget ident.TargetID
	// Crossings counts the passages between regions so far.
	Crossings ident.Hops
	// Forwarded says that the request came from another entry host.
	Forwarded bool
	// DeliveredTokens is the number of tokens that have reached the caller.
	DeliveredTokens ident.Tokens
	// MayHaveRun says that the request was tried before and may have run.
	MayHaveRun bool
	// ExpectedEvents is how many events the stream of a route usually has, zero where that
	// is not known.
	ExpectedEvents float64
	// Backlog is the predicted time that the request would wait in this
	// host's own queue before a target is chosen.
	Backlog time.Duration
}

// Decision is a choice. With neither Target nor Centre, Code says why.
type Decision struct {
	Target *member.Target
	Serve  rules.Serve
	// PrefillTokens is the part of the prompt that the target probably does not
	// hold.
	PrefillTokens ident.Tokens
	// CopyFrom is a target from which Target can copy a prefix of the prompt, nil for
	// none.
	CopyFrom *member.Target
	// Centre is set when the request is to be passed to Host, an entry host
	// of another data centre. Pool names the offer that it uses.
	Centre ident.DataCentre
	Host   event.Host
	Pool   member.PoolID
	// Wait is the predicted time to the first token at the best choice, even
	// when none has room.
	Wait time.Duration
	// EventInterval is how long a stream takes from event to event at Centre, zero where that
	// is not known.
	EventInterval time.Duration
	// SpillShare is which part of the work that callers bring here goes elsewhere, Room what
	// Centre has room for in tokens to read a second; zero where neither decided.
	SpillShare float64
	RemoteRoom float64
	// Full says that only room is missing.
	Full bool
	Code codes.ID
}

// sampleSize is how many targets a decision compares, beside the warm ones.
const sampleSize = 8

// Router chooses. Its zero value is ready.
type Router struct {
	// Policy chooses among the targets that the filters leave; nil is the cost
	// policy. It is for comparing policies: with it a request crosses only
	// when nothing local has room, on offers as ever.
	Policy func(now ident.Time, q Query, left []*member.Target) *member.Target

	caches          caches
	recentCrossings []recentCrossing

	// The rest is scratch space of one decision.
	q        Query
	v        view
	cands    []candidate
	warm     []holder
	eligible []*member.Target
	rooms    []member.Room
}

// candidate is a target that remains, with its cost.
type candidate struct {
	t     *member.Target
	serve rules.Serve
	cost  cost
	// ttft is the predicted time to the first token, prefill the part of the
	// prompt that is to be computed.
	ttft          time.Duration
	prefillTokens ident.Tokens
	// copyFrom is a target to copy a prefix of the prompt copyFrom.
	copyFrom *member.Target
}

// New returns a router that knows no cache.
func New() *Router { return &Router{} }

// Choose returns the best choice.
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
		tb.Want(now, member.PoolID{Serve: q.Profile.Models[0]})
	}
	if dec.Target == nil && !dec.Full && q.Profile.Service != "" {
		tb.Want(now, member.PoolID{Service: q.Profile.Service})
	}
	return dec
}

// Preview returns what Choose would decide and records nothing.
func (rt *Router) Preview(now ident.Time, q Query, tb *member.Table) Decision {
	return rt.decide(rt.resetView(now, q, tb))
}

// view is what the filters and costs of one decision look at.
type view struct {
	now ident.Time
	q   *Query
	tb  *member.Table
	// key is a hash of the request's id.
	key uint64
	// localRegion is the region of this host.
	localRegion ident.Region
	// meanUse is the meanUse use of the slots of the sample.
	meanUse float64
	// residencyCached, region and outside hold the last answer of the residency rule.
	residencyCached bool
	residencyRegion ident.Region
	residencyDenied bool
	// noLocalTarget says that no target of the own data centre may serve the
	// request, not even one that only lacks room.
	noLocalTarget bool
	// allowSuspect says that suspect targets are taken too.
	allowSuspect bool
}

// resetView fills in the view of a decision, which lies in the router so that none
// is allocated.
func (rt *Router) resetView(now ident.Time, q Query, tb *member.Table) *view {
	rt.q = q
	rt.v = view{
		now: now, q: &rt.q, tb: tb, key: rank.Hash(string(q.Request.ID)), localRegion: tb.Self().Place.Region,
	}
	return &rt.v
}

// decide returns the choice.
func (rt *Router) decide(v *view) Decision {
	rt.findWarm(v)
	full := rt.sample(v)
	rt.priceCandidates(v)
	best := rt.cheapest(v)
	if best == nil && full == nil {
		return rt.decideWithoutLocal(v)
	}
	if v.q.Profile.Route != nil {
		return rt.decideRouted(v, best, full)
	}
	local := best
	if local == nil {
		local = rt.priceTarget(v, full)
	}
	if dec, ok := rt.remoteChoice(v, local, rt.remoteCostFactor(v, best)); ok {
		return dec
	}
	if best == nil {
		return Decision{Wait: local.ttft, Full: true, Code: codes.Overloaded.ID}
	}
	return Decision{Target: best.t, Serve: best.serve, PrefillTokens: best.prefillTokens, Wait: best.ttft}
}

// decideWithoutLocal decides for a request that no sound target of the own data centre may
// serve: another data centre, or else, for a route, a suspect target.
//
// A target is suspected after a few failures in a row, and a probe lets it back
// in within a second or so. Where it is the only one of its service, or all of
// them fail part of their requests, to refuse everything meanwhile does more
// harm than the failures: most of what is sent there may come to a good end, and
// of a target that is dead nothing runs.
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

// strides are the steps by which the sample walks over the targets. A prime
// that does not divide their number reaches every one.
var strides = [...]int{1, 3, 7, 11, 13, 17, 19, 23}

// sampleOrder returns where the sample starts and by which step it goes on.
func sampleOrder(key uint64, n int) (start, step int) {
	step = strides[rank.Mix(key)%uint64(len(strides))]
	if n%step == 0 {
		step = 1
	}
	return int(key % uint64(n)), step % n
}

// sample gathers the warm targets and a bounded number of others that the
// filters leave. It goes on to the last target only while too few remain. Of
// the first targets that only lack room it returns the one with the shortest
// wait.
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
	var full *member.Target
	var fullWait time.Duration
	fulls := 0
	i, step := sampleOrder(v.key, n)
	for range n {
		t := targets[i]
		i = (i + step) % n
		code := rt.addCandidate(v, t)
		if lacksRoom(code) && fulls < sampleSize {
			fulls++
			w := max(t.Wait(v.now, t.Outstanding(v.now), 1), v.tb.ColdWait(v.now, t))
			if full == nil || w < fullWait {
				full, fullWait = t, w
			}
		}
		if len(rt.cands) >= sampleSize+len(rt.warm) {
			break
		}
	}
	return full
}

// lacksRoom reports whether a target that a filter rules out is worth waiting
// for.
func lacksRoom(code codes.ID) bool { return code == codes.FilterFull.ID || code == codes.FilterCold.ID }

// addCandidate takes a target into the sample unless a filter rules it out.
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

// Near-equal costs: those within a part of the best and a fixed time of it.
const (
	nearCostFraction = 0.05
	nearCostSeconds  = 0.005
)

// cheapest returns one of the cheapest candidates. Among near-equal ones a hash decides, so
// that hosts with the same reports do not all choose the same target: that of the first half of
// the prompt, so that prompts with a shared prefix come to the same cache, or that of the
// request where there is no prompt.
func (rt *Router) cheapest(v *view) *candidate {
	if len(rt.cands) == 0 {
		return nil
	}
	least := rt.cands[0].cost.sum()
	for i := range rt.cands {
		least = min(least, rt.cands[i].cost.sum())
	}
	limit := least + nearCostFraction*least + nearCostSeconds
	key := v.prefixHash()
	var best *candidate
	var score uint64
	for i := range rt.cands {
		c := &rt.cands[i]
		if c.cost.sum() > limit {
			continue
		}
		if s := rank.Join(key, rank.Hash(string(c.t.ID))); best == nil || s > score {
			best, score = c, s
		}
	}
	return best
}

// prefixHash returns a hash of the prefix that other requests probably share, of the first half
// of the prompt where that is unknown, and of the request where there is no prompt.
func (v *view) prefixHash() uint64 {
	p := v.q.Request.Prefix
	if len(p) == 0 {
		return v.key
	}
	at := (len(p) - 1) / 2
	if n := v.q.Request.Shared; n > 0 && n <= len(p) {
		at = n - 1
	}
	return p[at]
}

// applyPolicy lets the seam choose among all targets that the filters leave.
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
