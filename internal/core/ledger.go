package core

import (
	"slices"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// saveBegun saves which builds have begun streams of this host, if that is due.
func (rd *Reducer) saveBegun(now ident.Time) {
	if e, ok := rd.ledger.Due(now, rd.table.HostCount()); ok {
		rd.emit(e)
	}
}

// noteUnsaved adds streams that saveBegun is to save: those of services that have several builds, or are one of several of a route. Only the platform's store has
// a place for them.
func (rd *Reducer) noteUnsaved(now ident.Time, streams []event.BegunStream) {
	if !rd.bounds.SharedReads {
		return
	}
	rd.ledger.Add(now, slices.DeleteFunc(slices.Clone(streams), func(s event.BegunStream) bool {
		return !rd.begun.HasSeveralBuilds(now, s.Service) && !rd.isOfSeveral(s.Service)
	}), rd.table.HostCount())
}

// begunRead merges what hosts had saved, and settles the requests that wait for it.
func (rd *Reducer) begunRead(now ident.Time, e event.BegunRead) {
	rd.begun.Merge(now, e.Streams)
	rd.settleLookups(now)
}
