// Package peer connects the entry hosts. It dials and accepts sessions, authenticates both
// sides, carries digests, summaries and configuration between the reducers, and forwards
// requests.
//
// # Usage
//
//	m := peer.New(peer.Config{
//		Self: host, Clock: svc, Log: log, Keys: keys, Listen: addr,
//	})
//	if err := m.Start(lp.Post, rn.Run); err != nil { ... }
//	defer m.Stop(ctx)
//
//	m.Send(event.SendDigest{...})  // never blocks
//	rn.Forward = m.Forward
//
// A session is a yamux session over TCP with mutual TLS. Its first stream carries the control
// messages of package wire. Each further stream carries one forwarded request, so that a long
// answer does not delay digests.
//
// Links within a data centre are permanent. A link to another data centre is dialled on demand
// and closed when idle, since a permanent link between every two hosts would not scale.
//
// A link shows only that the process of the other host responds. PeerDown is a hint: the host
// may still serve on the other side of a network partition.
package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"verbenadale.example/verbenadale/internal/clock"
	"verbenadale.example/verbenadale/internal/config"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/group"
	"verbenadale.example/verbenadale/internal/serve"
	"verbenadale.example/verbenadale/pkg/ident"
)

// The errors of this package.
var (
	// ErrLink reports that there is no link or that it broke.
	ErrLink = errors.New("peer: link unavailable")
	// ErrRefused reports that the other side could not be authenticated or broke the protocol.
	ErrRefused = errors.New("peer: refused")
	// ErrKeys reports that the certificate, key or authority can't be read or parsed.
	ErrKeys = errors.New("peer: invalid keys")
	// ErrFull reports that a bound on sessions, streams or bytes is reached.
	ErrFull = errors.New("peer: limit reached")
)

// Config configures a Mesh.
type Config struct {
	Self  event.Host
	Clock *clock.Service
	Log   logr.Logger
	// Metrics receives the counters; nil means the default registry.
	Metrics metrics.Registry
	// Confined reports whether the data of an account's requests with a profile is restricted to
	// some places. The body of such a request is sent only after the receiver has accepted the
	// request. Nil means that all data is confined.
	Confined func(p ident.Profile, a ident.Account) bool
	// Keys authenticates both sides. If it is nil, the links are unencrypted and
	// unauthenticated, for development only.
	Keys *Keys
	// Budget bounds the memory of the bodies that peers forward, together with all others; nil means no limit.
	Budget *serve.Budget
	// Listen is the address on which peers connect.
	Listen string
	// Seeds are dialled at the start, before the reducer names any host.
	Seeds []config.Seed
	// Zero fields of Timing and Bounds take their defaults.
	Timing Timing
	Bounds Bounds
}

// PostFunc passes an event to the reducer. It may block.
type PostFunc func(ev event.Event)

// ServeFunc runs a request that a peer has forwarded.
type ServeFunc func(ctx context.Context, call serve.Call, req event.Request, sink serve.Sink)

// Mesh manages the links of one entry host.
type Mesh struct {
	tasks    group.Group
	cfg      Config
	counters counters
	ln       net.Listener
	post     PostFunc
	serve    ServeFunc

	// handshakes holds a token for each incoming connection that is not yet authenticated.
	handshakes chan struct{}
	sessions   atomic.Int32
	// inboundRequests counts the forwarded requests that run on this host.
	inboundRequests atomic.Int32

	mu     sync.Mutex
	self   event.Host
	links  map[ident.EntryID]*link
	closed bool
}

// New returns a mesh that is inactive until Start.
func New(cfg Config) *Mesh {
	cfg.Timing.setDefaults()
	cfg.Bounds.setDefaults()
	return &Mesh{
		cfg: cfg, counters: newCounters(cfg.Metrics), self: cfg.Self,
		links:      make(map[ident.EntryID]*link),
		handshakes: make(chan struct{}, cfg.Bounds.MaxHandshakes),
	}
}

// Start listens and dials the seeds. Send and Forward may be called before it; they find no
// link then.
func (m *Mesh) Start(post PostFunc, run ServeFunc) error {
	if m.cfg.Keys == nil {
		m.cfg.Log.Info("peer links are unencrypted and accept any host name; for development only")
	}
	if m.cfg.Listen == "" {
		// net.Listen would take any free port on every address of the host.
		return errors.Wrap(ErrLink, "no listen address is set")
	}
	ln, err := net.Listen("tcp", m.cfg.Listen)
	if err != nil {
		return errors.Wrap(ErrLink, err.Error())
	}
	m.startServing(ln, post, run)
	for _, s := range m.cfg.Seeds {
		m.connectSeed(s)
	}
	return nil
}

