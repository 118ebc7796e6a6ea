package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/once"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Defaults for requests.
const (
	defaultDeadline = 60 * time.Second
	// defaultTokens is the assumed length of an answer if the request gives none.
	defaultTokens = 256
	// maxDeliveredTokens bounds the tokens of an answer that a caller has, if the request gives no bound.
	maxDeliveredTokens = 1 << 20
	// defaultRetryAfter is the Retry-After time if no better value is known.
	defaultRetryAfter = time.Second
)

// request is a request that has not received its final answer.
type request struct {
	event.Request
	profile rules.Profile
	client  rules.Client
	// atMostOnce is set if the request must not be repeated: its profile or route forbids it, or it
	// came with a ticket or key.
	atMostOnce bool
	// env is set for a request forwarded by another entry host.
	env       event.Envelope
	forwarded bool

	// waitedBefore is how long the caller waited before the request arrived here, derived from
	// its deadline.
	waitedBefore time.Duration
	arrived      ident.Time
	deadline     ident.Time
	// claimPending is set while the platform is asked for the key.
	claimPending bool
	// reservedTokens is what was taken from the limit of the account.
	reservedTokens ident.Tokens

	triedTargets value.Set[ident.TargetID]
	triedCentres value.Set[ident.DataCentre]
	attemptCount int
	// boundTarget is the only target that may receive the rest of a stream, empty for any.
	boundTarget ident.TargetID
	// unsentAttempts counts the attempts that sent nothing to a target. attemptCount does not
	// include them.
	unsentAttempts int
	// resumeWaits counts how often a broken stream has waited for a target or for the retry
	// budget.
	resumeWaits int
	// live is the attempt that has not ended, nil if there is none.
	live *attempt
	// retry is the permission of the retry budget for the next attempt, nil if it has given none.
	retry *retry.Grant
	// lastDecision and lastDenial are logged with a refusal.
	lastDecision route.Decision
	lastDenial   event.Denial
	// lastEnding is which side ended the last attempt that may have run.
	lastEnding event.Ending
	// pendingBar is the attempt whose outcome a peer is being asked for.
	pendingBar   *attempt
	delivered    ident.Tokens
	generated    ident.Tokens
	answerStored bool
	// build is the only build that may serve the request, since the caller may have an event from it;
	// empty for any.
	build ident.Build
	// buildFrom states how the build of a stream that was taken up was found.
	buildFrom event.BuildSource
	// queueBuild is set while the request is queued with those that need the same build.
	queueBuild ident.Build
	// mayHaveRun is set if an attempt ended without proof that nothing ran.
	mayHaveRun bool
}

// deliveredTokens returns how many tokens of the answer the caller has at most. Callers and targets choose the
// ids of events, which need not be counts.
func (r *request) deliveredTokens() ident.Tokens {
	if r.MaxTokens > 0 {
		return min(r.delivered, r.MaxTokens)
	}
	return min(r.delivered, maxDeliveredTokens)
}

// hasBegun reports whether the caller has a part of the answer.
func (r *request) hasBegun() bool { return r.delivered > 0 || r.AnswerBegan }

// attempt is one dispatch or forwarding of a request that has not ended.
type attempt struct {
	id     ident.Attempt
	req    *request
	start  ident.Time
	tokens ident.Tokens
	// target is set for an attempt at a target, host for one forwarded to another entry host.
	target ident.TargetID
	// incarnation is that of the target when the attempt was sent. The target may have restarted
	// since.
	incarnation ident.Incarnation
	// build is that of the target when the attempt was sent.
	build ident.Build
	host  event.Host
	dec   route.Decision
	sent  bool
	// retry is the permission of the retry budget for the attempt, nil for a first one.
	retry *retry.Grant
	// retryTaken is set once this host has decided to abort the attempt, which had been silent
	// since silentSince, and has taken its retry from the budget.
	retryTaken bool
	// targetRestarted is set once this host has found that the target has restarted since, and
	// answerBeganAt when the first token arrived, zero before.
	targetRestarted bool
	answerBeganAt   ident.Time
	// survived is set once the target has been writing the answer for so long that the parts of the prompt
	// do not end it.
	survived bool
	// unreachable is set once the attempt has ended because the host that it was to be
	// forwarded to could not be reached.
	unreachable bool
	silentSince ident.Time
	// prefillTokens is the part of the prompt that the target has to prefill, zero after the
	// first token. prefillAhead is what the target had to prefill before it when the attempt was
	// sent.
	prefillTokens ident.Tokens
	prefillAhead  ident.Tokens
}

