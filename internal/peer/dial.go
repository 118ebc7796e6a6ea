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

// dialler dials one host until there is a session or none is needed any longer.
type dialler struct {
	m    *Mesh
	link *link
}

func (d *dialler) run() error {
	ctx := d.m.tasks.Context(context.Background())
	for {
		addr, wait, ok := d.nextDial()
		if !ok {
			return nil
		}
		if !d.sleep(wait) {
			return nil
		}
		err := d.dial(ctx, addr)
		if d.recordResult(err) {
			return nil
		}
		d.m.cfg.Log.V(1).Info("dialling peer failed", "entry", d.link.id, "addr", addr, "reason", err.Error())
	}
}

// nextDial returns the address to dial and the delay before the dial, or false if no dial is
// needed.
func (d *dialler) nextDial() (string, time.Duration, bool) {
	l := d.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.sessions) > 0 || !l.isNeeded(d.m.cfg.Clock.Now()) {
		l.dialling = false
		return "", 0, false
	}
	return l.host.PeerAddr, backoff(d.m.cfg.Timing, l.failures), true
}

// backoff returns the delay before a dial: none before the first failure, then a random one up
// to a bound that doubles with each failure. The jitter covers the whole range: hosts that lose
// each other at the same moment, as when a partition heals, would otherwise dial each other at
// the same moments again and again.
func backoff(ts Timing, failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	limit := ts.MaxBackoff
	if failures < maxDoublings {
		limit = min(limit, ts.MinBackoff<<(failures-1))
	}
	return time.Duration(rand.Int64N(int64(limit))) + 1
}

// maxDoublings keeps the shift in backoff from overflowing.
const maxDoublings = 16

func (d *dialler) sleep(wait time.Duration) bool {
	sub := d.m.cfg.Clock.At(d.m.cfg.Clock.Now().Add(wait))
	defer sub.Close()
	select {
	case <-sub.C():
		return true
	case <-d.m.tasks.Dying():
		return false
	}
}

// recordResult records the result of a dial and reports whether dialling is finished. A
// successful dial counts as a failure too, until the session has lasted longer than MaxBackoff;
// this delays the next dial if sessions end at once.
func (d *dialler) recordResult(err error) bool {
	l := d.link
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	if err != nil {
		return false
	}
	l.dialling = false
	if len(l.sessions) == 0 && l.isNeeded(d.m.cfg.Clock.Now()) {
		l.startDialling()
	}
	return true
}

func (d *dialler) dial(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, d.m.cfg.Timing.HelloTimeout)
	defer cancel()
	raw, err := d.m.dialer().DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(ErrLink, err.Error())
	}
	c := &connector{m: d.m, raw: newActivityConn(d.m, raw), dialled: true, expectedID: d.link.id}
	if err := c.connect(ctx); err != nil {
		_ = c.raw.Close()
		return err
	}
	return nil
}

// acceptLoop accepts connections until the listener is closed.
func (m *Mesh) acceptLoop() error {
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
			m.counters.full.Inc(1)
			_ = raw.Close()
			continue
		}
		c := &connector{m: m, raw: newActivityConn(m, raw)}
		if !m.spawn(c.run) {
			_ = raw.Close()
		}
	}
}

// acceptFailed waits before the next accept. A process that has run out of file descriptors
// gets an error from each accept at once. Without the delay the loop would spin until
// descriptors are free, and closing the listener would disconnect this host permanently.
func (m *Mesh) acceptFailed(err error) {
	m.cfg.Log.Error(err, "accepting a peer connection failed")
	sub := m.cfg.Clock.At(m.cfg.Clock.Now().Add(m.cfg.Timing.MinBackoff))
	defer sub.Close()
	select {
	case <-sub.C():
	case <-m.tasks.Dying():
	}
}

// connector authenticates both sides of a new connection and opens the session.
type connector struct {
	m       *Mesh
	raw     *activityConn
	conn    net.Conn
	dialled bool
	// expectedID is the name of the dialled host, empty for incoming connections.
	expectedID ident.EntryID

	session session
}

// run authenticates one incoming connection and logs a refusal.
func (c *connector) run() error {
	defer func() { <-c.m.handshakes }()
	ctx, cancel := context.WithTimeout(c.m.tasks.Context(context.Background()), c.m.cfg.Timing.HelloTimeout)
	defer cancel()
	if err := c.connect(ctx); err != nil {
		c.m.counters.refused.Inc(1)
		c.m.cfg.Log.Info("peer refused", "addr", c.raw.RemoteAddr(), "reason", err.Error())
		_ = c.raw.Close()
	}
	return nil
}

// connect authenticates the connection and starts its session. The deadline of ctx applies to
// all steps together, so that a silent connection frees its handshake token in time.
func (c *connector) connect(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() })
	defer stop()
	if err := c.handshakeTLS(ctx); err != nil {
		return err
	}
	if err := c.exchangeHello(ctx); err != nil {
		return err
	}
	if !stop() {
		return ErrLink
	}
	return c.startSession()
}

