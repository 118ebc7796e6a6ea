package member

import (
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// maxNearbyAge is the age of the newest summary of another data centre beyond which its hosts are
// not named to callers: they may all have stopped.
const maxNearbyAge = 5 * time.Second

// Nearby returns the entry hosts that a caller at a place should use. It returns the first
// non-empty group of: the live hosts of the caller's data centre; those of its region; those of its
// homes; the draining hosts of its region; and, if the caller has no homes, any live hosts, those
// of this data centre first.
//
// The homes are the regions in which all requests of the caller may be served. A request body sent
// to a host elsewhere would leave the places that it is confined to. If Nearby returns nothing, the
// caller keeps the hosts that it knows, which come back at the same addresses after a replacement.
//
// Hosts that are silent are left out.
func (tb *Table) Nearby(now ident.Time, near event.Place, homes []ident.Region) []event.Host {
	active, draining := tb.reachable(now)
	inRegion := func(p event.Place) bool { return p.Region == near.Region }
	for _, c := range []struct {
		hosts []event.Host
		fits  func(p event.Place) bool
	}{
		{active, func(p event.Place) bool { return p.DataCentre == near.DataCentre }},
		{active, inRegion},
		{active, func(p event.Place) bool { return slices.Contains(homes, p.Region) }},
		{draining, inRegion},
		{active, func(p event.Place) bool { return len(homes) == 0 && p.Group() == tb.self.Place.Group() }},
		{active, func(event.Place) bool { return len(homes) == 0 }},
	} {
		if hs := hostsWhere(c.hosts, c.fits); len(hs) > 0 {
			return hs
		}
	}
	return nil
}

// reachable returns the hosts that are probably reachable, those that drain separately. Hosts of
// other data centres come from their summaries and, if this host has just read it, from the
// platform's list: it names a new host before any summary does.
func (tb *Table) reachable(now ident.Time) (active, draining []event.Host) {
	hosts := tb.liveHosts(now)
	useList := !tb.list.readFailed && now.Sub(tb.list.fresh.hostsReadAt) <= maxNearbyAge
	for _, c := range tb.centres {
		seen := value.SetOf[ident.EntryID]()
		if c.HasSummary && c.Age(now) <= maxNearbyAge {
			for _, h := range c.Summary.Hosts {
				seen.Add(h.ID)
				hosts = append(hosts, h)
			}
		}
		for _, h := range c.listed {
			if useList && !seen.Has(h.ID) {
				hosts = append(hosts, h)
			}
		}
	}
	for _, h := range hosts {
		if h.Draining {
			draining = append(draining, h)
			continue
		}
		active = append(active, h)
	}
	return active, draining
}

func hostsWhere(hosts []event.Host, fits func(p event.Place) bool) []event.Host {
	var hs []event.Host
	for _, h := range hosts {
		if fits(h.Place) {
			hs = append(hs, h)
		}
	}
	return hs
}