// arrive handles a new request.
func (rd *Reducer) arrive(now ident.Time, req event.Request) {
	if _, ok := rd.requests[req.ID]; ok {
		return
	}
	env, forwarded := req.Envelope.Get()
	if forwarded {
		if v := rd.once.AdmitAttempt(now, env); v.Action != once.Run {
			rd.refuse(now, &request{Request: req}, refusal{code: v.Code, outcome: v.Outcome})
			return
		}
	}
	r := &request{
		Request: req, env: env, forwarded: forwarded, arrived: now,
		triedTargets: value.SetOf[ident.TargetID](), triedCentres: value.SetOf[ident.DataCentre](),
	}
	if ref, ok := rd.resolveRequest(now, r); !ok {
		rd.refuse(now, r, ref)
		return
	}
	rd.requests[req.ID] = r
	rd.poison.MergeRuns(now, r.Content, r.EndedRuns, 0)
	rd.countArrival(now, r)
	if rd.findBuild(now, r) {
		rd.checkOnce(now, r)
	}
}

// resolveRequest fills in the profile, client, service and deadline of a request, or returns why
// it is refused. Nothing of the request has been sent at that point.
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
	if r.Account == rules.Anonymous && book.NeedsKey(p) {
		return refuseAs(codes.UnknownKey), false
	}
	if book.NeedsKey(p) && !r.forwarded && rd.keysAreStale(now) {
		return refuseAs(codes.StaleKeys), false
	}
	r.client = c
	r.profile.Priority = c.Priority.Or(p.Priority)
	if !c.MayUse(p.Name) {
		return refuseAs(codes.ProfileForbidden), false
	}
	// The sending host checked the same rule, but may have an older profile. A request of a route
	// may pass through this host on its way to an allowed region, since the directory referred
	// its caller here.
	if !p.Allows(c, rd.self.Place.Region) && (p.Route == nil || r.forwarded) {
		return rd.refuseWithEntries(now, r, codes.OutsideResidency), false
	}
	if r.forwarded && rd.isLoop(r) {
		return refuseAs(codes.TooManyHops), false
	}
	if rd.draining && r.Ticket == "" && !rd.acceptsWhileDraining(now, r) {
		return rd.refuseDraining(now, r), false
	}
	r.atMostOnce = p.AtMostOnce || r.Ticket != "" || r.Key != "" || p.Route != nil && !p.Route.Repeatable()
	rd.pickService(r)
	return rd.resolveDeadline(now, r)
}

