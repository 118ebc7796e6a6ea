// Package spread holds the configuration in force at one entry host and
// decides how changes reach it and go on: from the platform, from peers of
// the same data centre, and from other data centres.
//
// # Usage
//
//	sp := spread.New(self)
//	effs := sp.Changes(now, ev, peers)
//	effs = append(effs, sp.Tick(now, watches)...)
//
// One host of a data centre watches the platform and pushes each change to the others. A host
// that observes a higher revision than its own asks for what it lacks, so that the next
// heartbeat repairs a lost push, and a data centre that is cut off from the platform
// learns from another one. A book is only replaced by one of a higher revision, so that
// no change reverts.
//
// The state belongs to the reducer and reads no clock.
package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Times of the spreading.
const (
	// watchTimeout bounds the silence of a watch. It is longer than the longest wait of
	// one.
	watchTimeout = 40 * time.Second
	// minBackoff and backoffMax bound the wait after a failed call to the
	// platform. With the part that each host adds, the longest wait is one and
	// a half times backoffMax. It has to stay under the time in which a change
	// is to be in force: a data centre that the platform's return finds waiting
	// has no other way to a change while it is cut off from the others.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2500 * time.Millisecond
	// peerAskInterval is the time between two questions to one peer.
	peerAskInterval = 500 * time.Millisecond
	// answerTimeout is how long an answer is waited for before another peer is asked, doubled with
	// each question in vain up to askMost.
	answerTimeout    = time.Second
	maxAnswerTimeout = 4 * time.Second
)

// maxRecentChanges is how many changes are kept to be sent one by one; a peer that
// lacks more gets the whole book.
const maxRecentChanges = 64

// maxAskedPeers bounds the peers whose last question is remembered.
const maxAskedPeers = 1024

// Distributor is the state.
type Distributor struct {
	self          event.Host
	book          *rules.Book
	recentChanges []rules.Change

	watching     bool
	watchStart   ident.Time
	snapshotRead bool
	failures     int
	retryAt      ident.Time
	answeredAt   ident.Time
	hasAnswer    bool
	lastAsked    map[ident.EntryID]ident.Time
	// askedAt is when any peer was last asked, unanswered how many questions
	// since the last change in force brought none.
	askedAt    ident.Time
	unanswered int
	// platformProgressAt is when an answer of the platform was last seen to arrive.
	platformProgressAt ident.Time
	// platformFirst says that the platform is asked before a peer.
	platformFirst bool
}

// SetPlatformFirst has a higher revision be read from the platform, and from a peer only if that
// fails. Where few hosts read the platform for all, their links could not carry the book to all
// of them.
func (s *Distributor) SetPlatformFirst(yes bool) { s.platformFirst = yes }

// New returns the state of a host without a configuration.
func New(self event.Host) *Distributor {
	return &Distributor{self: self, lastAsked: make(map[ident.EntryID]ident.Time)}
}

// Book returns the configuration in force, nil before the first.
func (s *Distributor) Book() *rules.Book { return s.book }

// Revision returns the revision in force.
func (s *Distributor) Revision() ident.Revision { return s.book.Rev() }

// PlatformAge returns the time since the platform last answered this host.
func (s *Distributor) PlatformAge(now ident.Time) (time.Duration, bool) {
	return now.Sub(s.answeredAt), s.hasAnswer
}

// PlatformFailing reports whether this host is meant to watch and has not been answered
// for a while.
func (s *Distributor) PlatformFailing() bool { return s.failures > 0 }

// ApplyChanges takes changes from the platform or a peer and pushes those that are
// new to peers.
func (s *Distributor) ApplyChanges(now ident.Time, ev event.ChangesReceived, peers []event.Host) []event.Effect {
	fromPlatform := ev.From == ""
	var effs []event.Effect
	var fresh []rules.Change
	for _, c := range ev.Changes {
		next, err := s.book.Apply(c)
		if err != nil {
			// An old change, one with a gap before it, or one that this
			// version can't read. Nothing of it may be put in force.
			continue
		}
		s.book = next
		s.addRecent(c)
		fresh = append(fresh, c)
	}
	if len(fresh) > 0 {
		s.unanswered = 0
		effs = append(effs, event.InForceNow{Book: s.book})
		effs = s.push(effs, ev.From, fresh, peers)
	}
	if fromPlatform {
		s.platformAnswered(now)
		s.watching = false
	}
	return effs
}

