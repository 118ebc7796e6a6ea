package once

import (
	"cmp"
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Bounds of the attempts of peers.
const (
	// maxSenderAttempts is the history of one sender. A sender asks "run or
	// bar" within seconds, while the history spans its last thousand attempts
	// at this host.
	maxSenderAttempts = 1 << 10
	maxSenders        = 1 << 12
	maxAttempts       = 1 << 18
)

// sender is what is known of the attempts of one entry host. Only its newest
// incarnation counts: an earlier one has ended and can't ask any more.
type sender struct {
	inc ident.Incarnation
	// floor is the highest number that was dropped. At or below it nothing
	// new is accepted, since it may have run, and what isn't in seen is
	// Forgotten, never Barred.
	floor uint64
	// attempts is sorted by number.
	attempts   []attemptRecord
	lastActive ident.Time
}

type attemptRecord struct {
	number uint64
	answer event.Answer
}

func (s *sender) find(n uint64) (int, bool) {
	return slices.BinarySearchFunc(s.attempts, n, func(a attemptRecord, n uint64) int { return cmp.Compare(a.number, n) })
}

// AdmitAttempt judges an attempt that a peer has passed on. Not run is said where
// this host proves it: the attempt is barred, was refused, or is meant for
// another incarnation, given that a sender writes an attempt to one
// connection once. A copy of one that runs or ran is refused as unknown: to
// say "not run" of the copy would be said of the attempt.
func (rg *Registry) AdmitAttempt(now ident.Time, env event.Envelope) Verdict {
	rg.advance(now)
	if env.To != rg.inc {
		return refuse(codes.NoTarget, event.NotRun)
	}
	a := env.Attempt
	s := rg.sender(a)
	if s == nil || a.Number <= s.floor {
		return refuse(codes.OutcomeUnknown, event.Unknown)
	}
	i, ok := s.find(a.Number)
	if !ok {
		rg.addAttempt(s, i, attemptRecord{number: a.Number, answer: event.Running})
		return Verdict{Action: Run}
	}
	switch s.attempts[i].answer {
	case event.Barred, event.Refused:
		return refuse(codes.NoTarget, event.NotRun)
	case event.Running:
		return refuse(codes.InProgress, event.Unknown)
	}
	return refuse(codes.OutcomeUnknown, event.Unknown)
}

// AttemptEnded takes the end of an attempt that Arrive allowed to run: Refused
// where it is proved not to have run, Ended otherwise.
func (rg *Registry) AttemptEnded(now ident.Time, a ident.Attempt, answer event.Answer) {
	rg.advance(now)
	s, ok := rg.senders[a.Entry]
	if !ok || s.inc != a.Incarnation || (answer != event.Ended && answer != event.Refused) {
		return
	}
	if i, ok := s.find(a.Number); ok && s.attempts[i].answer == event.Running {
		s.attempts[i].answer = answer
	}
}

// Bar answers a peer's "run or bar" about an attempt meant for an incarnation
// of this host. Barred is said only of an attempt that has not arrived and
// from now on never will be accepted.
func (rg *Registry) Bar(now ident.Time, a ident.Attempt, to ident.Incarnation) event.Answer {
	rg.advance(now)
	if to != rg.inc {
		return event.Forgotten
	}
	s := rg.sender(a)
	if s == nil {
		return event.Forgotten
	}
	i, ok := s.find(a.Number)
	if ok {
		return s.attempts[i].answer
	}
	if a.Number <= s.floor {
		return event.Forgotten
	}
	rg.addAttempt(s, i, attemptRecord{number: a.Number, answer: event.Barred})
	return event.Barred
}

// sender returns the state of the incarnation that made an attempt, or nil if
// it is not the newest or may have been dropped.
func (rg *Registry) sender(a ident.Attempt) *sender {
	s, ok := rg.senders[a.Entry]
	if ok && a.Incarnation < s.inc {
		return nil
	}
	if ok && a.Incarnation == s.inc {
		s.lastActive = rg.now
		return s
	}
	if !ok && a.Incarnation <= rg.maxDroppedIncarnation {
		return nil
	}
	if ok {
		rg.attemptCount -= len(s.attempts)
	} else if len(rg.senders) >= rg.bounds.senders {
		rg.evictSender()
	}
	s = &sender{inc: a.Incarnation, lastActive: rg.now}
	rg.senders[a.Entry] = s
	return s
}

// addAttempt stores an attempt, and drops the lowest numbers where there is no
// room. The floor rises with each drop.
func (rg *Registry) addAttempt(s *sender, i int, a attemptRecord) {
	s.attempts = slices.Insert(s.attempts, i, a)
	rg.attemptCount++
	if len(s.attempts) > rg.bounds.senderAttempts {
		s.floor = s.attempts[0].number
		s.attempts = slices.Delete(s.attempts, 0, 1)
		rg.attemptCount--
	}
	if rg.attemptCount > rg.bounds.attempts {
		rg.evictHistory(s)
	}
}

// evictHistory empties the history of the sender that was silent longest.
func (rg *Registry) evictHistory(but *sender) {
	_, s := rg.idlestSender(func(s *sender) bool { return s != but && len(s.attempts) > 0 })
	if s == nil {
		return
	}
	s.floor = s.attempts[len(s.attempts)-1].number
	rg.attemptCount -= len(s.attempts)
	s.attempts = nil
}

// evictSender forgets the sender that was silent longest. What is not known and
// no newer than a dropped one is treated as forgotten.
func (rg *Registry) evictSender() {
	id, s := rg.idlestSender(func(*sender) bool { return true })
	rg.maxDroppedIncarnation = max(rg.maxDroppedIncarnation, s.inc)
	rg.attemptCount -= len(s.attempts)
	delete(rg.senders, id)
}

// idlestSender finds the sender that was silent longest, the least id among equals,
// so that no map order shows.
func (rg *Registry) idlestSender(counts func(*sender) bool) (ident.EntryID, *sender) {
	var id ident.EntryID
	var s *sender
	for oid, o := range rg.senders {
		if !counts(o) {
			continue
		}
		if s == nil || o.lastActive < s.lastActive || (o.lastActive == s.lastActive && oid < id) {
			id, s = oid, o
		}
	}
	return id, s
}
