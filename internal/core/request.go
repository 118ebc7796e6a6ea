package core

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

func (rd *Reducer) arrive(now ident.Time, req event.Request) {
	r, code, ok := rd.judge(now, req)
	if !ok {
		rd.refuse(req.ID, code, event.NotRun)
		return
	}
	rd.requests[req.ID] = r
	rd.place(now, r)
}

// judge finds what a request asks for, or the reason to refuse it.
func (rd *Reducer) judge(now ident.Time, req event.Request) (*request, codes.Code, bool) {
	if rd.book == nil {
		return nil, codes.NotReady, false
	}
	if rd.draining {
		return nil, codes.Draining, false
	}
	p, ok := rd.book.Profile(req.Profile)
	if !ok {
		return nil, codes.UnknownProfile, false
	}
	c, ok := rd.book.Client(req.Account)
	if !ok {
		return nil, codes.UnknownKey, false
	}
	if !c.May(p.Name) {
		return nil, codes.ProfileForbidden, false
	}
	if !p.Allows(c, rd.table.Self().Place.Region) {
		return nil, codes.OutsideResidency, false
	}
	deadline := req.Deadline
	if deadline == 0 {
		deadline = now.Add(defaultDeadline)
	}
	if deadline <= now {
		return nil, codes.DeadlinePast, false
	}
	return &request{Request: req, profile: p, client: c, deadline: deadline, tried: value.SetOf[ident.TargetID]()}, codes.Code{}, true
}

// place sends a request to the best choice, or refuses it.
func (rd *Reducer) place(now ident.Time, r *request) {
	dec := rd.router.Choose(now, route.Query{Request: r.Request, Profile: r.profile, Client: r.client, Tried: r.tried}, rd.table)
	if dec.Target == nil {
		c, _ := codes.Find(dec.Code)
		rd.end(r, c, event.NotRun)
		return
	}
	rd.number++
	self := rd.table.Self()
	a := &attempt{
		id:  ident.Attempt{Entry: self.ID, Incarnation: self.Incarnation, Number: rd.number},
		req: r, target: dec.Target.ID, inc: dec.Target.Incarnation,
	}
	rd.attempts[a.id] = a
	r.live = a
	r.tries++
	rd.table.Sent(a.target, r.Prompt, r.MaxTokens)
	rd.emit(event.Dispatch{
		Request: r.ID, Attempt: a.id, Target: dec.Target.Target, Serve: dec.Serve,
		Priority: r.profile.Priority, Deadline: r.deadline, Resume: r.delivered, Once: r.profile.Once,
	})
}

func (rd *Reducer) attemptSent(e event.AttemptSent) {
	if a, ok := rd.attempts[e.Attempt]; ok {
		a.sent = true
	}
}

func (rd *Reducer) attemptEnded(now ident.Time, e event.AttemptEnded) {
	a, ok := rd.attempts[e.Attempt]
	if !ok {
		return
	}
	rd.forget(a, e.Result != event.ResultBroken && e.Result != event.ResultFailed)
	r := a.req
	r.delivered = max(r.delivered, e.Delivered)
	if e.Leaving {
		rd.table.MarkLeaving(now, a.target, a.inc)
	}
	switch e.Result {
	case event.ResultDone:
		delete(rd.requests, r.ID)
		rd.emit(event.Finish{Request: r.ID, Outcome: event.Done})
	case event.ResultNotRun:
		rd.again(now, r, a, codes.NoTarget, event.NotRun)
	case event.ResultFailed, event.ResultBroken:
		rd.failed(now, r, a, e)
	}
}

func (rd *Reducer) failed(now ident.Time, r *request, a *attempt, e event.AttemptEnded) {
	if r.profile.Once {
		rd.end(r, codes.OutcomeUnknown, event.Unknown)
		return
	}
	if r.delivered > 0 && !e.Resumable {
		rd.end(r, codes.TargetFailed, event.Unknown)
		return
	}
	rd.again(now, r, a, codes.TargetFailed, event.Unknown)
}

// again retries elsewhere, or ends the request.
func (rd *Reducer) again(now ident.Time, r *request, a *attempt, c codes.Code, outcome event.Outcome) {
	r.tried.Add(a.target)
	if now >= r.deadline {
		rd.end(r, codes.DeadlineExceeded, outcome)
		return
	}
	if r.tries >= maxTries {
		rd.end(r, c, outcome)
		return
	}
	rd.place(now, r)
}

func (rd *Reducer) forget(a *attempt, ok bool) {
	delete(rd.attempts, a.id)
	rd.table.Ended(a.target, a.req.Prompt, a.req.MaxTokens, ok)
	a.req.live = nil
}

func (rd *Reducer) end(r *request, c codes.Code, outcome event.Outcome) {
	delete(rd.requests, r.ID)
	rd.refuse(r.ID, c, outcome)
}

func (rd *Reducer) drop(id ident.RequestID) {
	r, ok := rd.requests[id]
	if !ok {
		return
	}
	if r.live != nil {
		rd.forget(r.live, true)
	}
	delete(rd.requests, id)
}
