package begun

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// minSaveInterval is the shortest time between two batches of one host, saveIntervalPerHost the
	// time between two batches of all hosts together. All of them read each batch.
	minSaveInterval     = 400 * time.Millisecond
	saveIntervalPerHost = 50 * time.Millisecond
	// firstSavePerHost is the time between the first batches of two hosts that begin to save at once.
	firstSavePerHost = 10 * time.Millisecond
	// saveIntervalPerStream bounds the bytes that a host writes.
	saveIntervalPerStream = 4 * time.Millisecond
	// maxSaveDelay bounds the time between two batches after failures.
	maxSaveDelay = 8 * time.Second
	// maxBatch bounds the streams of a batch.
	maxBatch = 512
)

// Ledger decides when a host saves to the platform's store which builds began its streams, so that they go on
// after all hosts have restarted. A stream whose batch is not saved in time stays unknown. It belongs to the reducer.
type Ledger struct {
	// offset spreads the first batches of hosts that would all write at once.
	offset float64
	// waiting are the streams that are not saved, oldest first.
	waiting []unsaved
	// batch is the number of the last batch, pending what it has until it is answered.
	batch    uint64
	pending  []unsaved
	nextAt   ident.Time
	failures int
}

type unsaved struct {
	event.BegunStream
	until ident.Time
}

// NewLedger returns the ledger of a host that has saved nothing.
func NewLedger(self ident.EntryID) *Ledger {
	return &Ledger{offset: rank.Unit(rank.Hash("ledger", string(self)))}
}

// Add adds streams that are to be saved. Of too many, the oldest are dropped.
func (l *Ledger) Add(now ident.Time, streams []event.BegunStream, hosts int) {
	if len(streams) == 0 {
		return
	}
	if len(l.waiting) == 0 && l.nextAt < now {
		l.nextAt = now.Add(time.Duration(l.offset * float64(max(minSaveInterval, time.Duration(hosts)*firstSavePerHost))))
	}
	for _, s := range streams {
		l.waiting = append(l.waiting, unsaved{s, now.Add(s.TTL)})
	}
	l.trim()
}

func (l *Ledger) trim() {
	if n := len(l.waiting) - MaxRecords; n > 0 {
		l.waiting = l.waiting[n:]
	}
}

// saveInterval returns the time between two batches of one of several hosts.
func saveInterval(hosts int) time.Duration {
	return max(minSaveInterval, time.Duration(hosts)*saveIntervalPerHost)
}

// Due returns the batch to save now, if there is one. The next one waits until Saved.
func (l *Ledger) Due(now ident.Time, hosts int) (event.SaveBegun, bool) {
	if l.pending != nil || len(l.waiting) == 0 || now < l.nextAt {
		return event.SaveBegun{}, false
	}
	var streams []event.BegunStream
	taken := 0
	for _, s := range l.waiting {
		if len(streams) == maxBatch {
			break
		}
		taken++
		if s.TTL = s.until.Sub(now); s.TTL > 0 {
			streams = append(streams, s.BegunStream)
		}
	}
	pending := l.waiting[:taken:taken]
	l.waiting = l.waiting[taken:]
	if len(streams) == 0 {
		return event.SaveBegun{}, false
	}
	l.pending = pending
	l.batch++
	l.nextAt = now.Add(max(saveInterval(hosts), time.Duration(len(streams))*saveIntervalPerStream))
	return event.SaveBegun{Batch: l.batch, Streams: streams}, true
}

// Saved takes over whether a batch was saved. A batch that was not, or may not have been, is saved again
// in later ones.
func (l *Ledger) Saved(now ident.Time, e event.BegunSaved, hosts int) {
	if l.pending == nil || e.Batch != l.batch {
		return
	}
	if e.Saved {
		l.pending, l.failures = nil, 0
		return
	}
	l.waiting = append(l.pending, l.waiting...)
	l.pending = nil
	l.trim()
	l.failures++
	delay := min(saveInterval(hosts)<<min(l.failures, 5), max(saveInterval(hosts), maxSaveDelay))
	l.nextAt = max(l.nextAt, now.Add(delay))
}

// Next returns when a batch is due, zero for never.
func (l *Ledger) Next() ident.Time {
	if l.pending != nil || len(l.waiting) == 0 {
		return 0
	}
	return max(l.nextAt, 1)
}
