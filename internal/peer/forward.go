package peer

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/httpcl"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// maxEagerBody is the longest body in bytes that is sent before the peer requests it. It fits
// into the window of a new stream, so that writing it can't block on a peer that refuses the
// request.
const maxEagerBody = 64 << 10

// Forward forwards a request to another entry host and returns the result. It calls onSend
// before the first byte can reach the host.
//
// The host does not run the request before it has the whole body. A link that breaks before the
// first piece of the body is written therefore proves that the request was not run; a link that
// breaks later proves nothing.
func (m *Mesh) Forward(ctx context.Context, req serve.ForwardedRequest, onSend func(), relay serve.Relay) event.AttemptEnded {
	s, ok := m.awaitSession(ctx, req.Forward.To)
	if !ok {
		return event.AttemptEnded{Result: event.ResultNotRun, Code: codes.NoTarget.ID}
	}
	if !s.reserveStream() {
		m.counters.full.Inc(1)
		return event.AttemptEnded{Result: event.ResultNotRun, Code: codes.Overloaded.ID}
	}
	defer s.streams.Add(-1)
	st, err := s.mux.OpenStream()
	if err != nil {
		s.unacknowledged.Add(-1)
		return event.AttemptEnded{Result: event.ResultNotRun, Code: codes.NoTarget.ID}
	}
	c := &outboundRequest{ForwardedRequest: req, m: m, session: s, stream: newRequestStream(m, st), relay: relay, delivered: req.Call.Resume}
	c.delivered = max(c.delivered, req.Forward.ResumeAfter)
	// Closing the stream before its end frame signals that the caller has disconnected.
	defer st.Close()
	stop := context.AfterFunc(ctx, c.stream.cancelIO)
	defer stop()
	onSend()
	return c.exchange()
}

// reserveStream reserves one of the MaxStreams slots for a request to the peer. OpenStream
// blocks while the backlog of streams that the peer has not accepted is full, so at most half
// of the slots may be unacknowledged.
func (s *session) reserveStream() bool {
	limit := int32(s.m.cfg.Bounds.MaxStreams)
	total, unacknowledged := s.streams.Add(1), s.unacknowledged.Add(1)
	if total <= limit && unacknowledged <= max(limit/2, 1) {
		return true
	}
	s.streams.Add(-1)
	s.unacknowledged.Add(-1)
	return false
}

