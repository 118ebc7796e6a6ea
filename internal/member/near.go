package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// nearStale is the age of the newest word of another data centre past which
// its hosts are not named to callers: they may all have gone.
const nearStale = 5 * time.Second

// Nearby returns the entry hosts that a caller at a place should use: the live
// ones of its data centre, else of its region, else of the homes, else of this
// host's group, else any. The homes are the regions in which all requests of
// the caller may be served: a body that is sent to a host anywhere else has left
// the places that it is confined to. A host that drains is left out, and so is one that was not heard of
// lately, since a caller that is sent to it waits for a connection that never
// stands.
func (tb *Table) Nearby(now ident.Time, near event.Place, homes []ident.Region) []event.Host {
	var all []event.Host
	for _, h := range tb.liveHosts(now) {
		if !h.Leaving {
			all = append(all, h)
		}
	}
	own := all
	for _, c := range tb.centres {
		if !c.HasSummary || c.Age(now) > nearStale {
			continue
		}
		for _, h := range c.Summary.Hosts {
			if !h.Leaving {
				all = append(all, h)
			}
		}
	}
	for _, fits := range []func(p event.Place) bool{
		func(p event.Place) bool { return p.DataCentre == near.DataCentre },
		func(p event.Place) bool { return p.Region == near.Region },
		func(p event.Place) bool { return slices.Contains(homes, p.Region) },
	} {
		if hs := those(all, fits); len(hs) > 0 {
			return hs
		}
	}
	if len(own) > 0 {
		return own
	}
	return all
}

func those(hosts []event.Host, fits func(p event.Place) bool) []event.Host {
	var hs []event.Host
	for _, h := range hosts {
		if fits(h.Place) {
			hs = append(hs, h)
		}
	}
	return hs
}
