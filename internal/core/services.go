package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// routeServices has when each service of each route whose streams may be taken up last had a share of its requests.
type routeServices map[ident.Profile]map[string]ident.Time

// noteServices notes the services of the routes. When a route gets another one, the streams that are running are announced: from then on
// its name does not say which service began them.
func (rd *Reducer) noteServices(now ident.Time) {
	if rd.spread.Revision() == rd.servicesOf && now < rd.nextServices {
		return
	}
	rd.servicesOf, rd.nextServices = rd.spread.Revision(), now.Add(buildsInterval)
	for _, p := range rd.spread.Book().Profiles() {
		if p.Route == nil || !p.Route.Resumable {
			continue
		}
		seen := rd.services[p.Name]
		if seen == nil {
			seen = make(map[string]ident.Time)
			rd.services[p.Name] = seen
		}
		added := false
		for _, sh := range p.Route.Shares {
			if sh.Weight > 0 {
				_, known := seen[sh.Service]
				seen[sh.Service], added = now, added || !known
			}
		}
		expireServices(now, seen, routeTTL(p.Route))
		if added && len(seen) > 1 {
			for service := range seen {
				rd.begun.AnnounceService(now, service)
			}
		}
	}
}

func expireServices(now ident.Time, seen map[string]ident.Time, ttl time.Duration) {
	for service, at := range seen {
		if now.Sub(at) > ttl {
			delete(seen, service)
		}
	}
}

// hasSeveralServices reports whether several services may have begun the streams of a route that are still running.
func (rd *Reducer) hasSeveralServices(p *rules.Profile) bool { return len(rd.services[p.Name]) > 1 }

// isOfSeveral reports whether a service is one of several of a route.
func (rd *Reducer) isOfSeveral(service string) bool {
	for _, seen := range rd.services {
		if _, ok := seen[service]; ok && len(seen) > 1 {
			return true
		}
	}
	return false
}

// announceService announces a stream that this host has begun if its route does not say which service did.
func (rd *Reducer) announceService(now ident.Time, r *request, s event.BegunStream) {
	if rd.hasSeveralServices(&r.profile) {
		rd.begun.Announce(now, s.Stream)
	}
}
