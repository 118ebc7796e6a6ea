package wire

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// FromHost converts a host.
func FromHost(h event.Host) *Host {
	return &Host{
		Id: string(h.ID), Incarnation: uint64(h.Incarnation), Place: fromPlace(h.Place),
		CallerUrl: h.CallerURL, PeerAddr: h.PeerAddr, Draining: h.Draining,
	}
}

// ToEvent converts a host back.
func (p *Host) ToEvent() event.Host {
	return event.Host{
		ID: ident.EntryID(p.GetId()), Incarnation: ident.Incarnation(p.GetIncarnation()),
		Place: toPlace(p.GetPlace()), CallerURL: p.GetCallerUrl(), PeerAddr: p.GetPeerAddr(),
		Draining: p.GetDraining(),
	}
}

func fromPlace(p event.Place) *Place {
	if p == (event.Place{}) {
		return nil
	}
	return &Place{DataCentre: string(p.DataCentre), Region: string(p.Region), Reach: string(p.Reach)}
}

func toPlace(p *Place) event.Place {
	return event.Place{
		DataCentre: ident.DataCentre(p.GetDataCentre()), Region: ident.Region(p.GetRegion()),
		Reach: ident.DataCentre(p.GetReach()),
	}
}

func fromServe(s rules.Serve) *Serve {
	if s == (rules.Serve{}) {
		return nil
	}
	return &Serve{Model: string(s.Model), Version: string(s.Version), Adapter: string(s.Adapter)}
}

func toServe(p *Serve) rules.Serve {
	return rules.Serve{
		Model: ident.Model(p.GetModel()), Version: ident.Version(p.GetVersion()),
		Adapter: ident.Adapter(p.GetAdapter()),
	}
}

func fromTarget(t event.Target) *Target {
	kind := TargetKind_TARGET_KIND_ENGINE
	if t.Kind == event.Service {
		kind = TargetKind_TARGET_KIND_SERVICE
	}
	return &Target{
		Id: string(t.ID), Incarnation: uint64(t.Incarnation), Kind: kind, Place: fromPlace(t.Place),
		Url: t.URL, Service: t.Service, Draining: t.Draining, Price: float32(t.Price),
		Capacity: uint32(max(t.Capacity, 0)), Closed: t.Evacuated, ColdMs: uint32(millis(t.ColdFor)), Loaded: convert(t.Loaded, fromServe),
		Build: string(t.Build),
	}
}

// toTargets leaves out targets with more slots than any has: they are none.
func toTargets(ps []*Target) []event.Target {
	var ts []event.Target
	for _, p := range ps {
		if p.GetCapacity() <= event.MaxSlots {
			ts = append(ts, toTarget(p))
		}
	}
	return ts
}

func toTarget(p *Target) event.Target {
	kind := event.Engine
	if p.GetKind() == TargetKind_TARGET_KIND_SERVICE {
		kind = event.Service
	}
	return event.Target{
		ID: ident.TargetID(p.GetId()), Incarnation: ident.Incarnation(p.GetIncarnation()), Kind: kind,
		Place: toPlace(p.GetPlace()), URL: p.GetUrl(), Service: p.GetService(),
		Draining: p.GetDraining(), Price: rate(p.GetPrice()),
		Capacity: int(p.GetCapacity()), Evacuated: p.GetClosed(), ColdFor: duration(uint64(p.GetColdMs())), Loaded: convert(p.GetLoaded(), toServe),
		Build: ident.Build(p.GetBuild()),
	}
}