// push sends fresh changes to the peers of the data centre, unless one of
// them sent them and has done the same.
func (s *Distributor) push(effs []event.Effect, from ident.EntryID, fresh []rules.Change, peers []event.Host) []event.Effect {
	for _, h := range peers {
		if h.ID == from {
			return effs
		}
	}
	if len(peers) == 0 {
		return effs
	}
	return append(effs, event.SendChanges{To: peers, Changes: fresh})
}

func (s *Distributor) addRecent(c rules.Change) {
	s.recentChanges = append(s.recentChanges, c)
	if n := len(s.recentChanges) - maxRecentChanges; n > 0 {
		s.recentChanges = append([]rules.Change(nil), s.recentChanges[n:]...)
	}
}

// ApplySnapshot takes a whole book.
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

// AnswerPeer answers a peer that asks for all after a revision.
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

// RevisionSeen handles the revision of another host, and asks for what this one lacks. One peer is
// asked at a time, since a host that starts observes a higher revision at all its peers and
// each would send the whole book.
func (s *Distributor) RevisionSeen(now ident.Time, host event.Host, rev ident.Revision) []event.Effect {
	if rev <= s.Revision() {
		return nil
	}
	if s.platformFirst && s.failures == 0 && s.unanswered == 0 {
		s.askedAt = now
		s.unanswered = 1
		return []event.Effect{event.ReadSnapshot{}}
	}
	if s.platformAnswerArriving(now) {
		return nil
	}
	if at, ok := s.lastAsked[host.ID]; ok && now.Sub(at) < peerAskInterval {
		return nil
	}
	if s.unanswered > 0 && now.Sub(s.askedAt) < min(answerTimeout<<min(s.unanswered-1, 2), maxAnswerTimeout) {
		return nil
	}
	s.askedAt = now
	s.unanswered++
	if len(s.lastAsked) >= maxAskedPeers {
		clear(s.lastAsked)
	}
	s.lastAsked[host.ID] = now
	return []event.Effect{event.AskChanges{To: host, After: s.Revision()}}
}

// PlatformProgress records that an answer of the platform is arriving.
func (s *Distributor) PlatformProgress(now ident.Time) { s.platformProgressAt = now }

// platformAnswerArriving reports whether an answer of the platform that may hold the newer book is still
// platformAnswerArriving. Peers that sent the book beside it would slow it down.
func (s *Distributor) platformAnswerArriving(now ident.Time) bool {
	return s.platformFirst && s.platformProgressAt > 0 && now.Sub(s.platformProgressAt) < answerTimeout && now.Sub(s.askedAt) < maxAnswerTimeout
}

// WatchIdle records a watch that ended without a change.
func (s *Distributor) WatchIdle(now ident.Time) {
	s.platformAnswered(now)
	s.watching = false
}

// PlatformFailed records a call to the platform that brought no answer.
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
	s.hasAnswer = true
	s.answeredAt = now
}

// backoff returns the wait after the last failure. Each host adds a part of
// its own: without it, all data centres would come back to a platform that
// has just recovered at the same moment, and bring it down again.
func (s *Distributor) backoff() time.Duration {
	d := minBackoff << min(s.failures-1, 10)
	d = min(d, maxBackoff)
	h := xxhash.Sum64String(string(s.self.ID)) + uint64(s.failures)*0x9e3779b97f4a7c15
	return d/2 + time.Duration(h%uint64(d))
}

// Tick starts or ends the watch as the duty asks.
func (s *Distributor) Tick(now ident.Time, watches bool) []event.Effect {
	if !watches {
		if !s.watching {
			return nil
		}
		s.watching = false
		s.failures = 0
		return []event.Effect{event.StopWatch{}}
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

// NextTick returns when Tick is due at the latest.
func (s *Distributor) NextTick(now ident.Time) ident.Time {
	if s.watching {
		return s.watchStart.Add(watchTimeout)
	}
	if s.failures > 0 {
		return s.retryAt
	}
	return now.Add(watchTimeout)
}
