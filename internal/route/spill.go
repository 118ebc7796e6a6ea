package route

import (
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
)

// decideRouted decides for a request of a route that has a local target, or one that lacks only
// capacity. It forwards the share of the work that other data centres should get and sends the rest
// to the best target. A retry of a request that may have run stays local, where it may queue until
// its deadline.
func (rt *Router) decideRouted(v *view, best *candidate, bestFull *member.Target) Decision {
	share, allocations := v.tb.Spill(v.now, v.q.Profile.Service, v.q.needsEngine(), rt.allocations)
	rt.allocations = allocations
	switch {
	case v.q.MayHaveRun:
		allocations = nil
	case member.HasLongSharedPrefix(&v.q.Request):
	case best == nil || rank.Unit(rank.Mix(v.prefixHash())) < share:
		allocations = allocations[1:]
	default:
		allocations = nil
	}
	if dec, ok := rt.spillChoice(v, allocations); ok {
		dec.SpillShare = share
		return dec
	}
	local := best
	if local == nil {
		local = rt.priceTarget(v, bestFull)
	}
	if !v.q.MayHaveRun {
		if dec, ok := rt.remoteChoice(v, local, rt.remoteCostFactor(v, best)); ok {
			return dec
		}
	}
	if best == nil {
		return Decision{Wait: local.ttft, Full: true, Code: codes.Overloaded.ID}
	}
	return Decision{Target: best.t, Serve: best.serve, PrefillTokens: best.prefillTokens, Wait: best.ttft, CopyFrom: best.copyFrom}
}

// spillChoice assigns a request to one of the data centres and returns it, unless it is the local
// one. The assignment is by rendezvous hashing of the shared prefix, weighted by the work that each
// data centre may take: all requests with a prefix go to the same data centre, and each data centre
// gets prefixes in proportion to its work.
func (rt *Router) spillChoice(v *view, allocations []member.CentreAllocation) (Decision, bool) {
	var best *member.Centre
	bestScore, bestWork := 0.0, 0.0
	for _, a := range allocations {
		place := v.tb.Self().Place
		if a.Centre != nil {
			place = a.Centre.Place
			if _, out := centreRuledOut(v, a.Centre, cheapFilters); out || v.tb.RecentlyRefused(v.now, a.Centre, v.q.Profile.Service) {
				continue
			}
		}
		score := rank.Score(rank.Combine(v.prefixHash(), rank.Hash(string(place.Group()))), a.Work)
		if score > bestScore {
			best, bestScore, bestWork = a.Centre, score, a.Work
		}
	}
	if best == nil {
		return Decision{}, false
	}
	h, ok := v.tb.ForwardHost(v.now, best, v.key)
	if !ok {
		return Decision{}, false
	}
	id := member.PoolID{Service: v.q.Profile.Service}
	p := best.Pool(id)
	return Decision{
		Host: h, Centre: best.Place.Group(), Pool: id,
		Wait: remoteTTFT(v, best, p), EventInterval: toDuration(secondsFor(1, p.DecodeRate)), RemoteRoom: bestWork,
	}, true
}
