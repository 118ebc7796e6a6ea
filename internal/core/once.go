package core

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/once"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// checkOnce decides whether a non-idempotent request may run at all, before any other decision
// about it. For a forwarded request the sending host has decided that already.
func (rd *Reducer) checkOnce(now ident.Time, r *request) {
	switch {
	case r.forwarded || !r.atMostOnce || r.profile.Route != nil:
		rd.reserveAndPlace(now, r)
	case r.Ticket != "":
		rd.applyVerdict(now, r, rd.once.Redeem(now, r.Ticket, r.Account, r.Profile, r.ID, r.Fingerprint))
	case r.Key != "":
		rd.applyVerdict(now, r, rd.once.UseKey(now, r.Key, r.Fingerprint, r.ID))
	default:
		rd.endRefused(now, r, refuseAs(codes.NeedsTicketOrKey))
	}
}

func (rd *Reducer) keyClaimed(now ident.Time, e event.KeyClaimed) {
	r, ok := rd.requests[e.Request]
	if ok && !r.claimPending {
		// This is a duplicate answer to the claim.
		return
	}
	if !ok {
		// The request has ended, for example because its caller has disconnected. The claim is
		// settled anyway, so that a repeat with the key is answered by the recorded outcome.
		rd.once.ClaimAnswered(now, e.Request, e.Claim, e.Owner)
		rd.once.Ended(now, e.Request, event.NotRun, false)
		return
	}
	r.claimPending = false
	rd.applyVerdict(now, r, rd.once.ClaimAnswered(now, e.Request, e.Claim, e.Owner))
}

func (rd *Reducer) applyVerdict(now ident.Time, r *request, v once.Verdict) {
	switch v.Action {
	case once.Run:
		rd.reserveAndPlace(now, r)
	case once.Claim:
		r.claimPending = true
		rd.emit(event.ClaimKey{Request: r.ID, Key: r.Key, Record: v.Record, Deadline: r.deadline})
	case once.Replay:
		rd.dropRequest(r)
		rd.emit(event.Replay{Request: r.ID, Of: v.ReplayOf})
	case once.Owner:
		rd.dropRequest(r)
		rd.refuse(now, r, rd.ownerRefusal(v))
	default:
		rd.dropRequest(r)
		rd.refuse(now, r, refusal{code: v.Code, outcome: v.Outcome, retryAfter: v.RetryAfter})
	}
}

// dropRequest removes a request whose ticket or key belongs to another request, without ending
// the other one.
func (rd *Reducer) dropRequest(r *request) { delete(rd.requests, r.ID) }

// ownerRefusal returns the refusal of a request whose ticket or key belongs to another host. If
// that host has restarted since, neither it nor any other host knows whether the first request
// ran.
func (rd *Reducer) ownerRefusal(v once.Verdict) refusal {
	h, ok := rd.table.Host(v.Entry)
	if !ok || h.Incarnation != v.Incarnation {
		return refusal{code: codes.OutcomeUnknown.ID, outcome: event.Unknown}
	}
	// The outcome is unknown: the owner may have run the first request, and a caller that
	// receives NotRun would do the work again by other means.
	return refusal{code: v.Code, outcome: v.Outcome, entries: []event.Host{h}}
}

func (rd *Reducer) issueTicket(now ident.Time, e event.TicketAsked) {
	ans := event.TicketIssued{Ask: e.Ask}
	ref, ok := rd.validateTicket(now, e)
	if !ok {
		ans.Code = ref.code
		ans.Entries = ref.entries
		rd.emit(ans)
		return
	}
	ans.Ticket, ans.TTL, ans.Code = rd.once.IssueTicket(now, e.Account, e.Profile, e.Secret)
	rd.emit(ans)
}

// validateTicket returns the refusal of a ticket that this host could not redeem.
func (rd *Reducer) validateTicket(now ident.Time, e event.TicketAsked) (refusal, bool) {
	r := &request{Request: event.Request{
		ID: ident.RequestID("ticket"), Account: e.Account, Profile: e.Profile,
	}, arrived: now}
	return rd.resolveRequest(now, r)
}
