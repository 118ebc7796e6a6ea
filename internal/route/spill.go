package route

import (
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/codes"
)

// shareOut decides for a request of a route that has a place here, or lacks only room: another
// data centre by its part of the work, or the best target. A request that may have run and is
// tried again stays here, where it may be queued until its deadline.
func (rt *Router) shareOut(v *view, best *cand, full *member.Target) Decision {
	part, rooms := v.tb.Spill(v.now, v.q.Profile.Service, v.q.engine(), rt.rooms)
	rt.rooms = rooms
	switch {
	case v.q.Again:
		rooms = nil
	case member.HasLongSharedPrefix(&v.q.Request):
	case best == nil || rank.Unit(rank.Mix(v.prefixHash())) < part:
		rooms = rooms[1:]
	default:
		rooms = nil
	}
	if dec, ok := rt.spill(v, rooms); ok {
		dec.Part = part
		return dec
	}
	local := best
	if local == nil {
		local = rt.priceOne(v, full)
	}
	if !v.q.Again {
		if dec, ok := rt.abroad(v, local, rt.part(v, best)); ok {
			return dec
		}
	}
	if best == nil {
		return Decision{Wait: local.ready, Full: true, Code: codes.Overloaded.ID}
	}
	return Decision{Target: best.t, Serve: best.serve, Prefill: best.prefill, Wait: best.ready, CopyFrom: best.from}
}

// spill returns the data centre that a request goes to, of those with room, if it is not the
// own one. It goes by the shared prefix of the prompt, so that the same engines prefill it, and
// each data centre gets prefixes by its room.
func (rt *Router) spill(v *view, rooms []member.CentreRoom) (Decision, bool) {
	var best *member.Centre
	most, room := 0.0, 0.0
	for _, r := range rooms {
		place := v.tb.Self().Place
		if r.Centre != nil {
			place = r.Centre.Place
			if _, out := centreRuledOut(v, r.Centre, cheapFilters); out || v.tb.RecentlyRefused(v.now, r.Centre, v.q.Profile.Service) {
				continue
			}
		}
		score := rank.Score(rank.Combine(v.prefixHash(), rank.Hash(string(place.Group()))), r.Work)
		if score > most {
			best, most, room = r.Centre, score, r.Work
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
		Wait: readyAbroad(v, best, p), Pace: toTime(span(1, p.DecodeRate)), Room: room,
	}, true
}
