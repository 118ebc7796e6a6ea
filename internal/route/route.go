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
	"time"

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
	// TriedCentres holds the data centres that refused or failed it.
	TriedCentres value.Set[ident.DataCentre]
	// Crossings counts the passages between regions so far.
	Crossings ident.Hops
	// Forwarded says that the request came from another entry host.
	Forwarded bool
	// Resume is the number of tokens that have reached the caller.
	Resume ident.Tokens
}

// Decision is a choice. With no target, Code tells why.
type Decision struct {
	Target *member.Target
	Serve  rules.Serve
	// Centre is set when the request is to be passed to Host, an entry host
	// of another data centre. Pool names the offer that it uses.
	Centre ident.DataCentre
	Host   event.Host
	Pool   member.PoolID
	// Wait is the predicted time to the first token at the best choice, even
	// when none has room.
	Wait time.Duration
	// Full says that only room is missing.
	Full bool
	Code codes.ID
}

// Router chooses. Its zero value is ready.
type Router struct {
	// Pick chooses among the targets that the filters leave; nil is the cost
	// policy.
	Pick func(now ident.Time, q Query, left []*member.Target) *member.Target
}

// New returns a router that knows no cache.
func New() *Router { return &Router{} }

// Explain lists every choice and the index of the one taken, -1 for none.
func (rt *Router) Explain(ident.Time, Query, *member.Table) ([]event.Choice, int) { return nil, -1 }

// CacheChanged takes a cache event.
func (rt *Router) CacheChanged(ident.Time, event.CacheChanged, *member.Table) {}

// Learn takes note of a prompt that was sent to a target.
func (rt *Router) Learn(ident.Time, ident.TargetID, []uint64) {}

// Forget drops what is known of the cache of a target.
func (rt *Router) Forget(ident.TargetID) {}

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
