// Package route chooses where a request runs.
//
// # Usage
//
//	dec := rt.Choose(now, route.Query{...}, table)
//	if dec.Target != nil { ... }
//
// First the filters rule choices out, for good; then the cheapest of the rest
// is taken. Explain lists every choice with the filter that ruled it out or
// the parts of its cost.
package route

import (
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Query is what a choice depends on.
type Query struct {
	Request event.Request
	Profile rules.Profile
	Client  rules.Client
	// Tried holds the targets that failed for this request.
	Tried value.Set[ident.TargetID]
}

// Decision is a choice. With no target, Code tells why.
type Decision struct {
	Target *member.Target
	Serve  rules.Serve
	Code   codes.ID
}

// Router chooses. Its zero value is ready.
type Router struct{}

// filter is one declared reason to rule a target out.
type filter struct {
	code codes.Code
	out  func(q Query, t *member.Target) bool
}

// targetFilters is the table that each target goes through, in order.
var targetFilters = []filter{
	{codes.FilterKind, wrongKind},
	{codes.FilterModel, lacksModel},
	{codes.FilterResidency, outsideResidency},
	{codes.FilterLeaving, func(_ Query, t *member.Target) bool { return t.Leaves }},
	{codes.FilterHealth, func(_ Query, t *member.Target) bool { return t.Suspect() }},
	{codes.FilterTried, func(q Query, t *member.Target) bool { return q.Tried.Has(t.ID) }},
}

func wrongKind(q Query, t *member.Target) bool {
	if q.Profile.Service != "" {
		return t.Kind != event.Service || t.Service != q.Profile.Service
	}
	return t.Kind != event.Engine
}

func lacksModel(q Query, t *member.Target) bool {
	if q.Profile.Service != "" {
		return false
	}
	_, ok := served(q.Profile, t)
	return !ok
}

// served returns the first model of the profile that the target has loaded.
func served(p rules.Profile, t *member.Target) (rules.Serve, bool) {
	for _, want := range p.Models {
		for _, have := range t.Load.Serves {
			if matches(want, have) {
				return have, true
			}
		}
	}
	return rules.Serve{}, false
}

func matches(want, have rules.Serve) bool {
	if want.Model != have.Model || want.Adapter != have.Adapter {
		return false
	}
	return want.Version == "" || want.Version == have.Version
}

func outsideResidency(q Query, t *member.Target) bool {
	return !q.Profile.Allows(q.Client, t.Place.Region)
}

// Choose returns the best target.
func (rt *Router) Choose(_ ident.Time, q Query, tb *member.Table) Decision {
	var left []*member.Target
	for _, t := range tb.Targets() {
		if _, out := ruledOut(q, t); !out {
			left = append(left, t)
		}
	}
	if len(left) == 0 {
		return Decision{Code: codes.NoTarget.ID}
	}
	best := slices.MinFunc(left, func(a, b *member.Target) int { return busy(a) - busy(b) })
	sv, _ := served(q.Profile, best)
	return Decision{Target: best, Serve: sv}
}

func ruledOut(q Query, t *member.Target) (codes.ID, bool) {
	for _, f := range targetFilters {
		if f.out(q, t) {
			return f.code.ID, true
		}
	}
	return "", false
}

func busy(t *member.Target) int { return max(t.Sent, t.Load.Running+t.Load.Queued) }
