package peer

import (
	"context"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// eagerMost is the longest body that is sent without being asked for. It fits
// into the window of a new stream, so that writing it can't wait for a
// receiver that refuses.
const eagerMost = 64 << 10

// Forward passes a request on to another entry host and returns how that
// ended. It calls sent before the first byte can reach the host.
//
// The host runs nothing before it has the whole body. A link that breaks
// before the first piece of the body was written therefore proves that the
// request was not run; one that breaks later proves nothing.
func (m *Mesh) Forward(ctx context.Context, p serve.ForwardedRequest, sent func(), out serve.Relay) event.AttemptEnded {
	s, ok := m.await(ctx, p.Forward.To)
	if !ok {
		return event.AttemptEnded{Result: event.ResultNotRun, Code: codes.NoTarget.ID}
	}
	if !s.enter() {
		m.cnt.full.Inc(1)
		return event.AttemptEnded{Result: event.ResultNotRun, Code: codes.Overloaded.ID}
	}
	defer s.streams.Add(-1)
	st, err := s.mux.OpenStream()
	if err != nil {
		s.opening.Add(-1)
		return event.AttemptEnded{Result: event.ResultNotRun, Code: codes.NoTarget.ID}
	}
	c := &pass{ForwardedRequest: p, m: m, s: s, part: newPart(m, st), out: out, upto: p.Call.Resume}
	c.upto = max(c.upto, p.Forward.Resume)
	// Closing the stream before its end frame means that the caller has gone.
	defer st.Close()
	stop := context.AfterFunc(ctx, c.part.expire)
	defer stop()
	sent()
	return c.carry()
}

// enter takes a place for one more request to the peer. Opening a stream
// blocks once the peer has left a whole backlog of them without notice, so
// only a part of the places may be in that state.
func (s *session) enter() bool {
	most := int32(s.m.cfg.Bounds.Streams)
	total, opening := s.streams.Add(1), s.opening.Add(1)
	if total <= most && opening <= max(most/2, 1) {
		return true
	}
	s.streams.Add(-1)
	s.opening.Add(-1)
	return false
}

// await returns a session with the meant run of a host. It waits a short time
// for one to stand.
func (m *Mesh) await(ctx context.Context, to event.Host) (*session, bool) {
	l := m.link(to.ID)
	if l == nil {
		return nil, false
	}
	l.want(to, false)
	sub := m.cfg.Clock.At(m.cfg.Clock.Now().Add(m.cfg.Times.Link))
	defer sub.Close()
	for {
		s, came := l.current()
		if s != nil {
			return s, to.Incarnation == 0 || s.host.Incarnation == to.Incarnation
		}
		select {
		case <-came:
		case <-sub.C():
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}

// pass is one request on its way to a peer.
type pass struct {
	serve.ForwardedRequest
	m    *Mesh
	s    *session
	part *part
	out  serve.Relay

	// opened says that the peer has taken notice, bodySent that a piece of
	// the body may have reached it, begun that the answer has begun.
	opened, bodySent, begun bool
	// bytes counts the bytes of the answer, upto the tokens.
	bytes uint64
	upto  ident.Tokens
}

func (c *pass) carry() event.AttemptEnded {
	defer c.notice()
	if err := c.part.write(&wire.Part{Body: &wire.Part_Open{Open: c.open()}}); err != nil {
		return c.broken()
	}
	if c.eager() {
		if err := c.sendBody(); err != nil {
			return c.broken()
		}
	}
	for {
		msg, err := c.part.read()
		if err != nil {
			return c.broken()
		}
		c.notice()
		if e := msg.GetEnd(); e != nil {
			return c.judge(e)
		}
		if err := c.take(msg); err != nil {
			return c.broken()
		}
	}
}

// notice counts the stream as taken notice of.
func (c *pass) notice() {
	if !c.opened {
		c.opened = true
		c.s.opening.Add(-1)
	}
}

func (c *pass) open() *wire.Open {
	left := c.Forward.Deadline.Sub(c.m.cfg.Clock.Now())
	o := wire.FromRequest(c.Request, c.Forward.Envelope, left)
	if c.Call.AnswerID != "" {
		o.Request = string(c.Call.AnswerID)
	}
	o.Resume = int64(c.upto)
	o.Once = c.Forward.Once
	o.Method, o.Path, o.Header = c.Call.Method, c.Call.Path, wire.FromHeader(c.Call.Header)
	o.Stream, o.Engine = c.Call.Stream, c.Call.Engine
	o.Routed, o.Resumable, o.Service = c.Call.Routed, c.Call.Resumable, c.Forward.Service
	return o
}

// eager reports whether the body goes out unasked, which saves a round trip.
// Data that is bound to some places waits until the receiver has agreed: its
// configuration may be newer and forbid what this host's still allows.
func (c *pass) eager() bool {
	if c.m.cfg.Confined == nil || c.m.cfg.Confined(c.Request.Profile) {
		return false
	}
	return len(c.Call.Body) <= eagerMost
}

func (c *pass) sendBody() error {
	if c.bodySent {
		return nil
	}
	c.bodySent = true
	ps := pieces(c.Call.Body)
	for n, b := range ps {
		msg := &wire.Part{Body: &wire.Part_Piece{Piece: &wire.Piece{Body: b, Last: n == len(ps)-1}}}
		if err := c.part.write(msg); err != nil {
			return err
		}
	}
	return nil
}

func (c *pass) take(msg *wire.Part) error {
	switch b := msg.GetBody().(type) {
	case *wire.Part_GoOn:
		return c.sendBody()
	case *wire.Part_Begin:
		if c.begun || !c.bodySent {
			return wire.ErrFormat
		}
		c.begun = true
		c.out.Begin(int(b.Begin.GetStatus()), wire.ToHeader(b.Begin.GetHeader()))
		return nil
	case *wire.Part_Data:
		return c.data(b.Data)
	}
	return wire.ErrFormat
}

func (c *pass) data(d *wire.Data) error {
	if !c.begun {
		return wire.ErrFormat
	}
	c.bytes += uint64(len(d.GetBody()))
	upto := ident.Tokens(d.GetUpto())
	if err := c.out.Data(d.GetBody(), upto); err != nil {
		return err
	}
	c.upto = max(c.upto, upto)
	return nil
}

// broken ends a stream that ended before its end frame.
func (c *pass) broken() event.AttemptEnded {
	end := event.AttemptEnded{Result: event.ResultBroken, Resumable: c.Call.Stream}
	if !c.bodySent {
		end = event.AttemptEnded{Result: event.ResultNotRun, Code: codes.NoTarget.ID}
	}
	return c.fill(end)
}

// judge believes an end frame as far as it fits what was received. An answer
// that lacks a piece must not pass for whole, and one that has begun can't be
// of a request that was not run.
func (c *pass) judge(e *wire.End) event.AttemptEnded {
	end, err := e.ToEvent()
	if err != nil {
		return c.broken()
	}
	switch end.Result {
	case event.ResultDone:
		if !c.begun || e.GetBytes() != c.bytes {
			return c.broken()
		}
	case event.ResultNotRun:
		if c.begun {
			return c.broken()
		}
	}
	return c.fill(end)
}

func (c *pass) fill(end event.AttemptEnded) event.AttemptEnded {
	if !c.Call.Stream {
		return end
	}
	from := max(c.Call.Resume, c.Forward.Resume)
	end.Delivered = c.upto
	end.Generated = max(end.Generated, c.upto-from)
	return end
}
