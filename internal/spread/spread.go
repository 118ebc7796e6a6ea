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
	// watchLost bounds the silence of a watch. It is longer than the longest wait of
	// one.
	watchLost = 40 * time.Second
	// backoffMin and backoffMax bound the wait after a failed call to the
	// platform. With the part that each host adds, the longest wait is one and
	// a half times backoffMax. It has to stay under the time in which a change
	// is to be in force: a data centre that the platform's return finds waiting
	// has no other way to a change while it is cut off from the others.
	backoffMin = 250 * time.Millisecond
	backoffMax = 2500 * time.Millisecond
	// askAgain is the time between two questions to one peer.
	askAgain = 500 * time.Millisecond
	// askNext is how long an answer is waited for before another peer is asked, doubled with
	// each question in vain up to askMost.
	askNext = time.Second
	askMost = 4 * time.Second
)

// keepChanges is how many changes are kept to be sent one by one; a peer that
// lacks more gets the whole book.
const keepChanges = 64

// maxAsked bounds the peers whose last question is remembered.
const maxAsked = 1024

// Spread is the state.
type Spread struct {
	self   event.Host
	book   *rules.Book
	recent []rules.Change

	watching   bool
	since      ident.Time
	loaded     bool
	fails      int
	retryAt    ident.Time
	answeredAt ident.Time
	hasAnswer  bool
	asked      map[ident.EntryID]ident.Time
	// askedAt is when any peer was last asked, unanswered how many questions
	// since the last change in force brought none.
	askedAt    ident.Time
	unanswered int
	// progressAt is when an answer of the platform was last seen to arrive.
	progressAt ident.Time
	// readFirst says that the platform is asked before a peer.
	readFirst bool
}

// ReadFirst has a higher revision be read from the platform, and from a peer only if that
// fails. Where few hosts read the platform for all, their links could not carry the book to all
// of them.
func (s *Spread) ReadFirst(yes bool) { s.readFirst = yes }

// New returns the state of a host without a configuration.
func New(self event.Host) *Spread {
	return &Spread{self: self, asked: make(map[ident.EntryID]ident.Time)}
}

// Book returns the configuration in force, nil before the first.
func (s *Spread) Book() *rules.Book { return s.book }

// Revision returns the revision in force.
func (s *Spread) Revision() ident.Revision { return s.book.Rev() }

// PlatformAge returns the time since the platform last answered this host.
func (s *Spread) PlatformAge(now ident.Time) (time.Duration, bool) {
	return now.Sub(s.answeredAt), s.hasAnswer
}

// Blind reports whether this host is meant to watch and has not been answered
// for a while.
func (s *Spread) Blind() bool { return s.fails > 0 }

// Changes takes changes from the platform or a peer and pushes those that are
// new to peers.
func (s *Spread) Changes(now ident.Time, ev event.ChangesReceived, peers []event.Host) []event.Effect {
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
		s.keep(c)
		fresh = append(fresh, c)
	}
	if len(fresh) > 0 {
		s.unanswered = 0
		effs = append(effs, event.InForceNow{Book: s.book})
		effs = s.push(effs, ev.From, fresh, peers)
	}
	if fromPlatform {
		s.answered(now)
		s.watching = false
	}
	return effs
}

