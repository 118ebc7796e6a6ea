package route

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Explain lists all choices, targets before other data centres, and returns the index
// of the one that Choose would take, -1 for none. It changes no state.
func (rt *Router) Explain(now ident.Time, q Query, tb *member.Table) ([]event.Choice, int) {
	v := rt.resetView(now, q, tb)
	dec := rt.decide(v)
	var choices []event.Choice
	chosen := -1
	for _, t := range tb.Targets() {
		if dec.Target == t {
			chosen = len(choices)
		}
		choices = append(choices, rt.explainTarget(v, t))
	}
	for _, c := range tb.Centres(now) {
		if dec.Centre == c.Place.Group() {
			chosen = len(choices)
		}
		choices = append(choices, rt.explainCentre(v, c))
	}
	return choices, chosen
}

func (rt *Router) explainTarget(v *view, t *member.Target) event.Choice {
	ch := event.Choice{Target: t.ID, DataCentre: t.Place.DataCentre}
	if code, out := targetRuledOut(v, t); out {
		ch.RuledOut = code
		return ch
	}
	c := rt.priceTarget(v, t)
	return withCost(ch, c.cost)
}

func (rt *Router) explainCentre(v *view, c *member.Centre) event.Choice {
	ch := event.Choice{DataCentre: c.Place.Group()}
	if code, out := centreRuledOut(v, c, centreFilters[:]); out {
		ch.RuledOut = code
		return ch
	}
	p := usablePool(v, c)
	return withCost(ch, rt.withStartFactor(v, c, p, centreCost(v, c, p)))
}

func withCost(ch event.Choice, k cost) event.Choice {
	ch.Cost = k.sum()
	ch.Wait = k.wait
	ch.Prefill = k.prefill
	ch.Decode = k.decode
	ch.Price = k.price
	ch.Crossing = k.crossing
	return ch
}