// handshakeTLS performs the mutual TLS handshake.
func (c *connector) handshakeTLS(ctx context.Context) error {
	c.conn = c.raw
	if c.m.cfg.Keys == nil {
		return nil
	}
	ks := c.m.cfg.Keys.refresh()
	conn := ks.tlsConn(c.raw, c.expectedID, c.dialled)
	if err := conn.HandshakeContext(ctx); err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	c.session.tlsState = conn.ConnectionState()
	c.conn = &tlsConn{Conn: conn, raw: c.raw}
	return nil
}

// exchangeHello opens the control stream and exchanges the names of both hosts on it.
func (c *connector) exchangeHello(ctx context.Context) error {
	if err := c.openControl(ctx); err != nil {
		return errors.Wrap(ErrLink, err.Error())
	}
	c.session.reader = bufio.NewReader(c.session.control)
	own := &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{
		Version: wire.Version, Host: wire.FromHost(c.m.selfHost()),
	}}}
	if c.dialled {
		if err := wire.Write(c.session.control, own); err != nil {
			return err
		}
	}
	f := &wire.Frame{}
	if err := wire.Read(c.session.reader, f, wire.MaxHello); err != nil {
		return errors.Wrap(ErrRefused, err.Error())
	}
	if err := c.verifyHello(f.GetHello()); err != nil {
		return err
	}
	if c.dialled {
		return nil
	}
	return wire.Write(c.session.control, own)
}

func (c *connector) openControl(ctx context.Context) error {
	var err error
	if c.dialled {
		if c.session.mux, err = yamux.Client(&frameJoiner{Conn: c.conn}, c.yamuxConfig()); err != nil {
			return err
		}
		c.session.control, err = c.session.mux.OpenStream()
		return err
	}
	if c.session.mux, err = yamux.Server(&frameJoiner{Conn: c.conn}, c.yamuxConfig()); err != nil {
		return err
	}
	c.session.control, err = c.session.mux.AcceptStreamWithContext(ctx)
	return err
}

// verifyHello checks the version and the host name of a hello, the latter against the
// certificate. The name decides which attempts a peer may query and whose digests it may send,
// so a host must not be able to use the name of another.
func (c *connector) verifyHello(h *wire.Hello) error {
	host := h.GetHost().ToEvent()
	if h.GetVersion() != wire.Version {
		return errors.Wrapf(ErrRefused, "unsupported protocol version %d", h.GetVersion())
	}
	if host.ID == "" || host.ID == c.m.cfg.Self.ID || (c.dialled && host.ID != c.expectedID) {
		return errors.Wrapf(ErrRefused, "hello with host name %q", host.ID)
	}
	if c.m.cfg.Keys != nil {
		if err := verifyName(c.session.tlsState, host.ID); err != nil {
			return err
		}
	}
	c.session.host = host
	return nil
}

// startSession registers the session and starts its goroutines.
func (c *connector) startSession() error {
	s := &c.session
	l := c.m.link(s.host.ID)
	if l == nil || int(c.m.sessions.Add(1)) > c.m.cfg.Bounds.MaxSessions {
		c.m.sessions.Add(-1)
		c.m.counters.full.Inc(1)
		return ErrFull
	}
	now := c.m.cfg.Clock.Now()
	s.m, s.link, s.conn, s.dialled, s.startedAt = c.m, l, c.raw, c.dialled, now
	s.wakeup = make(chan struct{}, 1)
	s.lastUsed.Store(int64(now))
	if err := l.add(s); err != nil {
		c.m.sessions.Add(-1)
		return err
	}
	w, a := &sender{session: s}, &acceptor{session: s}
	if !c.m.spawn(s.run) || !c.m.spawn(w.run) || !c.m.spawn(a.run) {
		return ErrLink
	}
	return nil
}

// yamuxConfig disables the keep-alive of the library. session.maintain needs fewer pings, since
// it requests one only if nothing else was written.
func (c *connector) yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = c.m.cfg.Timing.RemoteSilenceTimeout
	cfg.StreamCloseTimeout = c.m.cfg.Timing.WriteTimeout
	cfg.LogOutput = nil
	cfg.Logger = yamuxLogger{m: c.m}
	return cfg
}

// yamuxLogger passes the log lines of the yamux library to the mesh's logger.
type yamuxLogger struct{ m *Mesh }

// Print implements yamux.Logger.
func (g yamuxLogger) Print(v ...any) { g.log("%v", v...) }

// Println implements yamux.Logger.
func (g yamuxLogger) Println(v ...any) { g.log("%v", v...) }

// Printf implements yamux.Logger.
func (g yamuxLogger) Printf(format string, v ...any) { g.log(format, v...) }

func (g yamuxLogger) log(format string, v ...any) {
	g.m.cfg.Log.V(1).Info("yamux message", "text", errors.Errorf(format, v...).Error())
}

// dialer returns a dialer that uses the listen address as source address, for networks whose
// rules identify hosts by address.
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
