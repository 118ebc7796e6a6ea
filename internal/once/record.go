package once

import (
	"container/heap"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// state is the progress of a ticket or key.
type state uint8

const (
	// available is the state of a new record, or of one whose last request provably did
	// not run.
	available state = iota
	// claiming waits for the answer of the platform's store.
	claiming
	running
	// ended is final.
	ended
	// foreign means that the record in the store names another incarnation as owner.
	foreign
)

// record is one ticket or one key.
type record struct {
	state state
	// ticket is the number of a ticket, zero for a key.
	ticket  uint64
	secret  string
	account ident.Account
	profile ident.Profile
	expires ident.Time

	key string
	// claimID is the request named by every claim of this record, so that a late write
	// of an earlier claim is recognised as its own.
	claimID ident.RequestID
	// stored reports whether the platform's store is known to hold this record.
	stored bool
	// noEarlierRun is set if no key that may have run had been dropped from memory when
	// this record was created, so that this key can't have run before.
	noEarlierRun bool
	owner        event.KeyRecord

	// print is the fingerprint, a digest of the request.
	print   string
	req     ident.RequestID
	outcome event.Outcome
	endedAt ident.Time
	// answerKept reports whether the answer of the request req is stored.
	answerKept bool

	due       ident.Time
	seq       uint64
	heapIndex int
}

// dueQueue is a heap of all records, ordered by due time.
type dueQueue []*record

func (q dueQueue) Len() int { return len(q) }

func (q dueQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].seq < q[j].seq
}

func (q dueQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *dueQueue) Push(x any) {
	rec := x.(*record)
	rec.heapIndex = len(*q)
	*q = append(*q, rec)
}

// Pop implements heap.Interface.
func (q *dueQueue) Pop() any {
	old := *q
	rec := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return rec
}

func (rg *Registry) add(rec *record, due ident.Time) {
	rg.seq++
	rec.seq = rg.seq
	rec.due = due
	heap.Push(&rg.queue, rec)
}

func (rg *Registry) setDue(rec *record, due ident.Time) {
	rec.due = due
	heap.Fix(&rg.queue, rec.heapIndex)
}

// makeRoom makes room for one more record and reports whether there is any. A record
// that is claiming or running is never dropped, since a repeat would run the request
// again.
func (rg *Registry) makeRoom() bool {
	if len(rg.queue) < rg.bounds.records {
		return true
	}
	first := rg.queue[0]
	if first.due == Never {
		return false
	}
	rg.drop(first)
	return true
}

// drop removes a record. If it may have run, ticketFloor or usedKeyDropped records
// this: otherwise a repeat would be answered with "not run", and the caller would run it
// a second time.
func (rg *Registry) drop(rec *record) {
	heap.Remove(&rg.queue, rec.heapIndex)
	rg.dropAnswer(rec)
	if rec.ticket == 0 {
		delete(rg.keys, rec.key)
		rg.usedKeyDropped = rg.usedKeyDropped || rec.state == ended
		return
	}
	delete(rg.tickets, rec.ticket)
	if rec.state == available {
		rg.countUnused(rec.account, -1)
		return
	}
	rg.ticketFloor = max(rg.ticketFloor, rec.ticket)
}

func (rg *Registry) dropAnswer(rec *record) {
	if rec.answerKept {
		rec.answerKept = false
		rg.droppedAnswers = append(rg.droppedAnswers, rec.req)
	}
}

// start marks a request as running.
func (rg *Registry) start(rec *record, req ident.RequestID) Verdict {
	if rec.ticket != 0 {
		rg.countUnused(rec.account, -1)
	}
	rec.state = running
	rec.req = req
	rg.byRequest[req] = rec
	rg.setDue(rec, Never)
	return Verdict{Action: Run}
}

// release makes a record usable again after proof that its request did not run.
func (rg *Registry) release(rec *record) {
	rec.state = available
	rec.req = ""
	if rec.ticket != 0 {
		rg.countUnused(rec.account, 1)
		rg.setDue(rec, rec.expires)
		return
	}
	rg.setDue(rec, rg.now.Add(recordTTL))
}

func (rg *Registry) countUnused(account ident.Account, n int) {
	rg.unusedTotal += n
	rg.unusedByAccount[account] += n
	if rg.unusedByAccount[account] == 0 {
		delete(rg.unusedByAccount, account)
	}
}

// verdictForRepeat answers a request whose ticket or key is in use or has been used.
func verdictForRepeat(rec *record, fingerprint string) Verdict {
	switch {
	case rec.state == claiming:
		// The store may hold the key with any content.
		return refuse(codes.InProgress, event.Unknown)
	case fingerprint != rec.print:
		return refuse(codes.KeyReused, event.NotRun)
	case rec.state == foreign:
		return ownedBy(rec.owner.Entry, rec.owner.Incarnation)
	case rec.state != ended:
		// "Unknown" rather than "not run": the first request may still run.
		return refuse(codes.InProgress, event.Unknown)
	case rec.outcome != event.Done:
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case rec.answerKept:
		return Verdict{Action: Replay, ReplayOf: rec.req, Outcome: event.Done}
	}
	return refuse(codes.NoOutcome, event.Done)
}
