package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/once"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Defaults of requests.
const (
	defaultDeadline = 60 * time.Second
	// defaultTokens is the length of an answer whose request names none.
	defaultTokens = 256
	// defaultRetryAfter is when to come back where nothing better is known.
	defaultRetryAfter = time.Second
)

// request is one request that has not had its final answer.
type request struct {
	event.Request
	profile rules.Profile
	client  rules.Client
	// once says that it may not be repeated: by its profile, or because it
	// came with a ticket or key.
	once bool
	// env is set for a request from another entry host.
	env       event.Envelope
	forwarded bool

	// waitedBefore is how long it waited before it arrived here, by its deadline.
	waitedBefore time.Duration
	arrived      ident.Time
	deadline     ident.Time
	// claimPending says that the platform is asked for the key.
	claimPending bool
	// reservedTokens is what was taken from the account's limit.
	reservedTokens ident.Tokens

	tried        value.Set[ident.TargetID]
	triedCentres value.Set[ident.DataCentre]
	tries        int
	// boundTarget is the target that the rest of a stream is bound to, empty for any.
	boundTarget ident.TargetID
	// unsent counts the tries of which nothing was sent to a target.
	unsent int
	// resumeWaits counts how often a broken stream found no place to go on.
	resumeWaits int
	live        *attempt
	// lastDecision is the last decision and denied the last denial, which a refusal is logged with.
	lastDecision route.Decision
	lastDenial   event.Denial
	// lastEnding is which side ended the last attempt that may have run.
	lastEnding event.Ending
	// pendingBar is set while a peer is asked what became of an attempt.
	pendingBar   *attempt
	delivered    ident.Tokens
	generated    ident.Tokens
	answerStored bool
	// mayHaveRun says that an attempt ended without proof that nothing ran.
	mayHaveRun bool
}

// attempt is one try that has not ended.
type attempt struct {
	id     ident.Attempt
	req    *request
	start  ident.Time
	tokens ident.Tokens
	// target is set for an attempt at a target, host for one at another entry
	// host.
	target ident.TargetID
	// incarnation is the one of the target that it was sent to: the target may have
	// started anew since.
	incarnation ident.Incarnation
	host        event.Host
	dec         route.Decision
	sent        bool
	// retryTaken says that the attempt was to be broken off for the silence since silentSince, and
	// that the retry which retryTaken has been taken from the budget.
	retryTaken  bool
	silentSince ident.Time
	// prefillTokens is the part of the prompt that the target has to read and whose first
	// token has not come, before what it had to read first when this was sent.
	prefillTokens ident.Tokens
	prefillAhead  ident.Tokens
}

// arrive takes a new request.
func (rd *Reducer) arrive(now ident.Time, req event.Request) {
	if _, ok := rd.requests[req.ID]; ok {
		return
	}
	env, forwarded := req.Envelope.Get()
	if forwarded {
		if v := rd.once.Arrive(now, env); v.Do != once.Run {
			rd.refuse(now, &request{Request: req}, refusal{code: v.Code, outcome: v.Outcome})
			return
		}
	}
	r := &request{
		Request: req, env: env, forwarded: forwarded, arrived: now,
		tried: value.SetOf[ident.TargetID](), triedCentres: value.SetOf[ident.DataCentre](),
	}
	if ref, ok := rd.resolveRequest(now, r); !ok {
		rd.refuse(now, r, ref)
		return
	}
	rd.requests[req.ID] = r
	rd.countArrival(now, r)
	rd.checkOnce(now, r)
}

