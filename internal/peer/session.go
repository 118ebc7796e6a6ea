package peer

import (
	"bufio"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
)

// session is one authenticated connection with a host.
type session struct {
	m    *Mesh
	link *link
	host event.Host
	// dialled is set if this host opened the connection.
	dialled   bool
	startedAt ident.Time
	tlsState  tls.ConnectionState

	conn    *activityConn
	mux     *yamux.Session
	control *yamux.Stream
	reader  *bufio.Reader
	wakeup  chan struct{}
	endOnce sync.Once
	// endReason is why the session has ended.
	endReason string

	// pingDue requests a ping from the sender.
	pingDue atomic.Bool
	// lastUsed is when the session last carried anything but pings.
	lastUsed atomic.Int64
	// streams counts the forwarded requests in both directions, unacknowledged those of this
	// host for which the peer has not sent any message.
	streams, unacknowledged atomic.Int32
	// inboundStreams counts the requests that the peer has forwarded.
	inboundStreams atomic.Int32
}

// activityConn is a TCP connection that records when it was last read and written.
type activityConn struct {
	net.Conn
	m                   *Mesh
	lastRead, lastWrite atomic.Int64
}

func newActivityConn(m *Mesh, raw net.Conn) *activityConn {
	p := &activityConn{Conn: raw, m: m}
	p.lastRead.Store(int64(m.cfg.Clock.Now()))
	p.lastWrite.Store(p.lastRead.Load())
	return p
}

// Read records the time of a read that returns data.
func (p *activityConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if n > 0 {
		p.lastRead.Store(int64(p.m.cfg.Clock.Now()))
		p.m.counters.bytesIn.Inc(int64(n))
	}
	return n, err
}

// Write records the time of a write that sends data.
func (p *activityConn) Write(b []byte) (int, error) {
	n, err := p.Conn.Write(b)
	if n > 0 {
		p.lastWrite.Store(int64(p.m.cfg.Clock.Now()))
		p.m.counters.bytesOut.Inc(int64(n))
	}
	return n, err
}

// tlsConn is a TLS connection that closes its TCP connection first. TLS sends a message at the
// end of a connection, and writing it to a frozen peer would block the caller of Close for
// seconds.
type tlsConn struct {
	net.Conn
	raw *activityConn
}

// Close closes the TCP connection, then the TLS connection.
func (c *tlsConn) Close() error {
	err := c.raw.Close()
	_ = c.Conn.Close()
	return err
}

func (s *session) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// end closes the connection; run then cleans up.
func (s *session) end(reason string) {
	s.endOnce.Do(func() {
		s.endReason = reason
		s.m.cfg.Log.V(1).Info("peer session ends", "entry", s.host.ID, "reason", reason)
		_ = s.conn.Close()
	})
}

// run reads control messages until the session ends, then removes the session from its link.
func (s *session) run() error {
	err := s.read()
	s.end(err.Error())
	_ = s.mux.Close()
	s.m.sessions.Add(-1)
	s.link.remove(s)
	s.reportDown()
	return nil
}

func (s *session) read() error {
	for {
		f := &wire.Frame{}
		if err := wire.Read(s.reader, f, wire.MaxFrame); err != nil {
			return errors.Wrap(ErrLink, err.Error())
		}
		if f.GetPing() == nil {
			s.markUsed()
		}
		if err := s.m.receive(s.host, f); err != nil {
			return errors.Wrap(ErrRefused, err.Error())
		}
	}
}

func (s *session) markUsed() { s.lastUsed.Store(int64(s.m.cfg.Clock.Now())) }

// reportUp notifies the reducer of the link. It is called before any message of the peer is
// received.
func (s *session) reportUp() {
	s.link.upMu.Lock()
	defer s.link.upMu.Unlock()
	s.link.sessionsUp++
	s.m.cfg.Log.Info("peer link is up", "entry", s.host.ID, "dataCentre", s.host.Place.DataCentre, "dialled", s.dialled)
	s.m.post(event.PeerUp{Host: s.host})
}

// reportDown notifies the reducer if this was the last session with the host.
func (s *session) reportDown() {
	s.link.upMu.Lock()
	defer s.link.upMu.Unlock()
	s.link.sessionsUp--
	if s.link.sessionsUp > 0 {
		return
	}
	s.m.cfg.Log.Info("peer link is down", "entry", s.host.ID, "reason", s.endReason)
	s.m.post(event.PeerDown{Entry: s.host.ID})
}

// maintain ends a session that has been silent or idle for too long, and requests a ping if
// nothing was written for a while. The sockets of a frozen process stay open and its kernel
// still acknowledges data, so only silence reveals it.
func (s *session) maintain(now ident.Time) {
	ping, silence := s.m.cfg.Timing.PingInterval, s.m.cfg.Timing.SilenceTimeout
	local := s.m.isLocal(s.host)
	if !local {
		ping, silence = s.m.cfg.Timing.RemotePingInterval, s.m.cfg.Timing.RemoteSilenceTimeout
	}
	if now.Sub(ident.Time(s.conn.lastRead.Load())) > silence {
		s.m.counters.silent.Inc(1)
		s.end("silent")
		return
	}
	if s.streams.Load() > 0 {
		s.markUsed()
	}
	if !local && now.Sub(ident.Time(s.lastUsed.Load())) > s.m.cfg.Timing.IdleTimeout {
		s.end("idle")
		return
	}
	if now.Sub(ident.Time(s.conn.lastWrite.Load())) >= ping {
		s.pingDue.Store(true)
		s.wake()
	}
}

// sender writes the control messages of a session.
type sender struct{ session *session }

func (w *sender) run() error {
	s := w.session
	for {
		select {
		case <-s.wakeup:
		case <-s.mux.CloseChan():
			return nil
		}
		if err := w.flush(); err != nil {
			s.end(err.Error())
			return nil
		}
	}
}

// flush writes all queued messages and a ping if one is due.
func (w *sender) flush() error {
	s := w.session
	for {
		it, ok := s.link.pop(s)
		if !ok {
			break
		}
		s.markUsed()
		frame, ok := s.m.itemFrame(it)
		if !ok {
			continue
		}
		if err := w.write(frame); err != nil {
			s.m.countDropped(it)
			return err
		}
	}
	if !s.pingDue.Swap(false) {
		return nil
	}
	frame, err := wire.Encode(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{}}})
	if err != nil {
		return err
	}
	return w.write(frame)
}

// write sets a deadline for each write, since a peer that does not read would block the sender
// forever.
func (w *sender) write(frame []byte) error {
	s := w.session
	_ = s.control.SetWriteDeadline(time.Now().Add(s.m.cfg.Timing.RemoteSilenceTimeout))
	if _, err := s.control.Write(frame); err != nil {
		return errors.Wrap(ErrLink, err.Error())
	}
	return nil
}

// acceptor accepts the requests that the peer forwards.
type acceptor struct{ session *session }

func (a *acceptor) run() error {
	s := a.session
	for {
		st, err := s.mux.AcceptStream()
		if err != nil {
			return nil
		}
		if int(s.inboundStreams.Add(1)) > s.m.cfg.Bounds.MaxStreams {
			// The body has not been requested, so the peer knows from the closed stream that
			// the request was not run.
			s.m.counters.full.Inc(1)
			s.inboundStreams.Add(-1)
			_ = st.Close()
			continue
		}
		s.streams.Add(1)
		s.m.inboundRequests.Add(1)
		k := &inboundRequest{m: s.m, session: s, stream: newRequestStream(s.m, st)}
		if !s.m.spawn(k.run) {
			s.m.inboundRequests.Add(-1)
			_ = st.Close()
		}
	}
}
