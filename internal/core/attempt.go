package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/mech"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/order"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

func (rd *Reducer) query(now ident.Time, r *request) route.Query {
	return route.Query{
		Request: r.Request, Profile: r.profile, Client: r.client,
		TriedTargets: r.triedTargets, TriedCentres: r.triedCentres, OnlyTarget: r.boundTarget,
		Crossings: r.env.Crossings, Forwarded: r.forwarded, DeliveredTokens: r.deliveredTokens(), MayHaveRun: r.mayHaveRun, Build: rd.requiredBuild(now, r),
		Backlog: rd.pools.of(r).backlog(), ExpectedEvents: rd.expectedEvents(r), Length: rd.expectedLength(r), Deadline: r.deadline,
	}
}

// place sends a request to the best target or data centre, queues it until one has capacity, or
// refuses it.
func (rd *Reducer) place(now ident.Time, r *request) {
	if now >= r.deadline {
		rd.endRefused(now, r, refuseAs(codes.DeadlineExceeded))
		return
	}
	if rd.isPoison(now, r) {
		rd.endPoison(now, r)
		return
	}
	rd.chooseQueue(now, r)
	pl := rd.pools.of(r)
	dec := rd.router.Choose(now, rd.query(now, r), rd.table)
	r.lastDecision = dec
	switch {
	case dec.Target == nil && dec.Centre == "" && !dec.Full:
		rd.handleNoTarget(now, r, dec.Code)
	case dec.Full && r.boundTarget != "":
		rd.schedulePlace(now, r)
	case dec.Full || pl.hasOthersWaiting(r) && dec.Centre == "" && r.boundTarget == "" && !r.hasBegun():
		rd.enqueue(now, pl, r, dec)
	case now.Add(dec.Wait) > r.deadline:
		rd.endRefused(now, r, refusal{code: codes.Overloaded.ID, outcome: event.NotRun, retryAfter: dec.Wait})
	default:
		rd.send(now, r, dec)
	}
}

// How often, and at which interval, the rest of a stream looks for a target or waits for the retry
// budget.
const (
	maxResumeWaits = 4
	resumeInterval = 500 * time.Millisecond
)

// handleNoTarget handles a request for which no target is available. During discovery a new request
// is placed again shortly. A request whose caller has a part of the answer is placed again up to
// maxResumeWaits times, since suspected targets may recover and the caller cannot repeat the
// request. All others are refused.
func (rd *Reducer) handleNoTarget(now ident.Time, r *request, code codes.ID) {
	if at := now.Add(discoveryInterval); rd.isDiscovering(now, r) && at < rd.queueDeadline(r) {
		rd.timers.add(timer{at: at, req: r, run: rd.place})
		return
	}
	if rd.waitForRest(now, r) {
		return
	}
	at := now.Add(resumeInterval)
	if r.delivered == 0 || r.resumeWaits >= maxResumeWaits || at >= r.deadline {
		if rd.isBuildGone(now, r) {
			code, r.lastDenial = codes.StreamNotContinued.ID, event.Denial{Reason: event.DeniedBuildGone, Attempts: r.attemptCount}
		}
		rd.endRefused(now, r, noTargetRefusal(r, code))
		return
	}
	r.resumeWaits++
	rd.timers.add(timer{at: at, req: r, run: rd.place})
}

// schedulePlace places a request again after resumeInterval. It is used for a request that is
// bound to one target while that target is full: in the queue it would block requests that can go
// elsewhere.
func (rd *Reducer) schedulePlace(now ident.Time, r *request) {
	at := now.Add(resumeInterval)
	if at >= r.deadline {
		rd.endRefused(now, r, refuseAs(codes.DeadlineExceeded))
		return
	}
	rd.timers.add(timer{at: at, req: r, run: rd.place})
}

// How long a host discovers other regions after its start, and the interval at which it tries to
// place a waiting request during that time. Links to all other regions were up 0.9 s after a start.
const (
	discoveryWindow   = 2 * time.Second
	discoveryInterval = 50 * time.Millisecond
)

// isDiscovering reports whether a target for a new request may still become known. Shortly after
// its start, for example after a power failure, a host has read the list of targets but may not
// have discovered the other regions yet.
func (rd *Reducer) isDiscovering(now ident.Time, r *request) bool {
	return r.profile.Route != nil && r.delivered == 0 && r.attemptCount == 0 && now.Sub(rd.startedAt) < discoveryWindow
}

// noTargetRefusal returns the refusal of a request for which no target is available.
func noTargetRefusal(r *request, code codes.ID) refusal {
	if r.mayHaveRun {
		return refusal{code: codes.TargetFailed.ID, outcome: event.Unknown}
	}
	return refusal{code: code, outcome: event.NotRun}
}

