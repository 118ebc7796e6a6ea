package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// nearStale is the age of the newest summary of another data centre past which
// its hosts are not named to callers: they may all have gone.
const nearStale = 5 * time.Second

// Nearby returns the entry hosts that a caller at a place should use: the live
// ones of its data centre, else of its region, else of the homes, else those of
// its region that drain, else, where it has no homes, any. The homes are the
// regions in which all requests of the caller may be served: a body that is sent
// to a host anywhere else has left the places that it is confined to. A caller
// that gets no answer keeps to the hosts that it knows, which are back at the
// same addresses after a replacement.
//
// Hosts that have been silent are left out.
func (tb *Table) Nearby(now ident.Time, near event.Place, homes []ident.Region) []event.Host {
	all, draining := tb.reachable(now)
	here := func(p event.Place) bool { return p.Region == near.Region }
	for _, c := range []struct {
		hosts []event.Host
		fits  func(p event.Place) bool
	}{
		{all, func(p event.Place) bool { return p.DataCentre == near.DataCentre }},
		{all, here},
		{all, func(p event.Place) bool { return slices.Contains(homes, p.Region) }},
		{draining, here},
		{all, func(p event.Place) bool { return len(homes) == 0 && p.Group() == tb.self.Place.Group() }},
		{all, func(event.Place) bool { return len(homes) == 0 }},
	} {
		if hs := those(c.hosts, c.fits); len(hs) > 0 {
			return hs
		}
	}
	return nil
}

// reachable returns the hosts that are probably there, and apart those of them
// that drain. Of another group they are known by its summaries, and by the
// platform's list while that can be read: a host that was just replaced stands
// there before any summary names it.
func (tb *Table) reachable(now ident.Time) (all, draining []event.Host) {
	hosts := tb.liveHosts(now)
	for _, c := range tb.centres {
		seen := value.SetOf[ident.EntryID]()
		if c.HasSummary && c.Age(now) <= nearStale {
			for _, h := range c.Summary.Hosts {
				seen.Add(h.ID)
				hosts = append(hosts, h)
			}
		}
		for _, h := range c.listed {
			if !tb.list.readFailed && !seen.Has(h.ID) {
				hosts = append(hosts, h)
			}
		}
	}
	for _, h := range hosts {
		if h.Draining {
			draining = append(draining, h)
			continue
		}
		all = append(all, h)
	}
	return all, draining
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