// push sends fresh changes to the peers of the data centre, unless one of
// them sent them and has done the same.
func (s *Spread) push(effs []event.Effect, from ident.EntryID, fresh []rules.Change, peers []event.Host) []event.Effect {
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

func (s *Spread) keep(c rules.Change) {
	s.recent = append(s.recent, c)
	if n := len(s.recent) - keepChanges; n > 0 {
		s.recent = append([]rules.Change(nil), s.recent[n:]...)
	}
}

// Snapshot takes a whole book.
func (s *Spread) Snapshot(now ident.Time, ev event.SnapshotReceived) []event.Effect {
	if ev.From == "" {
		s.answered(now)
		s.loaded = true
		s.watching = false
	}
	if ev.Book.Rev() <= s.Revision() {
		return nil
	}
	s.book = ev.Book
	s.recent = nil
	s.unanswered = 0
	return []event.Effect{event.InForceNow{Book: s.book}}
}

// Wanted answers a peer that asks for all after a revision.
func (s *Spread) Wanted(to event.Host, after ident.Revision) []event.Effect {
	if after >= s.Revision() {
		return nil
	}
	for i, c := range s.recent {
		if c.Revision == after+1 {
			return []event.Effect{event.SendChanges{To: []event.Host{to}, Changes: append([]rules.Change(nil), s.recent[i:]...)}}
		}
	}
	return []event.Effect{event.SendSnapshot{To: to, Book: s.book}}
}

// Seen handles the revision of another host, and asks for what this one lacks. One peer is
// asked at a time, since a host that starts observes a higher revision at all its peers and
// each would send the whole book.
func (s *Spread) Seen(now ident.Time, host event.Host, rev ident.Revision) []event.Effect {
	if rev <= s.Revision() {
		return nil
	}
	if s.readFirst && s.fails == 0 && s.unanswered == 0 {
		s.askedAt = now
		s.unanswered = 1
		return []event.Effect{event.ReadSnapshot{}}
	}
	if s.arriving(now) {
		return nil
	}
	if at, ok := s.asked[host.ID]; ok && now.Sub(at) < askAgain {
		return nil
	}
	if s.unanswered > 0 && now.Sub(s.askedAt) < min(askNext<<min(s.unanswered-1, 2), askMost) {
		return nil
	}
	s.askedAt = now
	s.unanswered++
	if len(s.asked) >= maxAsked {
		clear(s.asked)
	}
	s.asked[host.ID] = now
	return []event.Effect{event.AskChanges{To: host, After: s.Revision()}}
}

// Progress records that an answer of the platform is arriving.
func (s *Spread) Progress(now ident.Time) { s.progressAt = now }

// arriving reports whether an answer of the platform that may hold the newer book is still
// arriving. Peers that sent the book beside it would slow it down.
func (s *Spread) arriving(now ident.Time) bool {
	return s.readFirst && s.progressAt > 0 && now.Sub(s.progressAt) < askNext && now.Sub(s.askedAt) < askMost
}

// Idle records a watch that ended without a change.
func (s *Spread) Idle(now ident.Time) {
	s.answered(now)
	s.watching = false
}

// Failed records a call to the platform that brought no answer.
func (s *Spread) Failed(now ident.Time, op event.PlatformOp) {
	if op == event.OpReadHosts {
		return
	}
	s.watching = false
	s.fails++
	s.retryAt = now.Add(s.backoff())
}

func (s *Spread) answered(now ident.Time) {
	s.fails = 0
	s.hasAnswer = true
	s.answeredAt = now
}

// backoff returns the wait after the last failure. Each host adds a part of
// its own: without it, all data centres would come back to a platform that
// has just recovered at the same moment, and bring it down again.
func (s *Spread) backoff() time.Duration {
	d := backoffMin << min(s.fails-1, 10)
	d = min(d, backoffMax)
	h := xxhash.Sum64String(string(s.self.ID)) + uint64(s.fails)*0x9e3779b97f4a7c15
	return d/2 + time.Duration(h%uint64(d))
}

// Tick starts or ends the watch as the duty asks.
func (s *Spread) Tick(now ident.Time, watches bool) []event.Effect {
	if !watches {
		if !s.watching {
			return nil
		}
		s.watching = false
		s.fails = 0
		return []event.Effect{event.StopWatch{}}
	}
	if s.watching && now.Sub(s.since) < watchLost {
		return nil
	}
	if s.fails > 0 && now < s.retryAt {
		return nil
	}
	s.watching = true
	s.since = now
	if !s.loaded && s.book == nil {
		return []event.Effect{event.ReadSnapshot{}}
	}
	return []event.Effect{event.WatchChange{After: s.Revision()}}
}

// Next returns when Tick is due at the latest.
func (s *Spread) Next(now ident.Time) ident.Time {
	if s.watching {
		return s.since.Add(watchLost)
	}
	if s.fails > 0 {
		return s.retryAt
	}
	return now.Add(watchLost)
}
