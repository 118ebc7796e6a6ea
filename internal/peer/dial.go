package peer

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/wire"
	"verbenadale.example/verbenadale/pkg/ident"
)

// dialler dials one host until a session stands or it is no longer wanted.
type dialler struct {
	m *Mesh
	l *link
}

func (d *dialler) run() error {
	ctx := d.m.t.Context(context.Background())
	for {
		addr, wait, ok := d.next()
		if !ok {
			return nil
		}
		if !d.pause(wait) {
			return nil
		}
		err := d.dial(ctx, addr)
		if d.done(err) {
			return nil
		}
		d.m.cfg.Log.V(1).Info("peer not reached", "entry", d.l.id, "addr", addr, "reason", err.Error())
	}
}

// next returns where to dial and how long to wait before.
func (d *dialler) next() (string, time.Duration, bool) {
	l := d.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sessions) > 0 || !l.needed(d.m.cfg.Clock.Now()) {
		l.dialling = false
		return "", 0, false
	}
	return l.host.PeerAddr, backoff(d.m.cfg.Times, l.fails), true
}

// backoff grows with the failures. It is spread over its whole length: hosts
// that lose each other at one moment, as when a partition heals, would else
// dial each other at one moment, again and again.
func backoff(ts Times, fails int) time.Duration {
	if fails == 0 {
		return 0
	}
	most := ts.MaxBackoff
	if fails < maxDoublings {
		most = min(most, ts.Backoff<<(fails-1))
	}
	return time.Duration(rand.Int64N(int64(most))) + 1
}

// maxDoublings keeps the shift from overflowing.
const maxDoublings = 16

func (d *dialler) pause(wait time.Duration) bool {
	sub := d.m.cfg.Clock.At(d.m.cfg.Clock.Now().Add(wait))
	defer sub.Close()
	select {
	case <-sub.C():
		return true
	case <-d.m.t.Dying():
		return false
	}
}

// done notes how a dial ended and reports whether it was the last. A session
// that ends at once counts as a failure too, until it has lasted a while.
func (d *dialler) done(err error) bool {
	l := d.l
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fails++
	if err != nil {
		return false
	}
	l.dialling = false
	if len(l.sessions) == 0 && l.needed(d.m.cfg.Clock.Now()) {
		l.dial()
	}
	return true
}

func (d *dialler) dial(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, d.m.cfg.Times.Hello)
	defer cancel()
	raw, err := d.m.dialer().DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(ErrLink, err.Error())
	}
	c := &connector{m: d.m, raw: newPulse(d.m, raw), dialled: true, expect: d.l.id}
	if err := c.connect(ctx); err != nil {
		_ = c.raw.Close()
		return err
	}
	return nil
}

// run accepts connections.
func (m *Mesh) run() error {
	for {
		raw, err := m.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			m.acceptFailed(err)
			continue
		}
		select {
		case m.handshakes <- struct{}{}:
		default:
			m.cnt.full.Inc(1)
			_ = raw.Close()
			continue
		}
		c := &connector{m: m, raw: newPulse(m, raw)}
		if !m.start(c.run) {
			_ = raw.Close()
		}
	}
}

// acceptFailed waits before the next try. A process that has run out of file
// descriptors gets an error at once, each time; without the wait it would spin
// until some are free, and ending the listener instead would cut this host off
// for good.
func (m *Mesh) acceptFailed(err error) {
	m.cfg.Log.Error(err, "a peer could not connect")
	sub := m.cfg.Clock.At(m.cfg.Clock.Now().Add(m.cfg.Times.Backoff))
	defer sub.Close()
	select {
	case <-sub.C():
	case <-m.t.Dying():
	}
}

// connector brings a new connection to the point where both sides have proved
// who they are.
type connector struct {
	m       *Mesh
	raw     *pulse
	conn    net.Conn
	dialled bool
	// expect is whom this host has dialled.
	expect ident.EntryID

	s session
}

// run takes in one incoming connection.
func (c *connector) run() error {
	defer func() { <-c.m.handshakes }()
	ctx, cancel := context.WithTimeout(c.m.t.Context(context.Background()), c.m.cfg.Times.Hello)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		c.m.cnt.refused.Inc(1)
		c.m.cfg.Log.Info("peer refused", "addr", c.raw.RemoteAddr(), "reason", err.Error())
		_ = c.raw.Close()
	}
	return nil
}

// connect runs under the one deadline of ctx, so that a connection that says
// nothing holds its place no longer.
func (c *connector) connect(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer stop()
	if err := c.secure(ctx); err != nil {
		return err
	}
	if err := c.hello(ctx); err != nil {
		return err
	}
	if !stop() {
		return ErrLink
	}
	return c.begin()
}

