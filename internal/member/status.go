package member

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// candidate is an entry host that callers may use, with its rank.
type candidate struct {
	host event.Host
	// class is 0 for hosts of this data centre, 1 for this region, 2 for other regions, and 3
	// for data centres that are cut off from here but which the caller may still reach.
	class int
	score float64
}

// Classes of candidates.
const (
	classOwn = iota
	classRegion
	classOtherRegion
	classCutOff
)

// EntryHosts returns the entry hosts that callers should use, best first. It omits hosts that
// are draining or in a place that is not allowed. The seed determines the order within a
// class, in which each host gets a share of the callers in proportion to its part of the
// capacity of its data centre.
func (tb *Table) EntryHosts(now ident.Time, allowed func(event.Place) bool, seed uint64) []event.Host {
	var cs []candidate
	if allowed(tb.self.Place) {
		for _, h := range tb.liveHosts(now) {
			cs = addCandidate(cs, h, classOwn, 1, seed)
		}
	}
	for _, c := range tb.centres {
		if allowed(c.Place) {
			cs = tb.addCentreCandidates(now, cs, c, seed)
		}
	}
	slices.SortStableFunc(cs, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.score, a.score), compareHosts(a.host, b.host))
	})
	hs := make([]event.Host, len(cs))
	for i, c := range cs {
		hs[i] = c.host
	}
	return hs
}

func (tb *Table) addCentreCandidates(now ident.Time, cs []candidate, c *Centre, seed uint64) []candidate {
	hosts, class := c.Summary.Hosts, classOtherRegion
	switch {
	case c.CutOff(now):
		hosts, class = c.Hosts, classCutOff
	case c.Place.Region == tb.self.Place.Region:
		class = classRegion
	}
	slots := 1
	for _, p := range c.Summary.Pools {
		slots += p.Slots
	}
	for _, h := range hosts {
		cs = addCandidate(cs, h, class, float64(slots)/float64(len(hosts)), seed)
	}
	return cs
}

func addCandidate(cs []candidate, h event.Host, class int, weight float64, seed uint64) []candidate {
	if h.Draining {
		return cs
	}
	score := rank.Score(rank.Combine(seed, rank.Hash(string(h.ID))), weight)
	return append(cs, candidate{host: h, class: class, score: score})
}

// Status returns the data centres, with this one first, and the targets as this host knows
// them.
func (tb *Table) Status(now ident.Time) ([]event.CentreStatus, []event.TargetStatus) {
	own := tb.summary(now)
	centres := []event.CentreStatus{{
		Place: own.Place, InForce: own.InForce, Hosts: own.Hosts, Pools: own.Pools,
		Representative: tb.representative(now), Watcher: tb.watcher(now),
	}}
	for _, c := range tb.centres {
		st := event.CentreStatus{
			Place: c.Place, InForce: c.Summary.InForce, Hosts: c.Hosts, Pools: c.Summary.Pools,
			CutOff: c.CutOff(now), Representative: c.Summary.From,
		}
		if c.HasSummary {
			st.Age = c.Age(now)
		}
		centres = append(centres, st)
	}
	targets := make([]event.TargetStatus, 0, len(tb.targets))
	for _, t := range tb.targets {
		st := event.TargetStatus{Target: t.Target, Load: t.Load, InFlight: t.InFlight, Suspect: t.Suspect(now), Draining: t.KnownDraining}
		st.RestFor = max(t.restUntil.Sub(now), 0)
		if t.HasLoad {
			st.LoadAge = now.Sub(t.LoadAt)
		}
		targets = append(targets, st)
	}
	return centres, targets
}
