package peer

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// maxBarQueries limits the "run or bar" queries to one host that are not yet answered. Beyond
// it all recorded ones are discarded; the reducer repeats its queries.
const maxBarQueries = 4096

// link holds the state towards one entry host: its sessions, usually one, and the queued
// control messages.
type link struct {
	m  *Mesh
	id ident.EntryID

	// upMu orders the PeerUp and PeerDown events; sessionsUp counts the sessions that were
	// reported as up. upMu is held while an event is posted, so Send must never lock it.
	upMu       sync.Mutex
	sessionsUp int

	mu   sync.Mutex
	host event.Host
	// pinned marks the links to seeds, which are redialled without limit. A link to a seed in
	// another data centre is pinned only until its first session.
	pinned bool
	// wantedAt is when the link was last used for a message or request to the host.
	wantedAt ident.Time
	dialling bool
	failures int
	// sessions are in order of arrival; the last one is in use.
	sessions []*session
	queue    queue
	// barQueries holds the attempts that this host has sent a "run or bar" query about.
	barQueries value.Set[string]
	// sessionAdded is closed, and replaced, when a session is added.
	sessionAdded chan struct{}
}

func newLink(m *Mesh, id ident.EntryID) *link {
	return &link{m: m, id: id, sessionAdded: make(chan struct{}), queue: queue{maxItems: m.cfg.Bounds.MaxQueued}}
}

// ensureSession requests a session with a host and starts dialling if there is none. It does
// not block.
func (l *link) ensureSession(h event.Host, pinned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateHost(h)
	l.pinned = l.pinned || pinned
	l.wantedAt = l.m.cfg.Clock.Now()
	l.startDialling()
}

// updateHost stores the description of the host unless it is of an older incarnation.
func (l *link) updateHost(h event.Host) {
	if h.Incarnation < l.host.Incarnation {
		return
	}
	if h.PeerAddr == "" {
		h.PeerAddr = l.host.PeerAddr
	}
	l.host = h
}

// startDialling starts a dialler if there is neither a session nor a dialler, and the address
// is known.
func (l *link) startDialling() {
	if l.dialling || len(l.sessions) > 0 || l.host.PeerAddr == "" {
		return
	}
	d := &dialler{m: l.m, link: l}
	l.dialling = l.m.spawn(d.run)
}

// isNeeded reports whether the link should have a session.
func (l *link) isNeeded(now ident.Time) bool {
	return l.pinned || now.Sub(l.wantedAt) < l.m.cfg.Timing.IdleTimeout
}

// activeSession returns the session in use, nil if there is none. The caller holds mu.
func (l *link) activeSession() *session {
	if len(l.sessions) == 0 {
		return nil
	}
	return l.sessions[len(l.sessions)-1]
}

func (l *link) current() (*session, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.activeSession(), l.sessionAdded
}

func (l *link) allSessions() []*session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.sessions)
}

// add adds an authenticated session. A restarted host reconnects under its name with a higher
// incarnation while its old connection may still seem to be open; the higher incarnation wins.
// Two hosts may dial each other at the same time, so one session in each direction is allowed;
// maintain ends the duplicate.
func (l *link) add(s *session) error {
	previous, err := l.insert(s)
	if err != nil {
		return err
	}
	// The new session is reported before the old one ends, so that the host is not reported as
	// down in between.
	s.reportUp()
	for _, old := range previous {
		if old.host.Incarnation < s.host.Incarnation || old.dialled == s.dialled {
			old.end("replaced")
		}
	}
	return nil
}

// insert adds a session and returns the previous ones.
func (l *link) insert(s *session) ([]*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, old := range l.sessions {
		if old.host.Incarnation > s.host.Incarnation {
			return nil, errors.Wrap(ErrRefused, "a newer incarnation of the host is connected")
		}
	}
	previous := slices.Clone(l.sessions)
	l.updateHost(s.host)
	l.pinned = l.pinned && l.m.isLocal(s.host)
	l.sessions = append(l.sessions, s)
	close(l.sessionAdded)
	l.sessionAdded = make(chan struct{})
	s.wake()
	return previous, nil
}

// remove removes a session that has ended and dials again if needed.
func (l *link) remove(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sessions = slices.DeleteFunc(l.sessions, func(x *session) bool { return x == s })
	now := l.m.cfg.Clock.Now()
	if now.Sub(s.startedAt) > l.m.cfg.Timing.MaxBackoff {
		l.failures = 0
	}
	if a := l.activeSession(); a != nil {
		a.wake()
		return
	}
	if l.isNeeded(now) {
		l.startDialling()
	}
}

func (l *link) closeAll() {
	for _, s := range l.allSessions() {
		s.end("stopping")
	}
}

// push queues a control message. It never blocks.
func (l *link) push(it item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it.queuedAt = l.m.cfg.Clock.Now()
	if dropped, ok := l.queue.push(it); ok {
		l.m.countDropped(dropped)
	}
	if a := l.activeSession(); a != nil {
		a.wake()
	}
}

// pop returns the next control message for a session, or false if the session is not the one in
// use. It drops messages that have become too old.
func (l *link) pop(s *session) (item, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.activeSession() != s {
		return item{}, false
	}
	for {
		it, ok := l.queue.pop()
		if !ok {
			return item{}, false
		}
		if !it.expires || l.m.cfg.Clock.Now().Sub(it.queuedAt) < l.m.cfg.Timing.MaxMessageAge {
			return it, true
		}
		l.m.countDropped(it)
	}
}

// maintain checks the sessions of the link and ends a duplicate one.
func (l *link) maintain(now ident.Time) {
	ss := l.allSessions()
	for _, s := range ss {
		s.maintain(now)
	}
	if len(ss) > 1 && l.m.cfg.Self.ID > l.id {
		endDuplicate(ss)
	}
}

// endDuplicate ends the session that the host with the higher name has dialled, once it carries
// no requests. The rule gives the same result on both hosts, so that they don't end both
// sessions.
func endDuplicate(ss []*session) {
	for _, s := range ss {
		if s.dialled && s.streams.Load() == 0 {
			s.end("spare")
		}
	}
}

// addBarQuery records a "run or bar" query about an attempt.
func (l *link) addBarQuery(a ident.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.barQueries == nil || len(l.barQueries) >= maxBarQueries {
		l.barQueries = value.SetOf[string]()
	}
	l.barQueries.Add(a.String())
}

// takeBarAnswer reports whether the host was queried about the attempt. It removes the query
// unless the attempt still runs.
func (l *link) takeBarAnswer(ans event.BarAnswered) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := ans.Attempt.String()
	if !l.barQueries.Has(key) {
		return false
	}
	if ans.Answer != event.Running {
		delete(l.barQueries, key)
	}
	return true
}