// awaitSession returns a session with the given incarnation of a host, or with any if the
// incarnation is zero. It returns false if another incarnation is connected. If there is no
// session, it waits for one up to LinkTimeout.
func (m *Mesh) awaitSession(ctx context.Context, to event.Host) (*session, bool) {
	l := m.link(to.ID)
	if l == nil {
		return nil, false
	}
	l.ensureSession(to, false)
	sub := m.cfg.Clock.At(m.cfg.Clock.Now().Add(m.cfg.Timing.LinkTimeout))
	defer sub.Close()
	for {
		s, added := l.current()
		if s != nil {
			return s, to.Incarnation == 0 || s.host.Incarnation == to.Incarnation
		}
		select {
		case <-added:
		case <-sub.C():
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}

// outboundRequest is one request that is forwarded to a peer.
type outboundRequest struct {
	serve.ForwardedRequest
	m       *Mesh
	session *session
	stream  *requestStream
	relay   serve.Relay

	// acknowledged is set once the peer has sent a message or the exchange has ended, bodySent
	// once a piece of the body may have reached the peer, answerBegun once the answer has
	// begun.
	acknowledged, bodySent, answerBegun bool
	// receivedBytes counts the bytes of the answer, delivered the tokens.
	receivedBytes uint64
	delivered     ident.Tokens
	// events is set if the answer is a stream of events. held is the part of an event whose rest has
	// not come: a stream that is resumed goes on behind a whole event.
	events bool
	held   []byte
}

// maxHeld bounds the bytes of an event that are held until the rest has come. It exceeds the longest
// event that hosts relay.
const maxHeld = 1 << 20

func (c *outboundRequest) exchange() event.AttemptEnded {
	defer c.acknowledge()
	if err := c.stream.write(&wire.Part{Body: &wire.Part_Open{Open: c.openMessage()}}); err != nil {
		return c.brokenResult()
	}
	if c.sendsBodyEagerly() {
		if err := c.sendBody(); err != nil {
			return c.brokenResult()
		}
	}
	for {
		msg, err := c.stream.read()
		if err != nil {
			return c.brokenResult()
		}
		c.acknowledge()
		if e := msg.GetEnd(); e != nil {
			return c.checkEnd(e)
		}
		if err := c.receive(msg); err != nil {
			return c.brokenResult()
		}
	}
}

// acknowledge stops counting the stream as unacknowledged.
func (c *outboundRequest) acknowledge() {
	if !c.acknowledged {
		c.acknowledged = true
		c.session.unacknowledged.Add(-1)
	}
}

func (c *outboundRequest) openMessage() *wire.Open {
	remaining := c.Forward.Deadline.Sub(c.m.cfg.Clock.Now())
	req := c.Request
	req.EndedRuns, req.Build = c.Forward.EndedRuns, c.Forward.Build
	o := wire.FromRequest(req, c.Forward.Envelope, remaining)
	if c.Call.AnswerID != "" {
		o.Request = string(c.Call.AnswerID)
	}
	o.Resume = int64(c.delivered)
	o.Once = c.Forward.AtMostOnce
	o.Method, o.Path, o.Header = c.Call.Method, c.Call.Path, wire.FromHeader(c.Call.Header)
	o.Stream, o.Engine = c.Call.Stream, c.Call.Engine
	o.Routed, o.Resumable, o.Service = c.Call.Routed, c.Call.Resumable, c.Forward.Service
	return o
}

// sendsBodyEagerly reports whether the body is sent before the peer requests it, which saves a
// round trip. The body of a confined profile waits until the peer has accepted the request: the
// peer's configuration may be newer and forbid what this host's still allows.
func (c *outboundRequest) sendsBodyEagerly() bool {
	if c.m.cfg.Confined == nil || c.m.cfg.Confined(c.Request.Profile, c.Request.Account) {
		return false
	}
	return len(c.Call.Body) <= maxEagerBody
}

func (c *outboundRequest) sendBody() error {
	if c.bodySent {
		return nil
	}
	c.bodySent = true
	ps := splitPieces(c.Call.Body)
	for n, b := range ps {
		msg := &wire.Part{Body: &wire.Part_Piece{Piece: &wire.Piece{Body: b, Last: n == len(ps)-1}}}
		if err := c.stream.write(msg); err != nil {
			return err
		}
	}
	return nil
}

func (c *outboundRequest) receive(msg *wire.Part) error {
	switch b := msg.GetBody().(type) {
	case *wire.Part_GoOn:
		return c.sendBody()
	case *wire.Part_Begin:
		if c.answerBegun || !c.bodySent {
			return wire.ErrFormat
		}
		status, h := int(b.Begin.GetStatus()), wire.ToHeader(b.Begin.GetHeader())
		if err := httpcl.CheckHead(status, h); err != nil {
			return errors.Wrap(wire.ErrFormat, err.Error())
		}
		c.answerBegun = true
		c.events = c.Call.Stream && status == http.StatusOK && serve.IsEventStream(h)
		if c.relay.Build != nil {
			c.relay.Build(ident.Build(b.Begin.GetBuild()))
		}
		c.relay.Begin(status, h)
		return nil
	case *wire.Part_Data:
		return c.receiveData(b.Data)
	}
	return wire.ErrFormat
}

func (c *outboundRequest) receiveData(d *wire.Data) error {
	if !c.answerBegun {
		return wire.ErrFormat
	}
	c.receivedBytes += uint64(len(d.GetBody()))
	body := d.GetBody()
	if c.events && (d.GetPartial() || len(c.held) > 0) {
		c.held = append(c.held, body...)
		body = c.held
	}
	if len(c.held) > maxHeld {
		return errors.Wrapf(wire.ErrFormat, "an event is longer than %d bytes", maxHeld)
	}
	if c.events && d.GetPartial() {
		return nil
	}
	c.held = nil
	upto := ident.Tokens(d.GetUpto())
	if err := c.relay.Data(body, upto); err != nil {
		return err
	}
	c.delivered = max(c.delivered, upto)
	return nil
}

// brokenResult returns the result for a stream that ended before its end frame.
func (c *outboundRequest) brokenResult() event.AttemptEnded {
	end := event.AttemptEnded{Result: event.ResultBroken, Resumable: c.Call.Stream}
	if !c.bodySent {
		end = event.AttemptEnded{Result: event.ResultNotRun, Code: codes.NoTarget.ID}
	}
	return c.addProgress(end)
}

// checkEnd accepts an end frame only if it agrees with what was received. A truncated answer
// must not count as complete, and an answer that has begun contradicts a request that was not
// run.
func (c *outboundRequest) checkEnd(e *wire.End) event.AttemptEnded {
	end, err := e.ToEvent()
	if err != nil {
		return c.brokenResult()
	}
	switch end.Result {
	case event.ResultDone:
		if !c.answerBegun || e.GetBytes() != c.receivedBytes || len(c.held) > 0 {
			return c.brokenResult()
		}
	case event.ResultNotRun:
		if c.answerBegun {
			return c.brokenResult()
		}
	}
	return c.addProgress(end)
}

func (c *outboundRequest) addProgress(end event.AttemptEnded) event.AttemptEnded {
	if !c.Call.Stream {
		return end
	}
	from := max(c.Call.Resume, c.Forward.ResumeAfter)
	end.Delivered = c.delivered
	end.Generated = max(end.Generated, c.delivered-from)
	return end
}
