// Package once executes non-idempotent requests at most once, and reports a
// request as not run only when that is proved.
//
// # Usage
//
// A caller requests a ticket and sends it with its request, or sends its own
// idempotency key:
//
//	ticket, ttl, code := rg.IssueTicket(now, account, profile, secret)
//	v := rg.Redeem(now, ticket, account, profile, req, fingerprint)
//	v := rg.UseKey(now, key, fingerprint, req)
//
// The Verdict says how to proceed. Claim means to claim the key in the platform's
// store first and to pass its answer to ClaimAnswered, which returns the next
// verdict. Each Run must be followed by exactly one Ended, also when the caller has
// disconnected. A Claim that is abandoned must be followed by an Ended with NotRun.
//
// A request that another entry host has forwarded is identified by its attempt:
//
//	v := rg.AdmitAttempt(now, envelope)
//	rg.AttemptEnded(now, attempt, event.Ended) // or event.Refused
//	answer := rg.Bar(now, attempt, to)
//
// # Guarantees
//
// A ticket runs at most once, because only the incarnation that issued it may
// run it, and that incarnation remembers. A restart loses this memory, so the
// answer is then "unknown": if a restarted host answered "not run", the caller
// would send the request again and it could take effect twice.
//
// A key runs at most once, because one record in the platform's store names the
// only incarnation that may run it, and that incarnation remembers.
//
// A peer's attempt runs at most once, because its number is either remembered or
// not above a floor at or below which no new attempt is accepted.
//
// # Bounds
//
// The record of a ticket or key is kept for recordTTL after its end, and its answer
// for answerTTL. There are at most maxRecords records of about 480 bytes, 31 MB in
// all. An unused ticket expires after ticketTTL, and an account has at most
// maxAccountTickets of them. When memory is full, the record that is due next is
// dropped early. Running requests are never dropped: when they fill the memory, new
// ones are refused. Attempts of peers take at most maxAttempts entries of 27 bytes
// over maxSenders senders, 7 MB in all.
//
// Dropping a record never turns "ran" into "not run". For tickets, a floor holds
// the highest dropped number that may have run; for keys, a flag records that such
// a key was dropped; for attempts, each sender has its own floor. At or below the
// floor the answer is "unknown".
package once

import (
	"math"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Never is returned by Next when nothing is due.
const Never ident.Time = math.MaxInt64

// Retention and bounds of tickets and keys.
const (
	// ticketTTL is how long an unused ticket may be redeemed.
	ticketTTL = 15 * time.Minute
	// answerTTL is how long an answer is kept for repeated requests.
	answerTTL = 10 * time.Minute
	// recordTTL is how long the record of a ticket or key is kept after its end.
	recordTTL = time.Hour

	maxRecords        = 1 << 16
	maxTickets        = 1 << 15
	maxAccountTickets = 1 << 12

	// busyRetryAfter is the RetryAfter of refusals that may have changed by then.
	busyRetryAfter = time.Second
)

// bounds are the size limits of a registry.
type bounds struct {
	records, tickets, accountTickets  int
	senders, attempts, senderAttempts int
}

// Action is how to proceed with a request.
type Action string

// The possible actions.
const (
	// Run allows the request to be sent.
	Run Action = "run"
	// Claim requires a claim of the key with Record in the platform's store first.
	Claim Action = "claim"
	// Replay answers with the stored answer of the request ReplayOf.
	Replay Action = "replay"
	// Owner leaves the request to the host Entry, the only one that can know its
	// outcome.
	Owner Action = "owner"
	// Refuse gives the final answer.
	Refuse Action = "refuse"
)

// Verdict is the decision on one request.
type Verdict struct {
	Action Action
	// Record is the record with which to claim the key.
	Record event.KeyRecord
	// ReplayOf is the request whose answer is stored.
	ReplayOf ident.RequestID
	// Entry and Incarnation name the owner of the ticket or key.
	Entry       ident.EntryID
	Incarnation ident.Incarnation
	// Code, Outcome and RetryAfter are the final answer of Refuse, and of Owner if the
	// request isn't forwarded.
	Code       codes.ID
	Outcome    event.Outcome
	RetryAfter time.Duration
}

// Registry holds the tickets, keys and peer attempts known to one incarnation of an
// entry host.
type Registry struct {
	self   ident.EntryID
	inc    ident.Incarnation
	now    ident.Time
	bounds bounds

	// issued is the number of the last ticket issued.
	issued uint64
	// ticketFloor is the highest number of a dropped ticket that may have run.
	ticketFloor uint64
	// usedKeyDropped records that a key that may have run was dropped.
	usedKeyDropped bool

	tickets map[uint64]*record
	keys    map[string]*record
	// byRequest finds a record by the request that claims or runs it.
	byRequest map[ident.RequestID]*record
	// unusedByAccount counts the redeemable tickets by account.
	unusedByAccount map[ident.Account]int
	unusedTotal     int
	queue           dueQueue
	seq             uint64
	// droppedAnswers lists the answers that were dropped early; the next Expire returns
	// them.
	droppedAnswers []ident.RequestID

	senders               map[ident.EntryID]*sender
	maxDroppedIncarnation ident.Incarnation
	attemptCount          int
}

// New returns an empty registry for one incarnation of an entry host.
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

// Ended records the end of a running request or of an abandoned claim; kept reports
// whether the answer is stored. NotRun must be proved, since it makes the ticket or key
// usable again. Done and Unknown are final. A second call for the same request has no
// effect.
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

// Expire drops what has exceeded its retention and returns the requests whose stored
// answers must be deleted.
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

// Next returns the time at which Expire must be called, or Never.
func (rg *Registry) Next() ident.Time {
	if len(rg.droppedAnswers) > 0 {
		return rg.now
	}
	if len(rg.queue) == 0 {
		return Never
	}
	return rg.queue[0].due
}

// advance moves the clock forward, never back: a record that is given a time in the
// past would be dropped before its retention ends.
func (rg *Registry) advance(now ident.Time) { rg.now = max(rg.now, now) }

func refuse(c codes.Code, outcome event.Outcome) Verdict {
	v := Verdict{Action: Refuse, Code: c.ID, Outcome: outcome}
	if c.RetryLater {
		v.RetryAfter = busyRetryAfter
	}
	return v
}

func ownedBy(entry ident.EntryID, inc ident.Incarnation) Verdict {
	// The outcome is "unknown" rather than "not run" because the owner may have run it.
	return Verdict{Action: Owner, Entry: entry, Incarnation: inc, Code: codes.ForeignTicket.ID, Outcome: event.Unknown}
}
