package route

import (
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
)

// decideRouted decides for a request of a route that has a place here, or lacks only room: another
// data centre by its part of the work, or the best target. A request that may have run and is
// tried again stays here, where it may be queued until its deadline.
func (rt *Router) decideRouted(v *view, best *candidate, full *member.Target) Decision {
	part, rooms := v.tb.Spill(v.now, v.q.Profile.Service, v.q.needsEngine(), rt.rooms)
	rt.rooms = rooms
	switch {
	case v.q.MayHaveRun:
		rooms = nil
	case member.SharesMuch(&v.q.Request):
	case best == nil || rank.Unit(rank.Mix(v.prefixHash())) < part:
		rooms = rooms[1:]
	default:
		rooms = nil
	}
	if dec, ok := rt.spillChoice(v, rooms); ok {
		dec.SpillShare = part
		return dec
	}
	local := best
	if local == nil {
		local = rt.priceTarget(v, full)
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

// spillChoice returns the data centre that a request goes to, of those with room, if it is not the
// own one. It goes by the shared prefix of the prompt, so that the same engines prefill it, and
// each data centre gets prefixes by its room.
func (rt *Router) spillChoice(v *view, rooms []member.Room) (Decision, bool) {
	var best *member.Centre
	most, room := 0.0, 0.0
	for _, r := range rooms {
		place := v.tb.Self().Place
		if r.Centre != nil {
			place = r.Centre.Place
			if _, out := centreRuledOut(v, r.Centre, cheapFilters); out || v.tb.TurnedAway(v.now, r.Centre, v.q.Profile.Service) {
				continue
			}
		}
		score := rank.Score(rank.Join(v.prefixHash(), rank.Hash(string(place.Group()))), r.Room)
		if score > most {
			best, most, room = r.Centre, score, r.Room
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
		Wait: remoteTTFT(v, best, p), EventInterval: toDuration(secondsFor(1, p.DecodeRate)), RemoteRoom: room,
	}, true
}
