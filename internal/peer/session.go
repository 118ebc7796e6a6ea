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

// session is one connection with a host that has proved who it is.
type session struct {
	m    *Mesh
	l    *link
	host event.Host
	// dialled says that this host opened the connection.
	dialled bool
	since   ident.Time
	state   tls.ConnectionState

	raw  *pulse
	mux  *yamux.Session
	ctl  *yamux.Stream
	in   *bufio.Reader
	poke chan struct{}
	once sync.Once
	// reason is why it has ended.
	reason string

	// pingDue asks the sender for a ping.
	pingDue atomic.Bool
	// used is when the session last carried anything but pings.
	used atomic.Int64
	// streams counts the requests in both directions, opening those of this
	// host that the peer has not yet taken notice of.
	streams, opening atomic.Int32
	// inbound counts those of the peer.
	inbound atomic.Int32
}

// pulse is a TCP connection that records when it was last read and written.
type pulse struct {
	net.Conn
	m                   *Mesh
	lastRead, lastWrite atomic.Int64
}

func newPulse(m *Mesh, raw net.Conn) *pulse {
	p := &pulse{Conn: raw, m: m}
	p.lastRead.Store(int64(m.cfg.Clock.Now()))
	p.lastWrite.Store(p.lastRead.Load())
	return p
}

// Read reads and records the time.
func (p *pulse) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	if n > 0 {
		p.lastRead.Store(int64(p.m.cfg.Clock.Now()))
		p.m.cnt.bytesIn.Inc(int64(n))
	}
	return n, err
}

// Write writes and records the time.
func (p *pulse) Write(b []byte) (int, error) {
	n, err := p.Conn.Write(b)
	if n > 0 {
		p.lastWrite.Store(int64(p.m.cfg.Clock.Now()))
		p.m.cnt.bytesOut.Inc(int64(n))
	}
	return n, err
}

// closer is a TLS connection that closes the TCP connection first. The end of
// a TLS session is a message, and to write it to a frozen peer would block
// whoever closes for seconds.
type closer struct {
	net.Conn
	raw *pulse
}

// Close closes both.
func (c *closer) Close() error {
	err := c.raw.Close()
	_ = c.Conn.Close()
	return err
}

func (s *session) wake() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// end ends the session; its run does the rest.
func (s *session) end(reason string) {
	s.once.Do(func() {
		s.reason = reason
		s.m.cfg.Log.V(1).Info("peer session ends", "entry", s.host.ID, "reason", reason)
		_ = s.raw.Close()
	})
}

// run reads the control messages until the session ends.
func (s *session) run() error {
	err := s.read()
	s.end(err.Error())
	_ = s.mux.Close()
	s.m.sessions.Add(-1)
	s.l.drop(s)
	s.down()
	return nil
}

func (s *session) read() error {
	for {
		f := &wire.Frame{}
		if err := wire.Read(s.in, f, wire.MaxFrame); err != nil {
			return errors.Wrap(ErrLink, err.Error())
		}
		if f.GetPing() == nil {
			s.touch()
		}
		if err := s.m.receive(s.host, f); err != nil {
			return errors.Wrap(ErrRefused, err.Error())
		}
	}
}

func (s *session) touch() { s.used.Store(int64(s.m.cfg.Clock.Now())) }

// up notifies the reducer of the link before any message of the peer.
func (s *session) up() {
	s.l.upMu.Lock()
	defer s.l.upMu.Unlock()
	s.l.ups++
	s.m.cfg.Log.Info("peer link is up", "entry", s.host.ID, "dataCentre", s.host.Place.DataCentre, "dialled", s.dialled)
	s.m.post(event.PeerUp{Host: s.host})
}

// down notifies the reducer when the last session with the host has ended.
func (s *session) down() {
	s.l.upMu.Lock()
	defer s.l.upMu.Unlock()
	s.l.ups--
	if s.l.ups > 0 {
		return
	}
	s.m.cfg.Log.Info("peer link is down", "entry", s.host.ID, "reason", s.reason)
	s.m.post(event.PeerDown{Entry: s.host.ID})
}

// tend ends a session that has been silent or idle for too long, and requests a ping on one
// without writes. The sockets of a frozen process stay open and its kernel confirms what it is
// sent, so that only silence shows it.
func (s *session) tend(now ident.Time) {
	ping, silence := s.m.cfg.Times.Ping, s.m.cfg.Times.Silence
	near := s.m.near(s.host)
	if !near {
		ping, silence = s.m.cfg.Times.FarPing, s.m.cfg.Times.FarSilence
	}
	if now.Sub(ident.Time(s.raw.lastRead.Load())) > silence {
		s.m.cnt.silent.Inc(1)
		s.end("silent")
		return
	}
	if s.streams.Load() > 0 {
		s.touch()
	}
	if !near && now.Sub(ident.Time(s.used.Load())) > s.m.cfg.Times.Idle {
		s.end("idle")
		return
	}
	if now.Sub(ident.Time(s.raw.lastWrite.Load())) >= ping {
		s.pingDue.Store(true)
		s.wake()
	}
}

// sender writes the control messages of a session.
type sender struct{ s *session }

func (w *sender) run() error {
	s := w.s
	for {
		select {
		case <-s.poke:
		case <-s.mux.CloseChan():
			return nil
		}
		if err := w.flush(); err != nil {
			s.end(err.Error())
			return nil
		}
	}
}

// flush writes all that waits.
func (w *sender) flush() error {
	s := w.s
	for {
		it, ok := s.l.pop(s)
		if !ok {
			break
		}
		s.touch()
		frame, ok := s.m.encodeItem(it)
		if !ok {
			continue
		}
		if err := w.write(frame); err != nil {
			s.m.lost(it)
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

// write bounds each write, since a peer that reads nothing would hold the
// sender for ever.
func (w *sender) write(frame []byte) error {
	s := w.s
	_ = s.ctl.SetWriteDeadline(time.Now().Add(s.m.cfg.Times.FarSilence))
	if _, err := s.ctl.Write(frame); err != nil {
		return errors.Wrap(ErrLink, err.Error())
	}
	return nil
}

// accepter takes the requests that the peer passes on.
type accepter struct{ s *session }

func (a *accepter) run() error {
	s := a.s
	for {
		st, err := s.mux.AcceptStream()
		if err != nil {
			return nil
		}
		if int(s.inbound.Add(1)) > s.m.cfg.Bounds.Streams {
			// The body has not been asked for, so that the peer knows by the
			// closed stream that the request was not run.
			s.m.cnt.full.Inc(1)
			s.inbound.Add(-1)
			_ = st.Close()
			continue
		}
		s.streams.Add(1)
		s.m.taken.Add(1)
		k := &take{m: s.m, s: s, part: newPart(s.m, st)}
		if !s.m.start(k.run) {
			s.m.taken.Add(-1)
			_ = st.Close()
		}
	}
}
