// Package peer links the entry hosts: it dials and accepts sessions, proves
// who is at the other end, carries digests, summaries and configuration
// between the reducers, and passes requests on.
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
// A session is a yamux session over TCP with TLS on both sides. Its first
// stream carries the control messages of package wire, every further one a
// forwarded request, so that a long answer holds up no digest.
//
// Links within the data centre stay; one to another data centre is dialled
// when it is needed and closed when it has been idle, since every host with a
// link to every other would not scale.
//
// A link says nothing about a host but that its process answers. PeerDown is
// a hint: the host may serve on behind a network partition.
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
	// ErrLink says that no link stands or that it broke.
	ErrLink = errors.New("peer: no link")
	// ErrRefused says that the other side is not who it must be.
	ErrRefused = errors.New("peer: refused")
	// ErrKeys says that the certificate, key or authority can't be read.
	ErrKeys = errors.New("peer: keys")
	// ErrFull says that a bound on sessions or streams is reached.
	ErrFull = errors.New("peer: too many")
)

// Config is what a mesh needs.
type Config struct {
	Self  event.Host
	Clock *clock.Service
	Log   logr.Logger
	// Metrics takes the counters; nil stands for the default registry.
	Metrics metrics.Registry
	// Confined reports whether a profile's data is bound to some places, so
	// that a body is sent only after the receiver has agreed to take it. Nil
	// stands for always.
	Confined func(p ident.Profile) bool
	// Keys authenticates both sides; nil leaves the links in plain text, for
	// development.
	Keys *Keys
	// Listen is the address for peers.
	Listen string
	// Seeds are dialled before the reducer names any host.
	Seeds []config.Seed
	// Timing and Bounds default where they are zero.
	Timing Timing
	Bounds Bounds
}

// PostFunc hands an event to the reducer. It may wait.
type PostFunc func(ev event.Event)

// ServeFunc runs a request that a peer has passed on.
type ServeFunc func(ctx context.Context, call serve.Call, req event.Request, sink serve.Sink)

// Mesh is the set of links of one entry host.
type Mesh struct {
	tasks    group.Group
	cfg      Config
	counters counters
	ln       net.Listener
	post     PostFunc
	serve    ServeFunc

	// handshakes holds a token for each connection that has not yet proved
	// who it is.
	handshakes chan struct{}
	sessions   atomic.Int32
	// inboundRequests counts the requests of peers that run here.
	inboundRequests atomic.Int32

	mu     sync.Mutex
	self   event.Host
	links  map[ident.EntryID]*link
	closed bool
}

// New returns a mesh that does nothing before Start.
func New(cfg Config) *Mesh {
	cfg.Timing.setDefaults()
	cfg.Bounds.setDefaults()
	return &Mesh{
		cfg: cfg, counters: newCounters(cfg.Metrics), self: cfg.Self,
		links:      make(map[ident.EntryID]*link),
		handshakes: make(chan struct{}, cfg.Bounds.MaxHandshakes),
	}
}

// Start listens and dials the seeds. Send and Forward may be called before it
// and find no link.
func (m *Mesh) Start(post PostFunc, run ServeFunc) error {
	if m.cfg.Keys == nil {
		m.cfg.Log.Info("peer links are in plain text and trust any name, for development only")
	}
	if m.cfg.Listen == "" {
		// The library would take any port on every address of the host.
		return errors.Wrap(ErrLink, "no address to listen on")
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

// Addr is where the mesh listens.
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

// stopPollInterval is how often Stop looks whether the last request has gone.
const stopPollInterval = 10 * time.Millisecond

// Stop ends the links, once the last answers to peers have been taken by them
// or ctx ends. To end them at once would cut an answer whose end frame is
// still in a socket, and the peer would have to call it broken.
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

// spawn starts a goroutine, and reports false for a mesh that has stopped.
func (m *Mesh) spawn(run func() error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ln == nil || m.closed {
		return false
	}
	return m.tasks.Go(run)
}

// link returns the link to a host and makes it where there is none, nil where
// there are too many. Links are never dropped: there are as many as names of
// hosts, and one without a session is small.
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

// isLocal reports whether a host stands in the data centre of this one.
func (m *Mesh) isLocal(h event.Host) bool { return h.Place.Group() == m.cfg.Self.Place.Group() }

// maintenanceLoop looks after the sessions.
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

// recheckCertificates ends the sessions whose certificate no longer holds. A session may
// last for weeks; a host whose certificate has been withdrawn by a change of
// the authority would otherwise stay in for as long.
func (m *Mesh) recheckCertificates() {
	if m.cfg.Keys == nil {
		return
	}
	now := m.cfg.Keys.refresh()
	for _, l := range m.allLinks() {
		for _, s := range l.allSessions() {
			if err := now.verify(s.tlsState); err != nil {
				m.counters.refused.Inc(1)
				s.end("the certificate no longer holds")
			}
		}
	}
}
