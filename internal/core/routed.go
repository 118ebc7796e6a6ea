package core

import (
	"cmp"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/length"
	"verbenadale.example/verbenadale/internal/quota"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Bounds are limits that apply to all entry hosts of a deployment together. Zero fields select the
// defaults.
type Bounds struct {
	// RetryRatio bounds the retries at a service as a fraction of its requests, and RetryFloor is
	// the number of retries that need no requests. Both apply to one retry.Window.
	RetryRatio float64
	RetryFloor int
	// RetryHold is how long after its start a host retries nothing that a target has received.
	RetryHold time.Duration
	// ColdOvershoot and ColdSlack extend the rate of a cold target to what all hosts together may
	// send it in one second: the rate times ColdOvershoot plus ColdSlack.
	ColdOvershoot, ColdSlack float64
	// MinDrain is the minimum duration of a drain. During the first DrainAccept of a drain, new
	// requests of routes are accepted whatever their deadline. DrainTimeout is the time from the
	// start of a drain to event.DrainExpired, which ends the remaining requests.
	MinDrain, DrainAccept, DrainTimeout time.Duration
	// Accounts bounds what the hosts admit of the requests of one account.
	Accounts quota.Bounds
	// KeyTTL is how long a host accepts API keys after the platform or a peer has last confirmed
	// its configuration. Zero means no limit.
	KeyTTL time.Duration
	// SharedReads limits continuous reads of the platform's store to one host of each data
	// centre.
	SharedReads bool
	// SummaryInterval is the fixed part of the interval between summaries to data centres that
	// need nothing.
	SummaryInterval time.Duration
}

// withDefaults returns the bounds with their defaults filled in.
func (b Bounds) withDefaults() Bounds {
	b.MinDrain = cmp.Or(b.MinDrain, defaultMinDrain)
	b.RetryHold = cmp.Or(b.RetryHold, defaultRetryHold)
	return b
}

const (
	// retryMargin is the fraction of the retry budget that is used. The rest allows for requests that hosts
	// count later than their callers sent them, and for attempts at silent targets that arrive after they were
	// given up.
	retryMargin = 0.8
	// defaultRetryHold is how long a host that has just started retries nothing. It does not know what it spent
	// before: after that time, nothing of it counts any more, and the other hosts know this one and have
	// reduced their shares.
	defaultRetryHold = retry.Window + discoveryWindow
)

// retryBudget returns the retry budget of a service. The floor is split evenly among the highest
// number of hosts known at one time, so that the sum stays within the floor in any partition. The
// ratio applies to the requests that this host accepted from callers, so the hosts' budgets add
// up to it without coordination. A host that has just started has no share for defaultRetryHold, and
// none before it has read the list of hosts.
func (rd *Reducer) retryBudget(now ident.Time, name string) *retry.Budget {
	b, ok := rd.retryBudgets[name]
	if !ok {
		b = &retry.Budget{}
		rd.retryBudgets[name] = b
	}
	rd.maxHosts = max(rd.maxHosts, rd.table.HostCount())
	b.Ratio = retryMargin * rd.bounds.RetryRatio
	b.MinRetries = int(retryMargin * float64(rd.bounds.RetryFloor) / float64(rd.maxHosts))
	if b.MinRetries == 0 || !rd.table.HasList() || now.Sub(rd.startedAt) < rd.bounds.RetryHold {
		b.MinRetries = -1
	}
	if b.Ratio == 0 {
		b.Ratio = -1
	}
	return b
}

// countArrival counts a request for the retry budgets and for the demand, and estimates how long
// its caller has waited before. For the retry budget of a service, a forwarded request was counted
// by the host that forwarded it.
func (rd *Reducer) countArrival(now ident.Time, r *request) {
	if r.profile.Route == nil {
		rd.budget.RecordArrival(now)
		return
	}
	r.waitedBefore = rd.slack.Arrived(r.profile.Name, r.deadline.Sub(now))
	if !r.forwarded {
		rd.retryBudget(now, r.profile.Service).RecordArrival(now)
	}
	if rd.isLocalDemand(r) {
		rd.table.RecordDemand(now, &r.Request, rd.expectedEvents(r))
	}
}

// isLocalDemand reports whether a request of a route counts as demand here: a caller sent it to
// this host and this region may serve it, or it was forwarded by a region that may not serve it.
func (rd *Reducer) isLocalDemand(r *request) bool {
	from := rd.self.Place.Region
	if r.forwarded {
		from = r.env.FromPlace.Region
	}
	return r.profile.Allows(r.client, from) != r.forwarded
}

// maxUnsentAttempts bounds the attempts of one request that sent no byte to a target. They cost the
// targets nothing, but each takes some of the caller's time.
const maxUnsentAttempts = 4

// reachedTarget reports whether a target has received a request that was not run.
func reachedTarget(a *attempt, e event.AttemptEnded) bool {
	if a.target == "" {
		return e.Code == codes.Overloaded.ID
	}
	return a.sent
}

// lacksCapacity reports whether another data centre refused a request for lack of capacity.
func lacksCapacity(code codes.ID) bool {
	return code == codes.Overloaded.ID || code == codes.ForwardRefused.ID || code == codes.NoTarget.ID
}

// forwardedCode returns the code with which a forwarded request that has not run is refused: the host that forwarded
// it learns by the code whether a target has received it, and counts the attempt if so.
func (r *request) forwardedCode(code codes.ID) codes.ID {
	switch {
	case r.attemptCount > 0:
		return codes.Overloaded.ID
	case code == codes.Overloaded.ID:
		return codes.ForwardRefused.ID
	}
	return code
}

// shedRefusal returns the refusal of a request that a target or another host has refused.
func shedRefusal(a *attempt, e event.AttemptEnded) refusal {
	ref := refusal{code: codes.NoTarget.ID, outcome: event.NotRun, retryAfter: e.RetryAfter}
	if reachedTarget(a, e) || e.Code == codes.ForwardRefused.ID {
		ref.code = codes.Overloaded.ID
	}
	return ref
}

// pickService selects the service of a request of a route. For a forwarded request the sending
// host has selected it already: its configuration may differ, and one request must not be counted
// at two services.
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

// outlivesCaller reports whether an attempt continues after its caller has disconnected. Only an
// at-most-once request that is not a stream of a route does, so that its outcome stays known.
func (r *request) outlivesCaller() bool {
	rt := r.profile.Route
	return r.atMostOnce && (rt == nil || rt.Kind != rules.Streaming)
}

// storesAnswer reports whether the answer is stored for repeats with the same ticket or key. A
// request of a route has neither.
func (r *request) storesAnswer() bool { return r.atMostOnce && r.profile.Route == nil }

// recordStreamLength records the length of a complete stream.
func (rd *Reducer) recordStreamLength(r *request) {
	if r.isRoutedStream() {
		rd.lengths.Complete(r.profile.Name, r.LengthHint, float64(r.deliveredTokens()))
	}
}

// recordUnfinishedStream records a stream that its deadline broke off.
func (rd *Reducer) recordUnfinishedStream(now ident.Time, r *request) {
	if r.isRoutedStream() && now >= r.deadline {
		rd.lengths.Broken(r.profile.Name, r.LengthHint, float64(r.deliveredTokens()))
	}
}

func (r *request) isRoutedStream() bool {
	rt := r.profile.Route
	return rt != nil && rt.Kind == rules.Streaming
}

// expectedLength estimates the number of events of a stream.
func (rd *Reducer) expectedLength(r *request) length.Estimate {
	if !r.isRoutedStream() {
		return length.Estimate{}
	}
	est, _ := rd.lengths.Estimate(r.profile.Name, r.LengthHint)
	return est
}

// expectedEvents predicts how many events the rest of a stream has.
func (rd *Reducer) expectedEvents(r *request) float64 {
	return rd.expectedLength(r).Remaining(r.deliveredTokens())
}

func (rd *Reducer) streamPaced(now ident.Time, e event.StreamPaced) {
	a, ok := rd.attempts[e.Attempt]
	if !ok || a.req.live != a || !rd.isCurrent(a) {
		return
	}
	rd.table.StreamEventReceived(a.target, e.Gap)
	if !a.survived {
		a.survived = rd.poison.Survived(now, subjectOf(a.req), a.start, a.answerBeganAt)
	}
}

// coldPerSecond returns how many requests per second all hosts together may send to a cold target
// of a service.
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

// loadAgeUnknown is the load age of a target without a load report.
const loadAgeUnknown = -1

// retryAgeUnknown is the age of a retry that the budget has not granted.
const retryAgeUnknown = -1

// basis returns the inputs of a decision about a request of a route.
func (rd *Reducer) basis(now ident.Time, r *request, dec route.Decision) event.Basis {
	if r.profile.Route == nil {
		return event.Basis{}
	}
	b := event.Basis{
		Profile: r.profile.Name, Account: r.Account, Content: r.Content, Parts: r.Parts, Origin: r.Origin, TakenUp: r.TakenUp, Revision: rd.spread.Revision(), Attempts: r.attemptCount, PredictedWait: dec.Wait, LoadAge: loadAgeUnknown,
		ExpectedEvents: rd.expectedEvents(r), EventGap: rd.table.Pace(now, r.profile.Service), RemoteEventGap: dec.EventInterval,
		ForwardedShare: dec.SpillShare, RemotePrefillRoom: dec.RemoteRoom, CapacityLimited: dec.Full, UncachedPrompt: dec.PrefillTokens,
	}
	if r.attemptCount > 1 {
		b.RetryAge = retryAgeUnknown
	}
	if r.live != nil && r.live.retry != nil {
		b.RetryAge = r.live.retry.Age(now)
	}
	if r.buildFrom != "" {
		b.BuildFrom, b.ListAge = r.buildFrom, now.Sub(rd.table.ListConfirmedAt())
	}
	if r.arrived > 0 {
		b.Waited = now.Sub(r.arrived)
		b.RemainingTime = rd.queueDeadline(r).Sub(now)
		b.Queued = rd.pools.of(r).waiting()
	}
	if t := dec.Target; t != nil {
		b.InFlight = t.Outstanding(now)
		if t.HasLoad {
			b.LoadAge = now.Sub(t.LoadAt)
		}
		b.RateLimit, b.RateLimitAge = t.RateLimit(now)
	}
	return b
}
