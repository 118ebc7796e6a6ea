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
	// MinDrain is how long a drain lasts at least, DrainAccept how long new
	// requests of routes are served in it whatever they take, DrainTimeout when what
	// still runs is cut.
	MinDrain, DrainAccept, DrainTimeout time.Duration
	// SharedReads says that the platform's store is read all the time by two hosts
	// of a data centre only.
	SharedReads bool
	// SummaryInterval is the fixed part of the time between summaries to data centres
	// that want nothing.
	SummaryInterval time.Duration
}

// withDefaults returns the bounds with their defaults.
func (b Bounds) withDefaults() Bounds {
	b.MinDrain = cmp.Or(b.MinDrain, defaultMinDrain)
	return b
}

// retryMargin is the part of the budget of second tries that is used. The rest
// covers that each host counts in whole seconds, and tries that are under way
// from one second to the next.
const retryMargin = 0.8

// retryBudget returns the budget of second tries of a retryBudget. The floor is split
// evenly among the most hosts that were known at one time, so that the sum stays
// within it whoever is cut off from whom; the ratio is of the requests that this
// host took itself, which sum up by themselves. A host that has just started knows
// neither the others nor what it spent before it was restarted: hosts that are
// restarted together would each take the whole floor. So for one window it has half
// of its part, and none before it has read who the others are.
func (rd *Reducer) retryBudget(now ident.Time, name string) *retry.Budget {
	b, ok := rd.retryBudgets[name]
	if !ok {
		b = &retry.Budget{}
		rd.retryBudgets[name] = b
	}
	rd.maxHosts = max(rd.maxHosts, rd.table.HostCount())
	b.Share = retryMargin * rd.bounds.RetryRatio
	b.Floor = int(retryMargin * float64(rd.bounds.RetryFloor) / float64(rd.maxHosts))
	if now.Sub(rd.startedAt) < retry.Window {
		b.Floor /= 2
	}
	if b.Floor == 0 || !rd.table.ListRead() {
		b.Floor = -1
	}
	if b.Share == 0 {
		b.Share = -1
	}
	return b
}

// countArrival counts a request for the budgets of second tries. One that another
// host passed on was counted there.
func (rd *Reducer) countArrival(now ident.Time, r *request) {
	if r.profile.Route == nil {
		rd.budget.Arrived(now)
		return
	}
	r.waitedBefore = rd.slack.Arrived(r.profile.Name, r.deadline.Sub(now))
	if !r.forwarded {
		rd.retryBudget(now, r.profile.Service).Arrived(now)
	}
	if rd.isLocalDemand(r) {
		rd.table.Brought(now, &r.Request, rd.expectedEvents(r))
	}
}

// isLocalDemand reports whether a request of a route counts as work of the callers here:
// it came from one, and may be served here, or it had to come, since the data centre
// that took it may not serve it.
func (rd *Reducer) isLocalDemand(r *request) bool {
	from := rd.self.Place.Region
	if r.forwarded {
		from = r.env.FromPlace.Region
	}
	return r.profile.Allows(r.client, from) != r.forwarded
}

// maxUnsentTries bounds the tries of one request of which no byte reached a target.
// They cost the targets nothing, but each takes some of the caller's time.
const maxUnsentTries = 4

// reachedTarget reports whether a request that was not run has been seen by a target.
func reachedTarget(a *attempt, e event.AttemptEnded) bool {
	if a.target == "" {
		return e.Code == codes.Overloaded.ID
	}
	return a.sent
}

// lacksCapacity reports whether another data centre turned a request away for want of room.
func lacksCapacity(code codes.ID) bool {
	return code == codes.Overloaded.ID || code == codes.TurnedAway.ID || code == codes.NoTarget.ID
}

// isUntriedForward reports whether a refusal is of a forwarded request that no target has seen. It
// counts as no try of a request that may have run, whose caller may have a part of the answer.
func (r *request) isUntriedForward(ref refusal) bool {
	return r.forwarded && r.tries == 0 && ref.code == codes.Overloaded.ID && ref.outcome == event.NotRun
}

// shedRefusal is the refusal of a request that a target or another host turned away.
func shedRefusal(a *attempt, e event.AttemptEnded) refusal {
	ref := refusal{code: codes.NoTarget.ID, outcome: event.NotRun, retryAfter: e.RetryAfter}
	if reachedTarget(a, e) || e.Code == codes.TurnedAway.ID {
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

// outlivesCaller reports whether an attempt goes on though its caller has left: only a plain call
// that is not idempotent, so that its outcome stays known.
func (r *request) outlivesCaller() bool {
	rt := r.profile.Route
	return r.once && (rt == nil || rt.Kind != rules.Streaming)
}

// storesAnswer reports whether the answer is kept for repeats with the same ticket or
// key, of which a request of a route has none.
func (r *request) storesAnswer() bool { return r.once && r.profile.Route == nil }

// Following of the length of streams.
const (
	// lengthWeight is the weight of one stream in the usual length of its route's.
	lengthWeight = 1.0 / 16
	// maxStreamLengths bounds the routes whose lengths are known. Configurations add and
	// drop routes thousands of times a day; past the bound all are learned anew.
	maxStreamLengths = 4096
)

// recordStreamLength records the length of a whole stream.
func (rd *Reducer) recordStreamLength(r *request) {
	if rt := r.profile.Route; rt == nil || rt.Kind != rules.Streaming {
		return
	}
	name := r.profile.Name
	if old, ok := rd.streamLengths[name]; ok {
		rd.streamLengths[name] = old + lengthWeight*(float64(r.delivered)-old)
		return
	}
	if len(rd.streamLengths) >= maxStreamLengths {
		clear(rd.streamLengths)
	}
	rd.streamLengths[name] = float64(r.delivered)
}

// expectedEvents returns how many events the rest of a stream usually has.
func (rd *Reducer) expectedEvents(r *request) float64 {
	return max(0, rd.streamLengths[r.profile.Name]-float64(r.delivered))
}

func (rd *Reducer) streamPaced(e event.StreamPaced) {
	if a, ok := rd.attempts[e.Attempt]; ok && a.req.live == a && rd.isCurrent(a) {
		rd.table.Paced(a.target, e.Gap)
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

func (rd *Reducer) coldDuration(service string) time.Duration {
	s, _ := rd.spread.Book().Service(service)
	return time.Duration(s.ColdMs) * time.Millisecond
}

// loadAgeUnknown is the age of a load that is not known.
const loadAgeUnknown = -1

// basis returns the inputs of a decision about a request of a route.
func (rd *Reducer) basis(now ident.Time, r *request, dec route.Decision) event.Basis {
	if r.profile.Route == nil {
		return event.Basis{}
	}
	b := event.Basis{
		Profile: r.profile.Name, Revision: rd.spread.Revision(), Try: r.tries, Wait: dec.Wait, LoadAge: loadAgeUnknown,
		Expect: rd.expectedEvents(r), Pace: rd.table.Pace(now, r.profile.Service), PaceThere: dec.Pace,
		Part: dec.Part, Room: dec.Room, Full: dec.Full, Unread: dec.Prefill,
	}
	if r.arrived > 0 {
		b.Waited = now.Sub(r.arrived)
		b.Left = rd.queueDeadline(r).Sub(now)
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