// send starts an attempt at the target or host that dec selects, if it is the first one or the retry budget
// allows it.
func (rd *Reducer) send(now ident.Time, r *request, dec route.Decision) {
	if rd.draining && r.attemptCount == 0 && rd.leavesToOthers(now, r) {
		rd.endRefused(now, r, rd.refuseDraining(now, r))
		return
	}
	if r.lastDenial = rd.confirmRetry(now, r); r.lastDenial.Reason != "" {
		rd.handleUnconfirmedRetry(now, r)
		return
	}
	rd.lastAttempt++
	a := &attempt{
		id:  ident.Attempt{Entry: rd.self.ID, Incarnation: rd.self.Incarnation, Number: rd.lastAttempt},
		req: r, start: now, dec: dec, tokens: answerTokens(r),
	}
	a.retry, r.retry = r.retry, nil
	rd.attempts[a.id] = a
	r.live = a
	r.queueBuild = ""
	r.attemptCount++
	r.lastDenial = event.Denial{}
	if dec.Target == nil {
		rd.forward(now, r, a)
		return
	}
	a.target, a.incarnation, a.build = dec.Target.ID, dec.Target.Incarnation, dec.Target.Build
	rd.table.RequestSent(a.target, r.Prompt, a.tokens)
	a.prefillAhead = dec.Target.PendingPrefill + dec.Target.PeerPendingPrefill
	a.prefillTokens = dec.PrefillTokens
	rd.table.AddPrefill(a.target, a.prefillTokens)
	rd.table.RecordPrefillShare(r.profile.Service, r.Prompt, dec.PrefillTokens)
	rd.announceHolder(now, r, a.target)
	rd.router.PrefixSent(now, a.target, r.Prefix)
	rd.emit(event.Dispatch{
		Request: r.ID, Attempt: a.id, Target: dec.Target.Target, Serve: dec.Serve,
		Priority: engineLevel(r, dec), Deadline: r.deadline, ResumeAfter: r.delivered,
		AtMostOnce: r.outlivesCaller(), KeepOutcome: r.storesAnswer() && !r.forwarded, CopyFrom: holderOf(dec.CopyFrom),
		Basis: rd.basis(now, r, dec), IdleTimeouts: rd.idleTimeouts(r, dec),
	})
}

// engineLevel returns the priority level of a request at an engine. Without a route it is the
// priority of the profile; see docs/targets.md.
func engineLevel(r *request, dec route.Decision) int {
	if r.profile.Route == nil || !mech.On(codes.OrderByLength) {
		return r.profile.Priority
	}
	return order.Level(r.profile.Priority, dec.PrefillTokens)
}

// announceHolder announces to peers that a target receives a long shared prefix, unless the prefix
// was sent there recently.
func (rd *Reducer) announceHolder(now ident.Time, r *request, id ident.TargetID) {
	if r.profile.Route == nil || !member.HasLongSharedPrefix(&r.Request) || !mech.On(codes.AnnouncedHolders) {
		return
	}
	part := r.Prefix[r.SharedBlocks-1]
	if !rd.router.RecentlySent(now, id, part) {
		rd.table.PrefixSent(id, part)
	}
}

// holderOf returns a target as the holder to copy a prefix from, the zero Holder for nil.
func holderOf(t *member.Target) event.Holder {
	if t == nil {
		return event.Holder{}
	}
	return event.Holder{Target: t.ID, URL: t.URL}
}

// forward sends a request to an entry host of another data centre.
func (rd *Reducer) forward(now ident.Time, r *request, a *attempt) {
	a.host = a.dec.Host
	rd.table.ForwardStarted(a.dec.Centre, a.dec.Pool)
	env := event.Envelope{
		Attempt: a.id, ToIncarnation: a.host.Incarnation, From: rd.self.ID, FromPlace: rd.self.Place,
		Crossings: r.env.Crossings, Visited: append(append([]ident.EntryID(nil), r.env.Visited...), rd.self.ID),
		Revision: rd.spread.Revision(),
	}
	if a.host.Place.Region != rd.self.Place.Region {
		env.Crossings++
	}
	rd.emit(event.Forward{
		Request: r.ID, To: a.host, Envelope: env, Deadline: r.deadline, ResumeAfter: r.delivered,
		AtMostOnce: r.outlivesCaller(), KeepOutcome: r.storesAnswer(), Basis: rd.basis(now, r, a.dec), Service: r.profile.Service,
		IdleTimeouts: rd.idleTimeouts(r, a.dec), EndedRuns: rd.poison.Runs(now, r.Content),
		Build: rd.requiredBuild(now, r),
	})
}