// secure proves the certificates of both sides.
func (c *connector) secure(ctx context.Context) error {
	c.conn = c.raw
	if c.m.cfg.Keys == nil {
		return nil
	}
	ks := c.m.cfg.Keys.read()
	conn := ks.wrap(c.raw, c.expect, c.dialled)
	if err := conn.HandshakeContext(ctx); err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	c.s.state = conn.ConnectionState()
	c.conn = &closer{Conn: conn, raw: c.raw}
	return nil
}

// hello opens the control stream and says on it who is at each end.
func (c *connector) hello(ctx context.Context) error {
	if err := c.open(ctx); err != nil {
		return errors.Wrap(ErrLink, err.Error())
	}
	c.s.in = bufio.NewReader(c.s.ctl)
	mine := &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{
		Version: wire.Version, Host: wire.FromHost(c.m.host()),
	}}}
	if c.dialled {
		if err := wire.Write(c.s.ctl, mine); err != nil {
			return err
		}
	}
	f := &wire.Frame{}
	if err := wire.Read(c.s.in, f, wire.MaxHello); err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	if err := c.judge(f.GetHello()); err != nil {
		return err
	}
	if c.dialled {
		return nil
	}
	return wire.Write(c.s.ctl, mine)
}

func (c *connector) open(ctx context.Context) error {
	var err error
	if c.dialled {
		if c.s.mux, err = yamux.Client(&joiner{Conn: c.conn}, c.muxConfig()); err != nil {
			return err
		}
		c.s.ctl, err = c.s.mux.OpenStream()
		return err
	}
	if c.s.mux, err = yamux.Server(&joiner{Conn: c.conn}, c.muxConfig()); err != nil {
		return err
	}
	c.s.ctl, err = c.s.mux.AcceptStreamWithContext(ctx)
	return err
}

// judge believes a hello only as far as the certificate bears it out. The
// name decides whose attempts a peer may ask about and whose digests it may
// send, so that a host must not be able to take another's.
func (c *connector) judge(h *wire.Hello) error {
	host := h.GetHost().ToEvent()
	if h.GetVersion() != wire.Version {
		return errors.Wrapf(ErrRefused, "protocol version %d", h.GetVersion())
	}
	if host.ID == "" || host.ID == c.m.cfg.Self.ID || (c.dialled && host.ID != c.expect) {
		return errors.Wrapf(ErrRefused, "the host says that it is %q", host.ID)
	}
	if c.m.cfg.Keys != nil {
		if err := nameFits(c.s.state, host.ID); err != nil {
			return err
		}
	}
	c.s.host = host
	return nil
}

// begin hands the session to its goroutines.
func (c *connector) begin() error {
	s := &c.s
	l := c.m.link(s.host.ID)
	if l == nil || int(c.m.sessions.Add(1)) > c.m.cfg.Bounds.Sessions {
		c.m.sessions.Add(-1)
		c.m.cnt.full.Inc(1)
		return ErrFull
	}
	now := c.m.cfg.Clock.Now()
	s.m, s.l, s.raw, s.dialled, s.since = c.m, l, c.raw, c.dialled, now
	s.poke = make(chan struct{}, 1)
	s.used.Store(int64(now))
	if err := l.add(s); err != nil {
		c.m.sessions.Add(-1)
		return err
	}
	w, a := &sender{s: s}, &accepter{s: s}
	if !c.m.start(s.run) || !c.m.start(w.run) || !c.m.start(a.run) {
		return ErrLink
	}
	return nil
}

// muxConfig turns the library's own keep-alive off: tend does better, as it
// pings only where nothing else is said.
func (c *connector) muxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = c.m.cfg.Times.FarSilence
	cfg.StreamCloseTimeout = c.m.cfg.Times.Part
	cfg.LogOutput = nil
	cfg.Logger = muxLog{m: c.m}
	return cfg
}

// muxLog takes the lines of the session library.
type muxLog struct{ m *Mesh }

// Print logs one line.
func (g muxLog) Print(v ...any) { g.line("%v", v...) }

// Println logs one line.
func (g muxLog) Println(v ...any) { g.line("%v", v...) }

// Printf logs one line.
func (g muxLog) Printf(format string, v ...any) { g.line(format, v...) }

func (g muxLog) line(format string, v ...any) {
	g.m.cfg.Log.V(1).Info("peer session library", "text", errors.Errorf(format, v...).Error())
}

// dialer dials from the IP number that the host listens on, for networks whose rules identify
// hosts by their addresses.
func (m *Mesh) dialer() *net.Dialer {
	host, _, err := net.SplitHostPort(m.cfg.Listen)
	if err != nil {
		return &net.Dialer{}
	}
	ip := net.ParseIP(host)
	if ip == nil || ip.IsUnspecified() {
		return &net.Dialer{}
	}
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}
}