// resolveRequest fills in what the request asks for, or returns why it is refused. Nothing of the
// request has been sent by then.
func (rd *Reducer) resolveRequest(now ident.Time, r *request) (refusal, bool) {
	book := rd.spread.Book()
	if book == nil {
		return refuseAs(codes.NotReady), false
	}
	p, ok := book.Profile(r.Profile)
	if !ok {
		return refuseAs(codes.UnknownProfile), false
	}
	r.profile = p
	c, ok := book.Client(r.Account)
	if !ok {
		return refuseAs(codes.UnknownKey), false
	}
	r.client = c
	if !c.May(p.Name) {
		return refuseAs(codes.ProfileForbidden), false
	}
	// The sender has checked the same rule, but may have an older profile. A request
	// of a route may pass through here on its way to an allowed region, since its
	// caller got this host from the directory.
	if !p.Allows(c, rd.self.Place.Region) && (p.Route == nil || r.forwarded) {
		return rd.refuseWithEntries(now, r, codes.OutsideResidency), false
	}
	if r.forwarded && rd.isLoop(r) {
		return refuseAs(codes.TooManyHops), false
	}
	if rd.draining && r.Ticket == "" && !rd.acceptsWhileDraining(now, r) {
		return rd.refuseDraining(now, r), false
	}
	r.once = p.Once || r.Ticket != "" || r.Key != "" || p.Route != nil && !p.Route.Repeatable()
	rd.pickService(r)
	return rd.resolveDeadline(now, r)
}

func (rd *Reducer) resolveDeadline(now ident.Time, r *request) (refusal, bool) {
	r.deadline = r.Deadline
	if r.deadline == 0 {
		r.deadline = now.Add(profileDeadline(r.profile))
	}
	if r.deadline <= now {
		return refuseAs(codes.DeadlinePast), false
	}
	return refusal{}, true
}

func profileDeadline(p rules.Profile) time.Duration {
	if p.DeadlineMs > 0 {
		return time.Duration(p.DeadlineMs) * time.Millisecond
	}
	return defaultDeadline
}

// isLoop guards against a request that goes round: two regions that each
// believe the other idle would pass it to and fro until its deadline, and
// load would rise with nobody new calling. The count and the hosts seen travel
// with the request, so that no host needs to remember it.
func (rd *Reducer) isLoop(r *request) bool {
	if r.env.Crossings > r.profile.MaxCrossings {
		return true
	}
	for _, id := range r.env.Seen {
		if id == rd.self.ID {
			return true
		}
	}
	return false
}

// reserveAndPlace takes a request that may run as far as once-only goes.
func (rd *Reducer) reserveAndPlace(now ident.Time, r *request) {
	if !r.forwarded {
		r.reservedTokens = r.Prompt + answerTokens(r)
		ok, later := rd.quota.Take(now, r.client, r.reservedTokens)
		if !ok {
			r.reservedTokens = 0
			rd.endRefused(now, r, refusal{code: codes.AccountLimit.ID, outcome: event.NotRun, retryAfter: later})
			return
		}
	}
	rd.place(now, r)
}

func answerTokens(r *request) ident.Tokens {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultTokens
}

// callerLeft drops a request whose goroutine has ended. Nothing of it runs:
// the goroutine ends only between attempts.
func (rd *Reducer) callerLeft(now ident.Time, id ident.RequestID) {
	r, ok := rd.requests[id]
	if !ok {
		return
	}
	if r.pendingBar != nil {
		// The answer of the peer still decides the outcome for a repeat.
		return
	}
	outcome := event.NotRun
	if r.mayHaveRun || r.live != nil && r.live.sent {
		outcome = event.Unknown
	}
	if r.live != nil {
		rd.dropAttempt(r.live, healthUnknown)
	}
	rd.closeRequest(now, r, outcome)
}

// closeRequest settles the accounts of a request that is over.
func (rd *Reducer) closeRequest(now ident.Time, r *request, outcome event.Outcome) {
	if rd.requests[r.ID] != r {
		return
	}
	delete(rd.requests, r.ID)
	rd.pools.remove(r)
	if r.reservedTokens > 0 {
		used := r.Prompt + r.generated
		if outcome == event.NotRun {
			used = 0
		}
		rd.quota.Settle(now, r.Account, r.reservedTokens, used)
	}
	if r.once && !r.forwarded {
		rd.once.Ended(now, r.ID, outcome, r.answerStored)
	}
	if r.forwarded {
		rd.once.PeerEnded(now, r.env.Attempt, answerOf(outcome))
	}
}

// answerOf maps an outcome to the answer for a peer that asks "run or bar".
func answerOf(outcome event.Outcome) event.Answer {
	if outcome == event.NotRun {
		return event.Refused
	}
	return event.Ended
}