func (rd *Reducer) attemptSent(e event.AttemptSent) {
	if a, ok := rd.attempts[e.Attempt]; ok {
		a.sent = true
	}
}

// firstToken records the first token of an answer, which shows that its target is alive.
func (rd *Reducer) firstToken(now ident.Time, e event.FirstToken) {
	a, ok := rd.attempts[e.Attempt]
	if !ok || a.req.live != a {
		return
	}
	a.answerBeganAt = now
	a.settleRetry(now)
	rd.streamBegan(now, a, e)
	if rd.isCurrent(a) {
		rd.table.AnswerBegan(a.target)
		rd.table.FirstTokenReceived(a.target, a.dec.PrefillTokens, a.prefillAhead, now.Sub(a.start))
		rd.prefillDone(a)
		rd.slack.FirstByte(a.req.profile.Name, now.Sub(a.start))
	}
}

// prefillDone records that the prompt of an attempt has been prefilled.
func (rd *Reducer) prefillDone(a *attempt) {
	if a.prefillTokens > 0 && rd.isCurrent(a) {
		rd.table.PrefillDone(a.target, a.prefillTokens)
	}
	a.prefillTokens = 0
}

// health is what the end of an attempt shows about its target.
type health int

const (
	healthUnknown health = iota
	healthy
	failed
)

// dropAttempt removes an attempt and releases what was reserved for it.
func (rd *Reducer) dropAttempt(now ident.Time, a *attempt, h health) {
	a.settleRetry(now)
	delete(rd.attempts, a.id)
	a.req.live = nil
	rd.prefillDone(a)
	switch {
	case a.target == "":
		rd.table.ForwardEnded(a.dec.Centre, a.dec.Pool)
	case !rd.isCurrent(a):
	case h == healthUnknown:
		rd.table.RequestAborted(a.target, a.req.Prompt, a.tokens)
	default:
		rd.table.RequestEnded(a.target, a.req.Prompt, a.tokens, h == healthy)
	}
}

// healthOf returns what the end of an attempt shows about its target. A target that gave a
// complete answer, even a failure, or refused a request that it received is healthy, and so is a
// draining one. A target that was still running at the deadline may be healthy. Any other has
// failed.
func healthOf(now ident.Time, a *attempt, e event.AttemptEnded) health {
	switch {
	case e.Result == event.ResultDone || e.Draining || e.AnswerBuffered:
		return healthy
	case e.Result == event.ResultNotRun && a.sent:
		return healthy
	case e.Result == event.ResultBroken && now >= a.req.deadline:
		return healthUnknown
	}
	return failed
}

// attemptEnded handles the end of an attempt. A duplicate or late end of an attempt that is not
// live is ignored: it would start another attempt in addition to the one that the peer's answer
// starts, and the job would run twice.
func (rd *Reducer) attemptEnded(now ident.Time, e event.AttemptEnded) {
	a, ok := rd.attempts[e.Attempt]
	if !ok || a.req.live != a {
		return
	}
	r := a.req
	rd.recordTargetEnd(now, a, e)
	rd.recordRest(now, a, e)
	if e.Result == event.ResultNotRun && !reachedTarget(a, e) {
		a.returnRetry()
	}
	rd.dropAttempt(now, a, healthOf(now, a, e))
	if rd.isCurrent(a) && e.Result != event.ResultNotRun {
		rd.table.RecordOutcome(now, a.target, e.Result == event.ResultDone)
	}
	r.delivered = max(r.delivered, e.Delivered)
	r.generated += e.Generated
	switch {
	case a.hostUnreachable(e):
		a.unreachable = true
		rd.table.HostUnreachable(now, a.dec.Centre, a.host)
	case a.target == "" && e.Result == event.ResultNotRun && lacksCapacity(e.Code):
		rd.table.RecordRefusal(now, a.dec.Centre, r.profile.Service)
	}
	if e.Draining && a.target != "" {
		rd.table.MarkDraining(now, a.target, a.incarnation)
	}
	switch e.Result {
	case event.ResultDone:
		rd.table.AnswerCompleted(a.target, now.Sub(a.start))
		r.answerStored = e.OutcomeStored
		rd.pools.of(r).recordRun(now.Sub(a.start), e.Generated)
		rd.recordStreamLength(r)
		rd.close(now, r, event.Done)
		rd.emit(event.Finish{Request: r.ID, Outcome: event.Done})
	case event.ResultNotRun:
		rd.retryOrEnd(now, r, a, e, shedRefusal(a, e))
	case event.ResultFailed, event.ResultBroken:
		rd.handleBroken(now, r, a, e)
	}
	rd.sendWaiting(now)
}

