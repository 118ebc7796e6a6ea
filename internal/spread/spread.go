// Package spread holds the configuration in force at one entry host. It receives
// changes from the platform, from peers of the same data centre and from hosts of
// other data centres, and pushes them to the peers.
//
// # Usage
//
//	sp := spread.New(self)
//	effs := sp.ApplyChanges(now, ev, peers)
//	effs = append(effs, sp.Tick(now, isWatcher)...)
//
// One host of a data centre watches the platform and pushes each change to the others.
// A host that sees a higher revision than its own asks for the missing changes. The next
// heartbeat thereby repairs a lost push, and a data centre that cannot reach the
// platform gets changes from another one. A book is replaced only by one of a higher
// revision, so that no change is reverted.
//
// A Distributor is used only by the reducer. It reads no clock: callers pass the time.
package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Timeouts and intervals of the distribution.
const (
	// watchTimeout is the time without an answer after which a watch is restarted. It
	// is longer than the longest time for which the platform keeps a watch open.
	watchTimeout = 40 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call to the platform,
	// before jitter. With jitter, the longest delay is one and a half times maxBackoff.
	// It must stay below the time in which a change has to be in force: if a data
	// centre cannot reach the others when the platform recovers, it gets the change
	// only by its own retry.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2500 * time.Millisecond
	// peerAskInterval is the minimum time between two queries to the same peer.
	peerAskInterval = 500 * time.Millisecond
	// answerTimeout is how long the host waits for the answer to a query before it asks
	// the next peer. It doubles with each unanswered query up to maxAnswerTimeout.
	answerTimeout = time.Second
	// platformReadInterval is the minimum time between two reads of the platform for higher
	// revisions. Changes in quick succession then cost each host one read in that time.
	platformReadInterval = time.Second
	maxAnswerTimeout     = 4 * time.Second
)

// maxRecentChanges bounds the changes that are kept to be sent one by one. A peer that
// lacks more gets the whole book.
const maxRecentChanges = 64

// maxRelayedProfiles is the number of profiles up to which a book is asked from a peer before
// the platform is read. A larger one would take a peer that many hosts ask a second to send.
const maxRelayedProfiles = 64

// maxAskedPeers bounds the peers whose last query is remembered.
const maxAskedPeers = 1024

// Distributor is the configuration in force and the state of its distribution.
type Distributor struct {
	self          event.Host
	book          *rules.Book
	recentChanges []rules.Change

	watching      bool
	watchStart    ident.Time
	snapshotRead  bool
	failures      int
	retryAt       ident.Time
	answeredAt    ident.Time
	everAnswered  bool
	lastAskByPeer map[ident.EntryID]ident.Time
	// lastAskAt is the time of the last query for a higher revision, to any peer or, with
	// platformFirst, to the platform. unanswered counts these queries since the last
	// change came into force.
	lastAskAt  ident.Time
	unanswered int
	// highestSeen is the highest revision that another host has announced.
	highestSeen ident.Revision
	// platformReadAt is the time of the last query for a higher revision to the platform.
	platformReadAt ident.Time
	// platformProgressAt is the last time at which an answer of the platform was in
	// transfer.
	platformProgressAt ident.Time
	// platformFirst makes the host query the platform before a peer.
	platformFirst bool
}

// SetPlatformFirst selects whether a higher revision of a large book is read from the
// platform first, and from a peer only if that fails. When few hosts read the platform for
// all others, the links of these few can't carry a large book to every host. A small one is
// asked from a peer first, which costs the platform no call, and then from the platform.
func (s *Distributor) SetPlatformFirst(enabled bool) { s.platformFirst = enabled }

// New returns the state of a host without a configuration.
func New(self event.Host) *Distributor {
	return &Distributor{self: self, lastAskByPeer: make(map[ident.EntryID]ident.Time)}
}

// Book returns the configuration in force, or nil if there is none yet.
func (s *Distributor) Book() *rules.Book { return s.book }

// Revision returns the revision in force.
func (s *Distributor) Revision() ident.Revision { return s.book.Rev() }

// PlatformAge returns the time since the platform last answered this host.
func (s *Distributor) PlatformAge(now ident.Time) (time.Duration, bool) {
	return now.Sub(s.answeredAt), s.everAnswered
}

