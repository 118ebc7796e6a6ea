package peer

import (
	"slices"
	"sync"

	"github.com/pkg/errors"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// maxAsked bounds the open questions to one host. Beyond it the oldest are
// forgotten all at once; the reducer asks again.
const maxAsked = 4096

// link is all that leads to one entry host: the sessions with it, mostly one,
// and the control messages that wait.
type link struct {
	m  *Mesh
	id ident.EntryID

	// upMu orders PeerUp and PeerDown; ups counts the sessions reported as up.
	// It is held while an event is posted, so that Send must never take it.
	upMu sync.Mutex
	ups  int

	mu   sync.Mutex
	host event.Host
	// pinned links are dialled again for ever: those to seeds, in another
	// data centre until they have stood once.
	pinned bool
	// wanted is when the link was last asked for.
	wanted   ident.Time
	dialling bool
	fails    int
	// sessions are in the order of their coming; the newest is used.
	sessions []*session
	queue    queue
	// asked holds the attempts that "run or bar" was asked about.
	asked value.Set[string]
	// came is closed when a session comes.
	came chan struct{}
}

func newLink(m *Mesh, id ident.EntryID) *link {
	return &link{m: m, id: id, came: make(chan struct{}), queue: queue{most: m.cfg.Bounds.Queue}}
}

// want asks for a session with a host and dials where there is none. It does
// not block.
func (l *link) want(h event.Host, pinned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learn(h)
	l.pinned = l.pinned || pinned
	l.wanted = l.m.cfg.Clock.Now()
	l.dial()
}

// learn takes over what is newer about the host.
func (l *link) learn(h event.Host) {
	if h.Incarnation < l.host.Incarnation {
		return
	}
	if h.PeerAddr == "" {
		h.PeerAddr = l.host.PeerAddr
	}
	l.host = h
}

// dial starts dialling unless there is a session or it has been started.
func (l *link) dial() {
	if l.dialling || len(l.sessions) > 0 || l.host.PeerAddr == "" {
		return
	}
	d := &dialler{m: l.m, l: l}
	l.dialling = l.m.start(d.run)
}

// needed reports whether a session should stand.
func (l *link) needed(now ident.Time) bool {
	return l.pinned || now.Sub(l.wanted) < l.m.cfg.Times.Idle
}

// active is the session in use, nil for none.
func (l *link) active() *session {
	if len(l.sessions) == 0 {
		return nil
	}
	return l.sessions[len(l.sessions)-1]
}

func (l *link) current() (*session, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active(), l.came
}

func (l *link) list() []*session {
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
	s.up()
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
	l.learn(s.host)
	l.pinned = l.pinned && l.m.near(s.host)
	l.sessions = append(l.sessions, s)
	close(l.came)
	l.came = make(chan struct{})
	s.wake()
	return olds, nil
}

// drop forgets a session that has ended and dials again if need be.
func (l *link) drop(s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sessions = slices.DeleteFunc(l.sessions, func(x *session) bool { return x == s })
	now := l.m.cfg.Clock.Now()
	if now.Sub(s.since) > l.m.cfg.Times.MaxBackoff {
		l.fails = 0
	}
	if a := l.active(); a != nil {
		a.wake()
		return
	}
	if l.needed(now) {
		l.dial()
	}
}

func (l *link) closeAll() {
	for _, s := range l.list() {
		s.end("stopping")
	}
}

// push queues a control message and never blocks.
func (l *link) push(it item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it.at = l.m.cfg.Clock.Now()
	if lost, ok := l.queue.push(it); ok {
		l.m.lost(lost)
	}
	if a := l.active(); a != nil {
		a.wake()
	}
}

// pop takes the next control message for a session, if it is the one in use.
func (l *link) pop(s *session) (item, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active() != s {
		return item{}, false
	}
	for {
		it, ok := l.queue.pop()
		if !ok {
			return item{}, false
		}
		if !it.ages || l.m.cfg.Clock.Now().Sub(it.at) < l.m.cfg.Times.Stale {
			return it, true
		}
		l.m.lost(it)
	}
}

// tend looks after the sessions of the link.
func (l *link) tend(now ident.Time) {
	ss := l.list()
	for _, s := range ss {
		s.tend(now)
	}
	if len(ss) > 1 && l.m.cfg.Self.ID > l.id {
		endSpare(ss)
	}
}

// endSpare ends the session that the host with the higher name has dialled.
// Both hosts know which one that is, so that they don't end both.
func endSpare(ss []*session) {
	for _, s := range ss {
		if s.dialled && s.streams.Load() == 0 {
			s.end("spare")
		}
	}
}

// ask notes that "run or bar" is asked about an attempt.
func (l *link) ask(a ident.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asked == nil || len(l.asked) >= maxAsked {
		l.asked = value.SetOf[string]()
	}
	l.asked.Add(a.String())
}

// answered reports whether the host was asked, and notes the answer.
func (l *link) answered(ans event.BarAnswered) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := ans.Attempt.String()
	if !l.asked.Has(key) {
		return false
	}
	if ans.Answer != event.Running {
		delete(l.asked, key)
	}
	return true
}
