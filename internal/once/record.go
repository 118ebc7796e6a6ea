package once

import (
	"container/heap"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// state is how far a ticket or key has come.
type state uint8

const (
	// available may be used: it is new, or its last run is proved not to have run.
	available state = iota
	// claiming waits for the platform's store.
	claiming
	running
	// ended is for good.
	ended
	// foreign belongs to another incarnation, by the record in the store.
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
	// claimID is the request that every claim of this record names, so that
	// a late write of an earlier claim is recognised as this record's own.
	claimID ident.RequestID
	// stored says that the store holds this record.
	stored bool
	// noEarlierRun says that no key that may have run had been dropped from memory
	// when this record was made, so that this key can't have run before.
	noEarlierRun bool
	owner        event.KeyRecord

	fingerprint string
	req         ident.RequestID
	outcome     event.Outcome
	endedAt     ident.Time
	answerKept  bool

	due       ident.Time
	seq       uint64
	heapIndex int
}

// dueQueue is a heap of all records, the one that is due next first.
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

// Push adds a record; it is called by package heap.
func (q *dueQueue) Push(x any) {
	rec := x.(*record)
	rec.heapIndex = len(*q)
	*q = append(*q, rec)
}

// Pop removes the last record; it is called by package heap.
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

// makeRoom makes makeRoom for one more record and reports whether there is any. A
// record that claims or runs is never dropped: its repeat would run again.
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

// drop forgets a record. One that may have run leaves its mark, since the
// answer to a repeat would else be "not run", and the caller would have it run
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

// start lets a request run.
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

// release makes a record usable again after a proof that it did not run.
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
func verdictForRepeat(rec *record, fprint string) Verdict {
	switch {
	case rec.state == claiming:
		// The key may turn out to be on record with any content.
		return refuse(codes.InProgress, event.Unknown)
	case fprint != rec.fingerprint:
		return refuse(codes.KeyReused, event.NotRun)
	case rec.state == foreign:
		return ownedBy(rec.owner.Entry, rec.owner.Incarnation)
	case rec.state != ended:
		// Unknown and not "not run": the first request may yet run.
		return refuse(codes.InProgress, event.Unknown)
	case rec.outcome != event.Done:
		return refuse(codes.OutcomeUnknown, event.Unknown)
	case rec.answerKept:
		return Verdict{Action: Replay, ReplayOf: rec.req, Outcome: event.Done}
	}
	return refuse(codes.NoOutcome, event.Done)
}
