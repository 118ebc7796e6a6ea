package peer

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// maxBarQueries bounds the open questions to one host. Beyond it the oldest are
// forgotten all at once; the reducer asks again.
const maxBarQueries = 4096

// link is all that leads to one entry host: the sessions with it, mostly one,
// and the control messages that wait.
type link struct {
	m  *Mesh
	id ident.EntryID

	// upMu orders PeerUp and PeerDown; ups counts the sessions reported as up.
	// It is held while an event is posted, so that Send must never take it.
	upMu       sync.Mutex
	sessionsUp int

	mu   sync.Mutex
	host event.Host
	// pinned links are dialled again for ever: those to seeds, in another
	// data centre until they have stood once.
	pinned bool
	// wantedAt is when the link was last asked for.
	wantedAt ident.Time
	dialling bool
	failures int
	// sessions are in the order of their coming; the newest is used.
	sessions []*session
	queue    queue
	// barQueries holds the attempts that "run or bar" was barQueries about.
	barQueries value.Set[string]
	// sessionAdded is closed when a session comes.
	sessionAdded chan struct{}
}

func newLink(m *Mesh, id ident.EntryID) *link {
	return &link{m: m, id: id, sessionAdded: make(chan struct{}), queue: queue{maxItems: m.cfg.Bounds.MaxQueued}}
}

// ensureSession asks for a session with a host and dials where there is none. It does
// not block.
func (l *link) ensureSession(h event.Host, pinned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateHost(h)
	l.pinned = l.pinned || pinned
	l.wantedAt = l.m.cfg.Clock.Now()
	l.startDialling()
}

// updateHost takes over what is newer about the host.
func (l *link) updateHost(h event.Host) {
	if h.Incarnation < l.host.Incarnation {
		return
	}
	if h.PeerAddr == "" {
		h.PeerAddr = l.host.PeerAddr
	}
	l.host = h
}

// startDialling starts dialling unless there is a session or it has been started.
func (l *link) startDialling() {
	if l.dialling || len(l.sessions) > 0 || l.host.PeerAddr == "" {
		return
	}
	d := &dialler{m: l.m, link: l}
	l.dialling = l.m.spawn(d.run)
}

// isNeeded reports whether a session should stand.
func (l *link) isNeeded(now ident.Time) bool {
	return l.pinned || now.Sub(l.wantedAt) < l.m.cfg.Timing.IdleTimeout
}

// activeSession is the session in use, nil for none.
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

// add adds an authenticated session. A restarted host comes back under its name with a higher
// incarnation while its old connection may still seem to stand: the newer one wins. Two hosts
// may dial each other at once, so that one session in each direction is allowed; tend ends the
// spare one.
func (l *link) add(s *session) error {
	olds, err := l.insert(s)
	if err != nil {
		return err
	}
	// The new session is reported before the end of the old one, so that the host is not
	// down in between.
	s.reportUp()
	for _, old := range olds {
		if old.host.Incarnation < s.host.Incarnation || old.dialled == s.dialled {
			old.end("replaced")
		}
	}
	return nil
}

// insert adds a session and returns those that were there before.
func (l *link) insert(s *session) ([]*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, old := range l.sessions {
		if old.host.Incarnation > s.host.Incarnation {
			return nil, errors.Wrap(ErrRefused, "a newer run of the host is linked")
		}
	}
	olds := slices.Clone(l.sessions)
	l.updateHost(s.host)
	l.pinned = l.pinned && l.m.isLocal(s.host)
	l.sessions = append(l.sessions, s)
	close(l.sessionAdded)
	l.sessionAdded = make(chan struct{})
	s.wake()
	return olds, nil
}

// remove forgets a session that has ended and dials again if need be.
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

// push queues a control message and never blocks.
func (l *link) push(it item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it.queuedAt = l.m.cfg.Clock.Now()
	if lost, ok := l.queue.push(it); ok {
		l.m.countDropped(lost)
	}
	if a := l.activeSession(); a != nil {
		a.wake()
	}
}

// pop takes the next control message for a session, if it is the one in use.
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

// maintain looks after the sessions of the link.
func (l *link) maintain(now ident.Time) {
	ss := l.allSessions()
	for _, s := range ss {
		s.maintain(now)
	}
	if len(ss) > 1 && l.m.cfg.Self.ID > l.id {
		endDuplicate(ss)
	}
}

// endDuplicate ends the session that the host with the higher name has dialled.
// Both hosts know which one that is, so that they don't end both.
func endDuplicate(ss []*session) {
	for _, s := range ss {
		if s.dialled && s.streams.Load() == 0 {
			s.end("spare")
		}
	}
}

// addBarQuery notes that "run or bar" is asked about an attempt.
func (l *link) addBarQuery(a ident.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.barQueries == nil || len(l.barQueries) >= maxBarQueries {
		l.barQueries = value.SetOf[string]()
	}
	l.barQueries.Add(a.String())
}

// takeBarAnswer reports whether the host was asked, and notes the answer.
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
