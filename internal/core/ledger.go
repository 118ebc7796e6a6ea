package core

import (
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// saveBegun saves which builds have begun streams of this host, if that is due.
func (rd *Reducer) saveBegun(now ident.Time) {
	if e, ok := rd.ledger.Due(now, rd.table.HostCount()); ok {
		rd.emit(e)
	}
}

// noteUnsaved adds streams that saveBegun is to save. Only the platform's store has a place for them.
func (rd *Reducer) noteUnsaved(now ident.Time, streams []event.BegunStream) {
	if rd.bounds.SharedReads {
		rd.ledger.Add(now, streams, rd.table.HostCount())
	}
}

// begunRead merges what hosts had saved, and settles the requests that wait for it.
func (rd *Reducer) begunRead(now ident.Time, e event.BegunRead) {
	rd.begun.Merge(now, e.Streams)
	for _, q := range rd.sortedLookups() {
		if _, known := rd.begun.Find(now, q.stream); known {
			rd.endLookup(now, q)
		}
	}
}