// PlatformFailing reports whether the last call of this host to the platform failed,
// other than a read of the host list. On a host that neither watches the platform
// nor reads it first, it is reset after the delay of a retry.
func (s *Distributor) PlatformFailing() bool { return s.failures > 0 }

// ApplyChanges applies changes from the platform or a peer and pushes the new ones to
// the peers.
func (s *Distributor) ApplyChanges(now ident.Time, ev event.ChangesReceived, peers []event.Host) []event.Effect {
	fromPlatform := ev.From == ""
	var effs []event.Effect
	var applied []rules.Change
	for _, c := range ev.Changes {
		next, err := s.book.Apply(c)
		if err != nil {
			// An old change, one after a gap, or one that this version can't read. No
			// part of it may come into force.
			continue
		}
		s.book = next
		s.addRecent(c)
		applied = append(applied, c)
	}
	if len(applied) > 0 {
		s.unanswered = 0
		effs = append(effs, event.InForceNow{Book: s.book})
		effs = s.push(effs, ev.From, applied, peers)
	}
	if fromPlatform {
		s.platformAnswered(now)
		s.watching = false
	}
	return effs
}

// push sends new changes to the peers of the data centre, unless they came from one of
// these peers, which has already pushed them.
func (s *Distributor) push(effs []event.Effect, from ident.EntryID, applied []rules.Change, peers []event.Host) []event.Effect {
	for _, h := range peers {
		if h.ID == from {
			return effs
		}
	}
	if len(peers) == 0 {
		return effs
	}
	return append(effs, event.SendChanges{To: peers, Changes: applied})
}

func (s *Distributor) addRecent(c rules.Change) {
	s.recentChanges = append(s.recentChanges, c)
	if n := len(s.recentChanges) - maxRecentChanges; n > 0 {
		s.recentChanges = append([]rules.Change(nil), s.recentChanges[n:]...)
	}
}

// ApplySnapshot replaces the book if the new one has a higher revision.
func (s *Distributor) ApplySnapshot(now ident.Time, ev event.SnapshotReceived) []event.Effect {
	if ev.From == "" {
		s.platformAnswered(now)
		s.snapshotRead = true
		s.watching = false
	}
	if ev.Book.Rev() <= s.Revision() {
		return nil
	}
	s.book = ev.Book
	s.recentChanges = nil
	s.unanswered = 0
	return []event.Effect{event.InForceNow{Book: s.book}}
}

// AnswerPeer answers a peer's query for all changes after a revision.
func (s *Distributor) AnswerPeer(to event.Host, after ident.Revision) []event.Effect {
	if after >= s.Revision() {
		return nil
	}
	for i, c := range s.recentChanges {
		if c.Revision == after+1 {
			return []event.Effect{event.SendChanges{To: []event.Host{to}, Changes: append([]rules.Change(nil), s.recentChanges[i:]...)}}
		}
	}
	return []event.Effect{event.SendSnapshot{To: to, Book: s.book}}
}

// RevisionSeen handles the revision of another host and asks for missing changes. It
// asks one peer at a time: a host that starts sees a higher revision at all its peers,
// and each of them would send the whole book.
func (s *Distributor) RevisionSeen(now ident.Time, host event.Host, rev ident.Revision) []event.Effect {
	if rev <= s.Revision() {
		return nil
	}
	s.highestSeen = max(s.highestSeen, rev)
	if s.platformIsNext(now) {
		return s.readPlatform(now)
	}
	if s.platformAnswerArriving(now) {
		return nil
	}
	if at, ok := s.lastAskByPeer[host.ID]; ok && now.Sub(at) < peerAskInterval {
		return nil
	}
	if s.unanswered > 0 && now.Sub(s.lastAskAt) < min(answerTimeout<<min(s.unanswered-1, 2), maxAnswerTimeout) {
		return nil
	}
	s.lastAskAt = now
	s.unanswered++
	if len(s.lastAskByPeer) >= maxAskedPeers {
		clear(s.lastAskByPeer)
	}
	s.lastAskByPeer[host.ID] = now
	return []event.Effect{event.AskChanges{To: host, After: s.Revision()}}
}

// readPlatform reads the platform for a higher revision, at most once in platformReadInterval.
func (s *Distributor) readPlatform(now ident.Time) []event.Effect {
	if s.platformReadAt > 0 && now.Sub(s.platformReadAt) < platformReadInterval {
		return nil
	}
	s.platformReadAt, s.lastAskAt = now, now
	s.unanswered++
	return []event.Effect{event.ReadSnapshot{}}
}

