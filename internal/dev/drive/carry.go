package drive

import (
	"container/heap"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// carry turns an effect of one host into events.
func (d *Driver) carry(h *Host, eff event.Effect) {
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
		d.carryPeer(h, eff)
	}
}

func (d *Driver) wakeAt(h *Host, e event.Wake) {
	h.wake = e.At
	d.order++
	heap.Push(&d.queue, delivery{at: max(e.At, d.Now), order: d.order, to: h.ID, incarnation: h.Incarnation, ev: event.Tick{}, wake: true})
	h.wake = max(e.At, d.Now)
}

func (d *Driver) carryPeer(h *Host, eff event.Effect) {
	switch e := eff.(type) {
	case event.SendDigest:
		for _, to := range e.To {
			d.message(h.Host, to, e, event.DigestReceived{Digest: e.Digest})
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
		d.carryOutside(h, eff)
	}
}

func (d *Driver) carryOutside(h *Host, eff event.Effect) {
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
		d.readHosts(h)
	case event.ClaimKey:
		d.claim(h, e)
	}
}

// receivedAs is the id under which a host runs a request that was passed to
// it.
func receivedAs(id ident.RequestID, a ident.Attempt) ident.RequestID {
	return id + "~" + ident.RequestID(a.String())
}

// forward brings a request to another host and its end back.
func (d *Driver) forward(h *Host, e event.Forward) {
	a := e.Envelope.Attempt
	d.Post(h.ID, 0, event.AttemptSent{Attempt: a})
	req, ok := d.platform.requests[e.Request]
	if !ok {
		return
	}
	req.ID = receivedAs(e.Request, a)
	req.Deadline = e.Deadline
	req.Ticket, req.Key = "", ""
	req.Envelope = value.Some(e.Envelope)
	d.platform.requests[req.ID] = req
	d.passed[req.ID] = passedOn{from: h.ID, incarnation: h.Incarnation, attempt: a}
	broken := event.AttemptEnded{Attempt: a, Result: event.ResultBroken}
	after, lost := d.Delay(h.Host, e.To)
	late, early := d.Early()
	after += late
	if lost || early {
		d.Post(h.ID, brokenAfter, broken)
	}
	// A receiver that dies or freezes gives no answer; the sender stops
	// waiting at the deadline.
	d.Post(h.ID, max(e.Deadline.Sub(d.Now), 0), broken)
	if lost {
		return
	}
	if d.OnMessage != nil {
		d.OnMessage(h.Host, e.To, e)
	}
	d.postAs(e.To, after, event.RequestArrived{Request: req})
}

// answer takes a final answer: to a caller, or to the host that passed the
// request on.
func (d *Driver) answer(h *Host, id ident.RequestID, outcome event.Outcome, eff event.Effect) {
	p, ok := d.passed[id]
	if !ok {
		d.Answers = append(d.Answers, Answer{At: d.Now, Host: h.ID, Request: id, Outcome: outcome, Effect: eff})
		return
	}
	end := event.AttemptEnded{Attempt: p.attempt, Result: event.ResultBroken}
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
	from := d.Host(p.from)
	if from.Incarnation != p.incarnation {
		return
	}
	after, lost := d.Delay(h.Host, from.Host)
	if lost {
		after = brokenAfter
		end = event.AttemptEnded{Attempt: p.attempt, Result: event.ResultBroken}
	}
	d.Post(p.from, after, end)
}
