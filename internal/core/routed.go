package core

import (
	"cmp"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Bounds hold for all entry hosts of a deployment together. Zero fields stand
// for the defaults.
type Bounds struct {
	// RetryRatio is the most second tries at a service for each of its
	// requests, RetryFloor those that need no requests, both in one
	// retry.Window.
	RetryRatio float64
	RetryFloor int
	// ColdOvershoot and ColdSlack widen the rate of a cold target to what all
	// hosts may send it in one second.
	ColdOvershoot, ColdSlack float64
	// DrainLeast is how long a drain lasts at least, DrainServe how long new
	// requests of routes are served in it whatever they take, DrainEnd when what
	// still runs is cut.
	DrainLeast, DrainServe, DrainEnd time.Duration
	// SharedReads says that the platform's store is read all the time by two hosts
	// of a data centre only.
	SharedReads bool
	// Pace is the fixed part of the time between summaries to data centres
	// that want nothing.
	Pace time.Duration
}

// filled returns the bounds with their defaults.
func (b Bounds) filled() Bounds {
	b.DrainLeast = cmp.Or(b.DrainLeast, drainLeast)
	return b
}

// retryMargin is the part of the budget of second tries that is used. The rest
// covers that each host counts in whole seconds, and tries that are under way
// from one second to the next.
const retryMargin = 0.8

// service returns the budget of second tries of a service. The floor is split
// evenly among the most hosts that were known at one time, so that the sum stays
// within it whoever is cut off from whom; the ratio is of the requests that this
// host took itself, which sum up by themselves. A host that has just started knows
// neither the others nor what it spent before it was restarted: hosts that are
// restarted together would each take the whole floor. So for one window it has half
// of its part, and none before it has read who the others are.
func (rd *Reducer) service(now ident.Time, name string) *retry.Budget {
	b, ok := rd.services[name]
	if !ok {
		b = &retry.Budget{}
		rd.services[name] = b
	}
	rd.hostsMost = max(rd.hostsMost, rd.table.HostCount())
	b.Ratio = retryMargin * rd.bounds.RetryRatio
	b.MinRetries = int(retryMargin * float64(rd.bounds.RetryFloor) / float64(rd.hostsMost))
	if now.Sub(rd.startedAt) < retry.Window {
		b.MinRetries /= 2
	}
	if b.MinRetries == 0 || !rd.table.HasList() {
		b.MinRetries = -1
	}
	if b.Ratio == 0 {
		b.Ratio = -1
	}
	return b
}

// arrived counts a request for the budgets of second tries. One that another
// host passed on was counted there.
func (rd *Reducer) arrived(now ident.Time, r *request) {
	if r.profile.Route == nil {
		rd.budget.RecordArrival(now)
		return
	}
	r.age = rd.slack.Asked(r.profile.Name, r.deadline.Sub(now))
	if !r.forwarded {
		rd.service(now, r.profile.Service).RecordArrival(now)
	}
	if rd.isBrought(r) {
		rd.table.RecordDemand(now, &r.Request, rd.expected(r))
	}
}

// isBrought reports whether a request of a route counts as work of the callers here:
// it came from one, and may be served here, or it had to come, since the data centre
// that took it may not serve it.
func (rd *Reducer) isBrought(r *request) bool {
	from := rd.self.Place.Region
	if r.forwarded {
		from = r.env.FromPlace.Region
	}
	return r.profile.Allows(r.client, from) != r.forwarded
}

// maxUnsent bounds the tries of one request of which no byte reached a target.
// They cost the targets nothing, but each takes some of the caller's time.
const maxUnsent = 4

// reached reports whether a request that was not run has been seen by a target.
func reached(a *attempt, e event.AttemptEnded) bool {
	if a.target == "" {
		return e.Code == codes.Overloaded.ID
	}
	return a.sent
}

// noRoom reports whether another data centre turned a request away for want of room.
func noRoom(code codes.ID) bool {
	return code == codes.Overloaded.ID || code == codes.TurnedAway.ID || code == codes.NoTarget.ID
}

// untried reports whether a refusal is of a forwarded request that no target has seen. It
// counts as no try of a request that may have run, whose caller may have a part of the answer.
func (r *request) untried(ref refusal) bool {
	return r.forwarded && r.tries == 0 && ref.code == codes.Overloaded.ID && ref.outcome == event.NotRun
}

// shedBy is the refusal of a request that a target or another host turned away.
func shedBy(a *attempt, e event.AttemptEnded) refusal {
	ref := refusal{code: codes.NoTarget.ID, outcome: event.NotRun, later: e.RetryAfter}
	if reached(a, e) || e.Code == codes.TurnedAway.ID {
		ref.code = codes.Overloaded.ID
	}
	return ref
}

// pickService settles the service of a request of a route. The host that passed
// it on has picked already: its configuration may be another one, and one
// request must not be counted at two services.
func (rd *Reducer) pickService(r *request) {
	rt := r.profile.Route
	if rt == nil {
		return
	}
	if r.Service == "" {
		r.Service = rt.Pick(rank.Hash(string(r.ID)))
	}
	r.profile.Service = r.Service
}

// finishes reports whether an attempt goes on though its caller has left: only a plain call
// that is not idempotent, so that its outcome stays known.
func (r *request) finishes() bool {
	rt := r.profile.Route
	return r.once && (rt == nil || rt.Kind != rules.Streaming)
}

// keeps reports whether the answer is kept for repeats with the same ticket or
// key, of which a request of a route has none.
func (r *request) keeps() bool { return r.once && r.profile.Route == nil }

// Following of the length of streams.
const (
	// lengthWeight is the weight of one stream in the usual length of its route's.
	lengthWeight = 1.0 / 16
	// maxLengths bounds the routes whose lengths are known. Configurations add and
	// drop routes thousands of times a day; past the bound all are learned anew.
	maxLengths = 4096
)

// streamed records the length of a whole stream.
func (rd *Reducer) streamed(r *request) {
	if rt := r.profile.Route; rt == nil || rt.Kind != rules.Streaming {
		return
	}
	name := r.profile.Name
	if old, ok := rd.lengths[name]; ok {
		rd.lengths[name] = old + lengthWeight*(float64(r.delivered)-old)
		return
	}
	if len(rd.lengths) >= maxLengths {
		clear(rd.lengths)
	}
	rd.lengths[name] = float64(r.delivered)
}

// expected returns how many events the rest of a stream usually has.
func (rd *Reducer) expected(r *request) float64 {
	return max(0, rd.lengths[r.profile.Name]-float64(r.delivered))
}

func (rd *Reducer) streamPaced(e event.StreamPaced) {
	if a, ok := rd.attempts[e.Attempt]; ok && a.req.live == a && rd.isCurrent(a) {
		rd.table.StreamEventReceived(a.target, e.Gap)
	}
}

// coldPerSecond is how many requests a second all hosts together may send to a
// cold target of a service.
func (rd *Reducer) coldPerSecond(service string) float64 {
	s, ok := rd.spread.Book().Service(service)
	if !ok || s.ColdPerSecond <= 0 {
		return 0
	}
	return s.ColdPerSecond*max(rd.bounds.ColdOvershoot, 1) + rd.bounds.ColdSlack
}

func (rd *Reducer) coldSpan(service string) time.Duration {
	s, _ := rd.spread.Book().Service(service)
	return time.Duration(s.ColdMs) * time.Millisecond
}

// noLoad is the age of a load that is not known.
const noLoad = -1

// basis returns the inputs of a decision about a request of a route.
func (rd *Reducer) basis(now ident.Time, r *request, dec route.Decision) event.Basis {
	if r.profile.Route == nil {
		return event.Basis{}
	}
	b := event.Basis{
		Profile: r.profile.Name, Revision: rd.spread.Revision(), Try: r.tries, Wait: dec.Wait, LoadAge: noLoad,
		Expect: rd.expected(r), Pace: rd.table.Pace(now, r.profile.Service), PaceThere: dec.EventInterval,
		Part: dec.SpillShare, Room: dec.RemoteRoom, Full: dec.Full, Unread: dec.PrefillTokens,
	}
	if r.arrived > 0 {
		b.Waited = now.Sub(r.arrived)
		b.Left = rd.startBy(r).Sub(now)
		b.Queued = rd.pools.of(r).waiting()
	}
	if t := dec.Target; t != nil {
		b.Busy = t.Outstanding(now)
		if t.HasLoad {
			b.LoadAge = now.Sub(t.LoadAt)
		}
	}
	return b
}
