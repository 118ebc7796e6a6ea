package peer

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Send executes an effect that is addressed to peers, and returns false for any other effect.
// It never blocks, since the reducer's goroutine calls it.
func (m *Mesh) Send(eff event.Effect) bool {
	switch e := eff.(type) {
	case event.SendDigest:
		m.broadcast(e.To, &wire.Frame{Body: &wire.Frame_Digest{Digest: wire.FromDigest(e.Digest)}}, true)
	case event.SendAdmissions:
		m.broadcast(e.To, &wire.Frame{Body: &wire.Frame_Admissions{Admissions: wire.FromAdmissions(e.Admissions)}}, false)
	case event.SendTargetEnds:
		m.broadcast(e.To, &wire.Frame{Body: &wire.Frame_TargetEnds{TargetEnds: wire.FromTargetEnds(e.Ends, e.Relay)}}, false)
	case event.SendBegun:
		m.broadcast([]event.Host{e.To}, &wire.Frame{Body: &wire.Frame_BegunStreams{BegunStreams: wire.FromBegun(e.Streams, e.Relay)}}, false)
	case event.AskBegun:
		m.broadcast(e.To, &wire.Frame{Body: &wire.Frame_BegunAsk{BegunAsk: &wire.BegunAsk{Stream: uint64(e.Stream), Relay: e.Relay, Confirm: e.Confirm}}}, false)
	case event.AnswerBegun:
		m.answer(e.To, &wire.Frame{Body: &wire.Frame_BegunAnswer{BegunAnswer: wire.FromBegunAnswer(e)}})
	case event.SendSummary:
		m.broadcast([]event.Host{e.To}, &wire.Frame{Body: &wire.Frame_Summary{Summary: wire.FromSummary(e.Summary)}}, true)
	case event.SendChanges:
		m.broadcast(e.To, &wire.Frame{Body: &wire.Frame_Changes{Changes: wire.FromChanges(e.Changes)}}, false)
	case event.SendSnapshot:
		m.enqueue(e.To, item{book: e.Book})
	case event.AskChanges:
		ask := &wire.ChangesWanted{After: uint64(e.After)}
		m.broadcast([]event.Host{e.To}, &wire.Frame{Body: &wire.Frame_ChangesWanted{ChangesWanted: ask}}, false)
	case event.AskBar:
		m.askBar(e)
	case event.AnswerBar:
		m.answerBar(e)
	default:
		return false
	}
	return true
}

// askBar sends a "run or bar" query about an attempt and records which host was queried.
func (m *Mesh) askBar(e event.AskBar) {
	l := m.link(e.To.ID)
	if l == nil || e.Attempt.Entry != m.cfg.Self.ID {
		m.counters.rejected.Inc(1)
		return
	}
	l.addBarQuery(e.Attempt)
	m.broadcast([]event.Host{e.To}, &wire.Frame{Body: &wire.Frame_BarAsk{BarAsk: wire.FromBarAsk(e)}}, false)
}

// answerBar sends the answer to a "run or bar" query. The reducer knows the querying host only
// by name.
func (m *Mesh) answerBar(e event.AnswerBar) {
	if e.Attempt.Entry != e.To {
		m.counters.rejected.Inc(1)
		return
	}
	m.answer(e.To, &wire.Frame{Body: &wire.Frame_BarAnswer{BarAnswer: wire.FromBarAnswer(e)}})
}

// answer queues the answer to a question of a host for its link, without dialling.
func (m *Mesh) answer(to ident.EntryID, f *wire.Frame) {
	frame, ok := m.encode(f)
	if !ok {
		return
	}
	if l := m.link(to); l != nil {
		l.push(item{frame: frame})
	}
}

// broadcast encodes a message once and queues it for each host.
func (m *Mesh) broadcast(to []event.Host, f *wire.Frame, expires bool) {
	frame, ok := m.encode(f)
	if !ok {
		return
	}
	for _, h := range to {
		m.enqueue(h, item{frame: frame, expires: expires})
	}
}

func (m *Mesh) enqueue(h event.Host, it item) {
	l := m.link(h.ID)
	if l == nil {
		return
	}
	l.push(it)
	l.ensureSession(h, false)
}

func (m *Mesh) encode(f *wire.Frame) ([]byte, bool) {
	b, err := wire.Encode(f)
	if err != nil || len(b) > wire.MaxFrame {
		m.cfg.Log.Info("message not sent", "bytes", len(b), "reason", "encoding failed or message too large")
		m.counters.messagesDropped.Inc(1)
		return nil, false
	}
	return b, true
}

