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
	share, rooms := v.tb.Spill(v.now, v.q.Profile.Service, v.q.needsEngine(), rt.rooms)
	rt.rooms = rooms
	switch {
	case v.q.MayHaveRun:
		rooms = nil
	case member.HasLongSharedPrefix(&v.q.Request):
	case best == nil || rank.Unit(rank.Mix(v.prefixHash())) < share:
		rooms = rooms[1:]
	default:
		rooms = nil
	}
	if dec, ok := rt.spillChoice(v, rooms); ok {
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

// spillChoice returns the data centre with room that a request is assigned to, unless that is the
// local one. Rendezvous hashing of the shared prefix, weighted by room, assigns it: the same engines
// prefill a prefix, and each data centre gets prefixes in proportion to its room.
func (rt *Router) spillChoice(v *view, rooms []member.CentreAllocation) (Decision, bool) {
	var best *member.Centre
	bestScore, bestRoom := 0.0, 0.0
	for _, r := range rooms {
		place := v.tb.Self().Place
		if r.Centre != nil {
			place = r.Centre.Place
			if _, out := centreRuledOut(v, r.Centre, cheapFilters); out || v.tb.RecentlyRefused(v.now, r.Centre, v.q.Profile.Service) {
				continue
			}
		}
		score := rank.Score(rank.Combine(v.prefixHash(), rank.Hash(string(place.Group()))), r.Work)
		if score > bestScore {
			best, bestScore, bestRoom = r.Centre, score, r.Work
		}
	}
	if best == nil {
		return Decision{}, false
	}
	h, ok := best.HostFor(v.key)
	if !ok {
		return Decision{}, false
	}
	id := member.PoolID{Service: v.q.Profile.Service}
	p := best.Pool(id)
	return Decision{
		Host: h, Centre: best.Place.Group(), Pool: id,
		Wait: remoteTTFT(v, best, p), EventInterval: toDuration(secondsFor(1, p.DecodeRate)), RemoteRoom: bestRoom,
	}, true
}