// handleBroken decides how to continue after an attempt that may have run.
func (rd *Reducer) handleBroken(now ident.Time, r *request, a *attempt, e event.AttemptEnded) {
	if e.Code == codes.PoisonRequest.ID || rd.isPoison(now, r) && !e.AnswerBuffered {
		r.mayHaveRun = true
		rd.endPoison(now, r)
		return
	}
	if r.atMostOnce && a.target == "" && e.Result == event.ResultBroken {
		r.pendingBar = a
		rd.askBar(now, r)
		return
	}
	r.mayHaveRun = true
	r.lastEnding = endingOf(now, a, e)
	rd.recordUnfinishedStream(now, r)
	if e.AnswerBuffered && r.delivered == 0 && (r.atMostOnce || !rd.takeRetry(now, r, a, e)) {
		// The target's own failure is more informative to the caller than a refusal by this host.
		rd.deliverBuffered(now, r)
		return
	}
	if e.AnswerBuffered && r.delivered == 0 {
		rd.retryElsewhere(now, r, a, refusal{code: codes.TargetFailed.ID, outcome: event.Unknown})
		return
	}
	if r.atMostOnce {
		rd.endRefused(now, r, refusal{code: codes.OutcomeUnknown.ID, outcome: event.Unknown})
		return
	}
	ref := refusal{code: codes.TargetFailed.ID, outcome: event.Unknown}
	if (r.delivered > 0 || e.Unplaced) && !e.Resumable {
		rd.endRefused(now, r, ref)
		return
	}
	if e.Resumable && e.Generated > 0 && r.profile.Route == nil {
		rd.resumeStream(now, r, a, ref)
		return
	}
	rd.retryOrEnd(now, r, a, e, ref)
}

// hostUnreachable reports whether an attempt ended because there was no link to the host of another
// data centre: nothing was sent, so that another host of that data centre may serve the request.
func (a *attempt) hostUnreachable(e event.AttemptEnded) bool {
	return a.target == "" && !a.sent && e.Result == event.ResultNotRun && e.Code == codes.NoTarget.ID
}

// endingOf returns which side ended an attempt that may have run.
func endingOf(now ident.Time, a *attempt, e event.AttemptEnded) event.Ending {
	switch {
	case now >= a.req.deadline:
		return event.Ending{Side: event.SideDeadline, Reason: event.ReasonDeadlineExpired}
	case e.Silent:
		return event.Ending{Side: event.SideHost, Reason: event.ReasonSilent}
	case a.target == "":
		return event.Ending{Side: event.SidePeer, Reason: event.ReasonClosed}
	case e.Result == event.ResultFailed:
		return event.Ending{Side: event.SideTarget, Reason: event.ReasonFailed}
	}
	return event.Ending{Side: event.SideTarget, Reason: event.ReasonClosed}
}

// deliverBuffered sends the caller the buffered answer, although it is a failure.
func (rd *Reducer) deliverBuffered(now ident.Time, r *request) {
	rd.close(now, r, event.Done)
	rd.emit(event.Finish{Request: r.ID, Outcome: event.Done})
}

// barInterval is the time between two AskBar messages about one attempt.
const barInterval = 300 * time.Millisecond

// askBar asks the peer to bar a broken attempt from running, or to report that it has arrived,
// until the peer gives a final answer or the deadline passes.
func (rd *Reducer) askBar(now ident.Time, r *request) {
	if r.pendingBar == nil {
		return
	}
	if now >= r.deadline {
		rd.endRefused(now, r, refusal{code: codes.OutcomeUnknown.ID, outcome: event.Unknown})
		return
	}
	a := r.pendingBar
	rd.emit(event.AskBar{To: a.host, Incarnation: a.host.Incarnation, Attempt: a.id})
	rd.timers.add(timer{at: min(now.Add(barInterval), r.deadline), req: r, run: rd.askBar})
	rd.attempts[a.id] = a
}

func (rd *Reducer) barAnswered(now ident.Time, e event.BarAnswered) {
	a, ok := rd.attempts[e.Attempt]
	if !ok || a.req.pendingBar != a || e.Answer == event.Running {
		return
	}
	r := a.req
	delete(rd.attempts, a.id)
	r.pendingBar = nil
	switch e.Answer {
	case event.Barred, event.Refused:
		end := event.AttemptEnded{Result: event.ResultNotRun}
		if e.Answer == event.Refused {
			// A target of the peer may have received it.
			end.Code = codes.Overloaded.ID
		}
		rd.retryOrEnd(now, r, a, end, refusal{code: codes.NoTarget.ID, outcome: event.NotRun})
	default:
		rd.endRefused(now, r, refusal{code: codes.OutcomeUnknown.ID, outcome: event.Unknown})
	}
}