// receive passes a message of a peer to the reducer. The sender is the authenticated host of
// the session, whatever the message says.
func (m *Mesh) receive(from event.Host, f *wire.Frame) error {
	switch b := f.GetBody().(type) {
	case *wire.Frame_Ping:
	case *wire.Frame_Digest:
		m.receiveDigest(from, b.Digest)
	case *wire.Frame_Admissions:
		m.receiveAdmissions(from, b.Admissions)
	case *wire.Frame_TargetEnds:
		return m.receiveTargetEnds(from, b.TargetEnds)
	case *wire.Frame_BegunStreams:
		return m.receiveBegun(from, b.BegunStreams)
	case *wire.Frame_BegunAsk:
		m.post(event.BegunAsked{
			From: from.ID, Stream: ident.Stream(b.BegunAsk.GetStream()), Relay: b.BegunAsk.GetRelay() && !m.isLocal(from), Confirm: b.BegunAsk.GetConfirm(),
		})
	case *wire.Frame_BegunAnswer:
		return m.receiveBegunAnswer(from.ID, b.BegunAnswer)
	case *wire.Frame_Summary:
		return m.receiveSummary(from.ID, b.Summary.ToEvent())
	case *wire.Frame_Changes:
		m.post(event.ChangesReceived{From: from.ID, Changes: b.Changes.ToEvent()})
	case *wire.Frame_Snapshot:
		book, err := b.Snapshot.ToEvent()
		if err != nil {
			return err
		}
		m.post(event.SnapshotReceived{From: from.ID, Book: book})
	case *wire.Frame_ChangesWanted:
		m.post(event.ChangesWanted{From: from.ID, After: ident.Revision(b.ChangesWanted.GetAfter())})
	case *wire.Frame_BarAsk:
		m.post(b.BarAsk.ToEvent(from.ID))
	case *wire.Frame_BarAnswer:
		return m.receiveBarAnswer(from.ID, b.BarAnswer)
	default:
		// A newer version may send messages that this one does not know.
		m.counters.rejected.Inc(1)
	}
	return nil
}

// receiveDigest accepts digests only from this data centre: the reducer counts each sender of a
// digest among the hosts that share its targets.
func (m *Mesh) receiveDigest(from event.Host, d *wire.Digest) {
	if !m.isLocal(from) {
		m.counters.rejected.Inc(1)
		return
	}
	m.post(event.DigestReceived{Digest: d.ToEvent(from)})
}

// receiveAdmissions accepts announcements only from this data centre, whose hosts share its part of
// the limits.
func (m *Mesh) receiveAdmissions(from event.Host, p *wire.Admissions) {
	if !m.isLocal(from) {
		m.counters.rejected.Inc(1)
		return
	}
	m.post(p.ToEvent(from.ID))
}

// receiveTargetEnds accepts ends of targets from any host. Only hosts of another data centre may ask
// this one to relay them, since a host reaches those of its own data centre itself.
func (m *Mesh) receiveTargetEnds(from event.Host, p *wire.TargetEnds) error {
	e, err := p.ToEvent(from.ID)
	if err != nil {
		return err
	}
	e.Relay = e.Relay && !m.isLocal(from)
	m.post(e)
	return nil
}

// receiveBegun accepts streams from any host, and relays only those of other data centres.
func (m *Mesh) receiveBegun(from event.Host, p *wire.BegunStreams) error {
	streams, err := p.ToEvent()
	if err != nil {
		return err
	}
	m.post(event.BegunReceived{From: from.ID, Streams: streams, Relay: p.GetRelay() && !m.isLocal(from)})
	return nil
}

func (m *Mesh) receiveBegunAnswer(from ident.EntryID, p *wire.BegunAnswer) error {
	e, err := p.ToEvent(from)
	if err != nil {
		return err
	}
	m.post(e)
	return nil
}

func (m *Mesh) receiveSummary(from ident.EntryID, s event.Summary) error {
	if s.From != from {
		m.counters.rejected.Inc(1)
		return nil
	}
	m.post(event.SummaryReceived{Summary: s})
	return nil
}

// receiveBarAnswer accepts an answer only from the host that was queried. "Barred" allows a
// request to run elsewhere; from a host that never had the request it would let the request run
// twice.
func (m *Mesh) receiveBarAnswer(from ident.EntryID, p *wire.BarAnswer) error {
	ans, err := p.ToEvent(m.cfg.Self.ID)
	if err != nil {
		return err
	}
	l := m.link(from)
	if l == nil || !l.takeBarAnswer(ans) {
		m.counters.rejected.Inc(1)
		return nil
	}
	m.post(ans)
	return nil
}