// peerIsOverdue reports whether a peer was asked for a higher revision and has not answered in
// time. It may have stopped just after it had announced the revision, as the only host that has it.
func (s *Distributor) peerIsOverdue(now ident.Time) bool {
	return s.highestSeen > s.Revision() && s.unanswered == 1 && s.platformIsNext(now)
}

// platformIsNext reports whether a higher revision is to be read from the platform, and not
// asked from a peer.
func (s *Distributor) platformIsNext(now ident.Time) bool {
	if !s.platformFirst || s.failures > 0 {
		return false
	}
	if s.book == nil || s.book.Size() > maxRelayedProfiles {
		return s.unanswered == 0
	}
	return s.unanswered == 1 && now.Sub(s.lastAskAt) >= answerTimeout
}

// PlatformProgress records that an answer of the platform is in transfer.
func (s *Distributor) PlatformProgress(now ident.Time) { s.platformProgressAt = now }

// platformAnswerArriving reports whether an answer of the platform that may contain the
// newer book is still in transfer. Peers that sent the book at the same time would slow
// it down.
func (s *Distributor) platformAnswerArriving(now ident.Time) bool {
	return s.platformFirst && s.platformProgressAt > 0 && now.Sub(s.platformProgressAt) < answerTimeout && now.Sub(s.lastAskAt) < maxAnswerTimeout
}

// WatchIdle records a watch that ended without a change.
func (s *Distributor) WatchIdle(now ident.Time) {
	s.platformAnswered(now)
	s.watching = false
}

// PlatformFailed records a call to the platform that got no answer.
func (s *Distributor) PlatformFailed(now ident.Time, op event.PlatformOp) {
	if op == event.OpReadHosts {
		return
	}
	s.watching = false
	s.failures++
	s.retryAt = now.Add(s.backoff())
}

func (s *Distributor) platformAnswered(now ident.Time) {
	s.failures = 0
	s.everAnswered = true
	s.answeredAt = now
}

// backoff returns the delay after the last failure, with a jitter that depends on the
// host. Without it, all data centres would retry at the same moment and overload a
// platform that has just recovered.
func (s *Distributor) backoff() time.Duration {
	d := minBackoff << min(s.failures-1, 10)
	d = min(d, maxBackoff)
	h := xxhash.Sum64String(string(s.self.ID)) + uint64(s.failures)*0x9e3779b97f4a7c15
	return d/2 + time.Duration(h%uint64(d))
}

// Tick starts or stops the watch, depending on whether this host has to watch the
// platform.
func (s *Distributor) Tick(now ident.Time, isWatcher bool) []event.Effect {
	if s.peerIsOverdue(now) {
		if effs := s.readPlatform(now); len(effs) > 0 {
			return effs
		}
	}
	if !isWatcher {
		return s.tickFollower(now)
	}
	if s.watching && now.Sub(s.watchStart) < watchTimeout {
		return nil
	}
	if s.failures > 0 && now < s.retryAt {
		return nil
	}
	s.watching = true
	s.watchStart = now
	if !s.snapshotRead && s.book == nil {
		return []event.Effect{event.ReadSnapshot{}}
	}
	return []event.Effect{event.WatchChange{After: s.Revision()}}
}

// tickFollower stops the watch of a host that no longer watches the platform. Unless such a host
// reads the platform first, it makes no further call that would end a failure, so a failure ends
// when its retry would be due.
func (s *Distributor) tickFollower(now ident.Time) []event.Effect {
	if s.watching || !s.platformFirst && now >= s.retryAt {
		s.failures = 0
	}
	if !s.watching {
		return nil
	}
	s.watching = false
	return []event.Effect{event.StopWatch{}}
}

// NextTick returns the latest time for the next call of Tick.
func (s *Distributor) NextTick(now ident.Time) ident.Time {
	if s.platformFirst && s.unanswered == 1 && s.highestSeen > s.Revision() && s.lastAskAt.Add(answerTimeout) > now {
		return s.lastAskAt.Add(answerTimeout)
	}
	if s.watching {
		return s.watchStart.Add(watchTimeout)
	}
	if s.failures > 0 {
		return s.retryAt
	}
	return now.Add(watchTimeout)
}
