package core

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/once"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// onceFirst settles whether a non-idempotent request may run at all, before
// anything else is decided about it. The host that passed a request on has
// settled it already.
func (rd *Reducer) onceFirst(now ident.Time, r *request) {
	switch {
	case r.forwarded || !r.once || r.profile.Route != nil:
		rd.admitted(now, r)
	case r.Ticket != "":
		rd.verdict(now, r, rd.once.Redeem(now, r.Ticket, r.Account, r.Profile, r.ID, r.Print))
	case r.Key != "":
		rd.verdict(now, r, rd.once.UseKey(now, r.Key, r.Print, r.ID))
	default:
		rd.end(now, r, refuseAs(codes.NeedsOnce))
	}
}

func (rd *Reducer) keyClaimed(now ident.Time, e event.KeyClaimed) {
	r, ok := rd.requests[e.Request]
	if ok && !r.claiming {
		// A second answer to one claim.
		return
	}
	if !ok {
		// The caller has left. The claim is settled all the same, so that a
		// repeat with the key is judged by what is on record.
		rd.once.ClaimAnswered(now, e.Request, e.Claim, e.Owner)
		rd.once.Ended(now, e.Request, event.NotRun, false)
		return
	}
	r.claiming = false
	rd.verdict(now, r, rd.once.ClaimAnswered(now, e.Request, e.Claim, e.Owner))
}

func (rd *Reducer) verdict(now ident.Time, r *request, v once.Verdict) {
	switch v.Action {
	case once.Run:
		rd.admitted(now, r)
	case once.Claim:
		r.claiming = true
		rd.emit(event.ClaimKey{Request: r.ID, Key: r.Key, Record: v.Record, Deadline: r.deadline})
	case once.Replay:
		rd.drop(r)
		rd.emit(event.Replay{Request: r.ID, Of: v.ReplayOf})
	case once.Owner:
		rd.drop(r)
		rd.refuse(now, r, rd.owned(v))
	default:
		rd.drop(r)
		rd.refuse(now, r, refusal{code: v.Code, outcome: v.Outcome, later: v.RetryAfter})
	}
}

// drop forgets a request whose ticket or key belongs to another one, without ending that one.
func (rd *Reducer) drop(r *request) { delete(rd.requests, r.ID) }

// owned answers a request whose ticket or key belongs to another host. A host
// that has restarted since can't know whether it ran, and nobody else can.
func (rd *Reducer) owned(v once.Verdict) refusal {
	h, ok := rd.table.Host(v.Entry)
	if !ok || h.Incarnation != v.Incarnation {
		return refusal{code: codes.OutcomeUnknown.ID, outcome: event.Unknown}
	}
	// The outcome is unknown: the owner may have run the first request, and a
	// caller that read "not run" would do the work again by other means.
	return refusal{code: v.Code, outcome: v.Outcome, entries: []event.Host{h}}
}

func (rd *Reducer) ticket(now ident.Time, e event.TicketAsked) {
	ans := event.TicketIssued{Ask: e.Ask}
	ref, ok := rd.judgeTicket(now, e)
	if !ok {
		ans.Code = ref.code
		ans.Entries = ref.entries
		rd.emit(ans)
		return
	}
	ans.Ticket, ans.Valid, ans.Code = rd.once.IssueTicket(now, e.Account, e.Profile, e.Secret)
	rd.emit(ans)
}

// judgeTicket refuses a ticket that this host could not redeem.
func (rd *Reducer) judgeTicket(now ident.Time, e event.TicketAsked) (refusal, bool) {
	r := &request{Request: event.Request{
		ID: ident.RequestID("ticket"), Account: e.Account, Profile: e.Profile,
	}, arrived: now}
	return rd.resolveRequest(now, r)
}
