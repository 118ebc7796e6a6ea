package member

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

// candidate is an entry host that callers may use, and how good it is.
type candidate struct {
	host event.Host
	// class is 0 for the own data centre, 1 for the own region, 2 for others,
	// and 3 for data centres that are cut off from here: the caller may reach
	// them all the same.
	class int
	score float64
}

// The classes of candidates.
const (
	classOwn = iota
	classRegion
	classOtherRegion
	classCutOff
)

// EntryHosts returns the entry hosts that callers should use, best first: those
// that live, do not leave and stand in an allowed place. Within a class the
// order is drawn by spread, so that each host gets a share of the callers by
// its part of the capacity of its data centre.
func (tb *Table) EntryHosts(now ident.Time, allowed func(event.Place) bool, spread uint64) []event.Host {
	var cs []candidate
	if allowed(tb.self.Place) {
		for _, h := range tb.liveHosts(now) {
			cs = addCandidate(cs, h, classOwn, 1, spread)
		}
	}
	for _, c := range tb.centres {
		if allowed(c.Place) {
			cs = tb.addCentreCandidates(now, cs, c, spread)
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

func (tb *Table) addCentreCandidates(now ident.Time, cs []candidate, c *Centre, spread uint64) []candidate {
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
		cs = addCandidate(cs, h, class, float64(slots)/float64(len(hosts)), spread)
	}
	return cs
}

func addCandidate(cs []candidate, h event.Host, class int, weight float64, spread uint64) []candidate {
	if h.Draining {
		return cs
	}
	score := rank.Score(rank.Join(spread, rank.Hash(string(h.ID))), weight)
	return append(cs, candidate{host: h, class: class, score: score})
}

// Status returns the data centres, the own first, and the targets as this host
// knows them.
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
		st := event.TargetStatus{Target: t.Target, Load: t.Load, Sent: t.Sent, Suspect: t.Suspect(now), Draining: t.Drains}
		if t.HasLoad {
			st.LoadAge = now.Sub(t.LoadAt)
		}
		targets = append(targets, st)
	}
	return centres, targets
}
