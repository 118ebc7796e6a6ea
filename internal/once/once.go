// Package once makes non-idempotent requests run at most once, and says that
// one was not run only when that is proved.
//
// # Usage
//
// A caller takes a ticket and sends it with its request, or sends an
// idempotency key of its own:
//
//	ticket, valid, code := rg.IssueTicket(now, account, profile, secret)
//	v := rg.Redeem(now, ticket, account, profile, req, print)
//	v := rg.Key(now, key, print, req)
//
// The Verdict says how to go on. Claim asks the platform's store first, and
// its answer goes to Claimed, which gives the next verdict. Each Run must be
// followed by exactly one Ended, also when the caller has left, and each Claim
// that is given up by an Ended with NotRun.
//
// A request that another entry host has passed on is judged by its attempt:
//
//	v := rg.Arrive(now, envelope)
//	rg.PeerEnded(now, attempt, event.Ended) // or event.Refused
//	answer := rg.Bar(now, attempt, to)
//
// # What is promised
//
// A ticket runs at most once, because only the incarnation that issued it may
// run it, and that incarnation remembers. After a restart the memory is gone,
// so the answer is "unknown": a restarted host that said "not run" would make
// the caller send a second van.
//
// A key runs at most once, because one record in the platform's store names
// the one incarnation that may run it, and that incarnation remembers.
//
// An attempt of a peer runs at most once, because its number is remembered, or
// lies at or below a floor under which nothing new is accepted.
//
// # Bounds
//
// A record of a ticket or key lasts recordKept after its end, and its answer
// answerKept. There are at most maxRecords records of some 480 bytes, so 31 MB;
// an unused ticket lasts ticketValid, and an account has at most
// maxAccountTickets of them. Where there is no room the record that is due
// next goes early. Running requests are never dropped: when they fill the
// memory, new ones are refused. Attempts of peers take at most maxAttempts
// entries of 27 bytes over maxSenders senders, so 7 MB.
//
// Dropping a record never turns "ran" into "not run". For tickets a floor
// holds the highest number that ran and was dropped; for keys a flag says that
// any was; for attempts each sender has its floor. At or below the floor the
// answer is "unknown".
package once

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Never is what Next returns when nothing is due.
const Never ident.Time = math.MaxInt64

// Retention and bounds of tickets and keys.
const (
	// ticketTTL is how long an unused ticket may be redeemed.
	ticketTTL = 15 * time.Minute
	// answerTTL is how long an answer is kept for repeats.
	answerTTL = 10 * time.Minute
	// recordTTL is how long it is remembered that a ticket or key has ended.
	recordTTL = time.Hour

	maxRecords        = 1 << 16
	maxTickets        = 1 << 15
	maxAccountTickets = 1 << 12

	// busyRetryAfter is when a repeat may find more than it found now.
	busyRetryAfter = time.Second
)

// bounds are the sizes that a registry keeps to.
type bounds struct {
	records, tickets, accountTickets  int
	senders, attempts, senderAttempts int
}

// Action says how to go on with a request.
type Action string

// The ways to go on.
const (
	// Run allows the request to be sent.
	Run Action = "run"
	// Claim asks the platform's store first, with the Record.
	Claim Action = "claim"
	// Replay answers with the kept answer of the request Of.
	Replay Action = "replay"
	// Owner leaves the request to the host Entry, which alone can know.
	Owner Action = "owner"
	// Refuse gives the final answer.
	Refuse Action = "refuse"
)

// Verdict is the decision on one request.
type Verdict struct {
	Action Action
	// Record is what to claim the key with.
	Record event.KeyRecord
	// ReplayOf is the request whose answer is kept.
	ReplayOf ident.RequestID
	// Entry and Incarnation name the owner of the ticket or key.
	Entry       ident.EntryID
	Incarnation ident.Incarnation
	// Code, Outcome and RetryAfter are the final answer of Refuse, and of
	// Owner where the request isn't passed on.
	Code       codes.ID
	Outcome    event.Outcome
	RetryAfter time.Duration
}

