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
	// maxSenderAttempts bounds the history of one sender. A sender asks "run or bar"
	// within seconds, while the history covers its last thousand attempts at this host.
	maxSenderAttempts = 1 << 10
	maxSenders        = 1 << 12
	maxAttempts       = 1 << 18
)

// sender holds the attempts of one entry host. Only its newest incarnation counts: an
// earlier one has ended and can't ask any more.
type sender struct {
	inc ident.Incarnation
	// floor is the highest dropped number. At or below it no new attempt is accepted,
	// since it may have run, and Bar answers Forgotten, never Barred, for numbers
	// missing from attempts.
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

// AdmitAttempt decides on an attempt that a peer has forwarded. It answers "not run"
// only with proof: the attempt is barred, was refused, or is addressed to another
// incarnation. This requires that a sender writes an attempt only once, to one
// connection. A copy of an attempt that runs or ran is refused as unknown, because the
// sender would apply a "not run" for the copy to the attempt itself.
func (rg *Registry) AdmitAttempt(now ident.Time, env event.Envelope) Verdict {
	rg.advance(now)
	if env.ToIncarnation != rg.inc {
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

// AttemptEnded records the end of an attempt that AdmitAttempt allowed to run: Refused
// if it provably did not run, Ended otherwise.
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

// Bar answers a peer's "run or bar" query about an attempt addressed to an incarnation
// of this host. Barred means that the attempt has not arrived and will be rejected if
// it does.
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

// sender returns the state of the incarnation that made an attempt, or nil if that
// incarnation is not the newest or may have been dropped.
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

// addAttempt stores an attempt at index i. If the sender then has too many attempts, it
// drops the lowest and raises the floor; if all senders together have too many, it
// clears the history of another one.
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

// evictHistory clears the history of the sender that has been idle longest, except for
// the given one.
func (rg *Registry) evictHistory(except *sender) {
	_, s := rg.idlestSender(func(s *sender) bool { return s != except && len(s.attempts) > 0 })
	if s == nil {
		return
	}
	s.floor = s.attempts[len(s.attempts)-1].number
	rg.attemptCount -= len(s.attempts)
	s.attempts = nil
}

// evictSender removes the sender that has been idle longest. Attempts of unknown
// senders whose incarnation is not newer are treated as forgotten from then on.
func (rg *Registry) evictSender() {
	id, s := rg.idlestSender(func(*sender) bool { return true })
	rg.maxDroppedIncarnation = max(rg.maxDroppedIncarnation, s.inc)
	rg.attemptCount -= len(s.attempts)
	delete(rg.senders, id)
}

// idlestSender returns the matching sender that has been idle longest. Ties go to the
// smallest id, which keeps the result independent of map order.
func (rg *Registry) idlestSender(match func(*sender) bool) (ident.EntryID, *sender) {
	var id ident.EntryID
	var s *sender
	for oid, o := range rg.senders {
		if !match(o) {
			continue
		}
		if s == nil || o.lastActive < s.lastActive || (o.lastActive == s.lastActive && oid < id) {
			id, s = oid, o
		}
	}
	return id, s
}
