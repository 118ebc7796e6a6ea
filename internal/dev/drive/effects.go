package drive

import (
	"container/heap"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// execute executes an effect of a host: it updates the state of the simulation and schedules
// the events that follow.
func (d *Driver) execute(h *Host, eff event.Effect) {
	switch e := eff.(type) {
	case event.Wake:
		d.wakeAt(h, e)
	case event.InForceNow:
		h.Revision = e.Book.Rev()
	case event.Drained:
		h.Drained = true
	case event.Dispatch:
		d.dispatch(h, e)
	case event.Forward:
		d.forward(h, e)
	case event.Refuse:
		d.answer(h, e.Request, e.Outcome, e)
	case event.Finish:
		d.answer(h, e.Request, e.Outcome, e)
	case event.Replay:
		d.answer(h, e.Request, event.Done, e)
	default:
		d.executePeer(h, eff)
	}
}

func (d *Driver) wakeAt(h *Host, e event.Wake) {
	h.nextTick = e.At
	d.lastSeq++
	heap.Push(&d.queue, delivery{at: max(e.At, d.Now), seq: d.lastSeq, to: h.ID, incarnation: h.Incarnation, ev: event.Tick{}, timer: true})
	h.nextTick = max(e.At, d.Now)
}

func (d *Driver) executePeer(h *Host, eff event.Effect) {
	switch e := eff.(type) {
	case event.SendDigest:
		for _, to := range e.To {
			d.message(h.Host, to, e, event.DigestReceived{Digest: e.Digest})
		}
	case event.SendAdmissions:
		for _, to := range e.To {
			d.message(h.Host, to, e, event.AdmissionsReceived{From: h.ID, Admissions: e.Admissions})
		}
	case event.SendTargetEnds:
		for _, to := range e.To {
			d.message(h.Host, to, e, event.TargetEndsReceived{From: h.ID, Ends: e.Ends, Relay: e.Relay})
		}
	case event.SendBegun:
		d.message(h.Host, e.To, e, event.BegunReceived{From: h.ID, Streams: e.Streams, Relay: e.Relay})
	case event.AskBegun:
		for _, to := range e.To {
			d.message(h.Host, to, e, event.BegunAsked{From: h.ID, Stream: e.Stream, Relay: e.Relay, Confirm: e.Confirm})
		}
	case event.AnswerBegun:
		if to := d.Host(e.To); to != nil {
			d.message(h.Host, to.Host, e, event.BegunAnswered{From: h.ID, Stream: e.Stream, Begun: e.Begun, Seen: e.Seen, Confirmed: e.Confirmed, Records: e.Records})
		}
	case event.SendSummary:
		d.message(h.Host, e.To, e, event.SummaryReceived{Summary: e.Summary})
	case event.SendChanges:
		for _, to := range e.To {
			d.message(h.Host, to, e, event.ChangesReceived{From: h.ID, Changes: e.Changes})
		}
	case event.SendSnapshot:
		d.message(h.Host, e.To, e, event.SnapshotReceived{From: h.ID, Book: e.Book})
	case event.AskChanges:
		d.message(h.Host, e.To, e, event.ChangesWanted{From: h.ID, After: e.After})
	case event.AskBar:
		d.message(h.Host, e.To, e, event.BarAsked{From: h.ID, Attempt: e.Attempt, ToIncarnation: e.Incarnation})
	case event.AnswerBar:
		if to := d.Host(e.To); to != nil {
			d.message(h.Host, to.Host, e, event.BarAnswered{Attempt: e.Attempt, Answer: e.Answer})
		}
	default:
		d.executeOutside(h, eff)
	}
}

func (d *Driver) executeOutside(h *Host, eff event.Effect) {
	switch e := eff.(type) {
	case event.PollLoad:
		d.poll(h, e)
	case event.WatchChange:
		d.watch(h, e)
	case event.StopWatch:
		d.stopWatch(h)
	case event.ReadSnapshot:
		d.readSnapshot(h)
	case event.ReadHosts:
		if !d.feeds {
			d.readHosts(h)
		}
	case event.PaceReads:
		d.pace(h, e.Active)
	case event.ReadList:
		switch {
		case d.feeds:
			d.pollList(h)
		case d.ListReads:
			d.readHosts(h)
		}
	case event.RecordBuilds:
		d.recordBuilds(h, e)
	case event.ReadBuilds:
		d.readBuilds(h, e)
	case event.SaveBegun:
		d.saveBegun(h, e)
	case event.ClaimKey:
		d.claim(h, e)
	}
}

// forwardedID returns the id under which a host runs a request that was forwarded to it.
func forwardedID(id ident.RequestID, a ident.Attempt) ident.RequestID {
	return id + "~" + ident.RequestID(a.String())
}

// forward delivers a request to another host and its result back.
func (d *Driver) forward(h *Host, e event.Forward) {
	a := e.Envelope.Attempt
	d.Post(h.ID, 0, event.AttemptSent{Attempt: a})
	req, ok := d.platform.requests[e.Request]
	if !ok {
		return
	}
	req.ID = forwardedID(e.Request, a)
	req.Deadline = e.Deadline
	req.Ticket, req.Key = "", ""
	req.Envelope = value.Some(e.Envelope)
	req.Build, req.AnswerBegan = e.Build, e.ResumeAfter > 0
	d.platform.requests[req.ID] = req
	d.forwarded[req.ID] = forwardedRequest{from: h.ID, incarnation: h.Incarnation, attempt: a}
	broken := event.AttemptEnded{Attempt: a, Result: event.ResultBroken}
	after, lost := d.Delay(h.Host, e.To)
	extra, early := d.EarlyBreak()
	after += extra
	if lost || early {
		d.Post(h.ID, breakDelay, broken)
	}
	// A host that dies or freezes does not answer; the sender stops waiting at the deadline.
	d.Post(h.ID, max(e.Deadline.Sub(d.Now), 0), broken)
	if lost {
		return
	}
	if d.OnMessage != nil {
		d.OnMessage(h.Host, e.To, e)
	}
	d.postToIncarnation(e.To, after, event.RequestArrived{Request: req})
}

// answer delivers a final answer to the caller, or to the host that forwarded the request.
func (d *Driver) answer(h *Host, id ident.RequestID, outcome event.Outcome, eff event.Effect) {
	fwd, ok := d.forwarded[id]
	if !ok {
		d.Answers = append(d.Answers, Answer{At: d.Now, Host: h.ID, Request: id, Outcome: outcome, Effect: eff})
		return
	}
	end := event.AttemptEnded{Attempt: fwd.attempt, Result: event.ResultBroken, Resumable: fwd.begun}
	if fwd.begun {
		end.Delivered = 1
	}
	switch outcome {
	case event.Done:
		end.Result = event.ResultDone
	case event.NotRun:
		end.Result = event.ResultNotRun
	}
	if ref, ok := eff.(event.Refuse); ok {
		end.Code = ref.Code
		end.RetryAfter = ref.RetryAfter
	}
	from := d.Host(fwd.from)
	if from.Incarnation != fwd.incarnation {
		return
	}
	after, lost := d.Delay(h.Host, from.Host)
	if lost {
		after = breakDelay
		end = event.AttemptEnded{Attempt: fwd.attempt, Result: event.ResultBroken}
	}
	d.Post(fwd.from, after, end)
}