// keysAreStale reports whether the configuration has not been confirmed for so long that a key may
// have been removed.
func (rd *Reducer) keysAreStale(now ident.Time) bool {
	return rd.bounds.KeyTTL > 0 && now.Sub(rd.confirmedAt) > rd.bounds.KeyTTL
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

// isLoop reports whether a forwarded request circulates: two regions that each believe the other
// to be idle would forward it back and forth until its deadline, and load would rise without any
// new caller. The envelope carries the number of crossings and the visited hosts, so that no host
// needs to remember the request.
func (rd *Reducer) isLoop(r *request) bool {
	if r.env.Crossings > r.profile.MaxCrossings {
		return true
	}
	for _, id := range r.env.Visited {
		if id == rd.self.ID {
			return true
		}
	}
	return false
}

// reserveAndPlace reserves the tokens of a request from the limit of its account and places it.
// checkOnce has allowed it to run at that point.
func (rd *Reducer) reserveAndPlace(now ident.Time, r *request) {
	if rd.isPoison(now, r) {
		rd.endPoison(now, r)
		return
	}
	if r.forwarded {
		rd.place(now, r)
		return
	}
	ok, retryAfter := rd.quota.Take(now, r.client, limitTokens(r))
	rd.placeWithinLimit(now, r, ok, retryAfter)
}

// placeWithinLimit places a request whose tokens have been taken, and refuses another one. Shortly
// after the start of this host it waits instead, since the part of the limit that is left is not
// known yet.
func (rd *Reducer) placeWithinLimit(now ident.Time, r *request, ok bool, retryAfter time.Duration) {
	at := now.Add(retryAfter)
	switch {
	case ok:
		r.reservedTokens = limitTokens(r)
		rd.place(now, r)
	case rd.quota.IsStarting(now) && at < rd.queueDeadline(r):
		rd.timers.add(timer{at: at, req: r, run: rd.retakeAndPlace})
	default:
		rd.endRefused(now, r, refusal{code: codes.AccountLimit.ID, outcome: event.NotRun, retryAfter: retryAfter})
	}
}

func (rd *Reducer) retakeAndPlace(now ident.Time, r *request) {
	ok, retryAfter := rd.quota.Retake(now, r.client, limitTokens(r))
	rd.placeWithinLimit(now, r, ok, retryAfter)
}

// limitTokens returns the tokens that a request counts against the limit of its account.
func limitTokens(r *request) ident.Tokens {
	if r.Prompt+r.MaxTokens == 0 && r.client.UnstatedTokens > 0 {
		return r.client.UnstatedTokens
	}
	return r.Prompt + answerTokens(r)
}

// usedTokens returns the part of the reserved tokens that a request has used. A request of a route
// states its tokens, and the statement counts; others count the length of the answer.
func usedTokens(r *request, outcome event.Outcome) ident.Tokens {
	switch {
	case outcome == event.NotRun:
		return 0
	case r.profile.Route != nil:
		return r.reservedTokens
	}
	return r.Prompt + r.generated
}

func answerTokens(r *request) ident.Tokens {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return defaultTokens
}

// callerLeft closes a request whose caller has disconnected. If an attempt may have run, the outcome
// is unknown.
func (rd *Reducer) callerLeft(now ident.Time, id ident.RequestID) {
	r, ok := rd.requests[id]
	if !ok {
		return
	}
	if r.pendingBar != nil {
		// The peer's answer still decides the outcome that a repeat receives.
		return
	}
	outcome := event.NotRun
	if r.mayHaveRun || r.live != nil && r.live.sent {
		outcome = event.Unknown
	}
	if r.live != nil {
		rd.dropAttempt(now, r.live, healthUnknown)
	}
	rd.close(now, r, outcome)
}

// close removes a request that has ended, settles its reserved tokens and records its outcome.
func (rd *Reducer) close(now ident.Time, r *request, outcome event.Outcome) {
	if rd.requests[r.ID] != r {
		return
	}
	delete(rd.requests, r.ID)
	rd.pools.remove(r)
	if r.retry != nil {
		r.retry.Return()
	}
	if r.reservedTokens > 0 {
		rd.quota.Settle(now, r.Account, r.reservedTokens, usedTokens(r, outcome))
	}
	if r.atMostOnce && !r.forwarded {
		rd.once.Ended(now, r.ID, outcome, r.answerStored)
	}
	if r.forwarded {
		rd.once.AttemptEnded(now, r.env.Attempt, answerOf(outcome))
	}
}

// answerOf maps an outcome to the answer to a peer's AskBar.
func answerOf(outcome event.Outcome) event.Answer {
	if outcome == event.NotRun {
		return event.Refused
	}
	return event.Ended
}