// Registry holds the tickets, keys and attempts of peers that one incarnation
// of an entry host knows.
type Registry struct {
	self   ident.EntryID
	inc    ident.Incarnation
	now    ident.Time
	bounds bounds

	// issued is the number of the last ticket.
	issued uint64
	// ticketFloor is the highest number of a ticket that may have run and
	// was dropped from memory.
	ticketFloor uint64
	// usedKeyDropped says that a key that may have run was dropped.
	usedKeyDropped bool

	tickets map[uint64]*record
	keys    map[string]*record
	// byRequest finds a record by the request that claims or runs it.
	byRequest map[ident.RequestID]*record
	// unusedByAccount counts the tickets that may still be redeemed, by account.
	unusedByAccount map[ident.Account]int
	unusedTotal     int
	queue           dueQueue
	seq             uint64
	// droppedAnswers lists answers that were dropped early, for the next Expire.
	droppedAnswers []ident.RequestID

	senders               map[ident.EntryID]*sender
	maxDroppedIncarnation ident.Incarnation
	attemptCount          int
}

// New returns an empty registry of one incarnation of an entry host.
func New(self ident.EntryID, inc ident.Incarnation) *Registry {
	return &Registry{
		self: self, inc: inc,
		bounds: bounds{
			records: maxRecords, tickets: maxTickets, accountTickets: maxAccountTickets,
			senders: maxSenders, attempts: maxAttempts, senderAttempts: maxSenderAttempts,
		},
		tickets:         make(map[uint64]*record),
		keys:            make(map[string]*record),
		byRequest:       make(map[ident.RequestID]*record),
		unusedByAccount: make(map[ident.Account]int),
		senders:         make(map[ident.EntryID]*sender),
	}
}

// Ended takes the end of a request that was allowed to run, or of a claim that
// was given up. NotRun must be proved: the ticket or key may be used again.
// Done and Unknown are for good. A second end of one request changes nothing.
func (rg *Registry) Ended(now ident.Time, req ident.RequestID, outcome event.Outcome, kept bool) {
	rg.advance(now)
	rec, ok := rg.byRequest[req]
	if !ok {
		return
	}
	delete(rg.byRequest, req)
	if outcome == event.NotRun || rec.state == claiming {
		rg.release(rec)
		return
	}
	rec.state = ended
	rec.outcome = outcome
	rec.endedAt = rg.now
	rec.answerKept = kept && outcome == event.Done
	if rec.answerKept {
		rg.setDue(rec, rg.now.Add(answerTTL))
		return
	}
	rg.setDue(rec, rg.now.Add(recordTTL))
}

// Expire drops what has outlived its retention and returns the requests whose
// kept answers are to be forgotten.
func (rg *Registry) Expire(now ident.Time) []ident.RequestID {
	rg.advance(now)
	for len(rg.queue) > 0 && rg.queue[0].due <= rg.now {
		rec := rg.queue[0]
		if rec.state == ended && rec.answerKept {
			rg.dropAnswer(rec)
			rg.setDue(rec, rec.endedAt.Add(recordTTL))
			continue
		}
		rg.drop(rec)
	}
	forget := rg.droppedAnswers
	rg.droppedAnswers = nil
	return forget
}

// Next returns when Expire has work, or Never.
func (rg *Registry) Next() ident.Time {
	if len(rg.droppedAnswers) > 0 {
		return rg.now
	}
	if len(rg.queue) == 0 {
		return Never
	}
	return rg.queue[0].due
}

// advance keeps time from going back: a record that is given a time in the
// past would be dropped before its retention.
func (rg *Registry) advance(now ident.Time) { rg.now = max(rg.now, now) }

func refuse(c codes.Code, outcome event.Outcome) Verdict {
	v := Verdict{Action: Refuse, Code: c.ID, Outcome: outcome}
	if c.Wait {
		v.RetryAfter = busyRetryAfter
	}
	return v
}

func ownedBy(entry ident.EntryID, inc ident.Incarnation) Verdict {
	// The outcome is unknown and not "not run": the owner may have run it.
	return Verdict{Action: Owner, Entry: entry, Incarnation: inc, Code: codes.ForeignTicket.ID, Outcome: event.Unknown}
}