func (m *Mesh) startServing(ln net.Listener, post PostFunc, run ServeFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ln, m.post, m.serve = ln, post, run
	m.tasks.Go(m.acceptLoop)
	m.tasks.Go(m.maintenanceLoop)
}

// Addr returns the address that the mesh listens on. It must not be called before Start.
func (m *Mesh) Addr() string { return m.ln.Addr().String() }

// SetDraining marks this host as draining in the hellos of new sessions.
func (m *Mesh) SetDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Draining = true
}

func (m *Mesh) selfHost() event.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// stopPollInterval is the interval at which Stop checks whether forwarded requests still run.
const stopPollInterval = 10 * time.Millisecond

// Stop closes the links once the peers have received the last answers, or when ctx ends.
// Closing at once would cut off an answer whose end frame is still in a socket buffer, and the
// peer would have to report the attempt as broken.
func (m *Mesh) Stop(ctx context.Context) {
	m.awaitInbound(ctx)
	m.mu.Lock()
	started := m.ln != nil
	m.closed = true
	m.mu.Unlock()
	if !started {
		return
	}
	m.tasks.Kill(nil)
	_ = m.ln.Close()
	for _, l := range m.allLinks() {
		l.closeAll()
	}
	_ = m.tasks.Wait()
}

func (m *Mesh) awaitInbound(ctx context.Context) {
	sub := m.cfg.Clock.Every(stopPollInterval)
	defer sub.Close()
	for m.inboundRequests.Load() > 0 {
		select {
		case <-sub.C():
		case <-ctx.Done():
			return
		}
	}
}

// spawn runs a function in a goroutine of the mesh. It returns false if the mesh is not started
// or is stopped.
func (m *Mesh) spawn(run func() error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ln == nil || m.closed {
		return false
	}
	return m.tasks.Go(run)
}

// link returns the link to a host and creates it if needed. It returns nil for this host
// itself, for an empty name and beyond MaxLinks. Links are never removed: their number is
// bounded by the number of host names, and a link without a session is small.
func (m *Mesh) link(id ident.EntryID) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.links[id]
	if ok {
		return l
	}
	if id == "" || id == m.self.ID || len(m.links) >= m.cfg.Bounds.MaxLinks {
		return nil
	}
	l = newLink(m, id)
	m.links[id] = l
	return l
}

func (m *Mesh) allLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	ls := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		ls = append(ls, l)
	}
	return ls
}

func (m *Mesh) connectSeed(s config.Seed) {
	l := m.link(s.Entry)
	if l == nil {
		return
	}
	place := event.Place{DataCentre: s.DataCentre, Region: s.Region}
	l.ensureSession(event.Host{ID: s.Entry, PeerAddr: s.Addr, Place: place}, true)
}

// isLocal reports whether a host is in this data centre.
func (m *Mesh) isLocal(h event.Host) bool { return h.Place.Group() == m.cfg.Self.Place.Group() }

// maintenanceLoop checks the sessions and the keys at their intervals.
func (m *Mesh) maintenanceLoop() error {
	tick := m.cfg.Clock.Every(m.cfg.Timing.TickInterval)
	defer tick.Close()
	keys := m.cfg.Clock.Every(m.cfg.Timing.KeyCheckInterval)
	defer keys.Close()
	for {
		select {
		case now := <-tick.C():
			for _, l := range m.allLinks() {
				l.maintain(now)
			}
		case <-keys.C():
			m.recheckCertificates()
		case <-m.tasks.Dying():
			return nil
		}
	}
}

// recheckCertificates ends the sessions whose certificate is no longer valid. A session may
// last for weeks; without this check a host whose certificate was revoked by a change of the
// authority would stay connected for as long.
func (m *Mesh) recheckCertificates() {
	if m.cfg.Keys == nil {
		return
	}
	current := m.cfg.Keys.refresh()
	for _, l := range m.allLinks() {
		for _, s := range l.allSessions() {
			if err := current.verify(s.tlsState); err != nil {
				m.counters.refused.Inc(1)
				s.end("certificate no longer valid")
			}
		}
	}
}
