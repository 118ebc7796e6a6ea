package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/fence"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

const (
	// localLookupTimeout and remoteLookupTimeout bound the time for which keepers are asked, without
	// and with those of other regions, recordsTimeout that for which the records of builds are read.
	localLookupTimeout  = 250 * time.Millisecond
	remoteLookupTimeout = 600 * time.Millisecond
	recordsTimeout      = time.Second
	// confirmDelay is how long the store may take before peers are asked to read the records as well.
	confirmDelay = 300 * time.Millisecond
	// staleListAge is how long ago the platform's list must have been confirmed as current for a host to count as in
	// step. That settles nothing: a host can't know that it is out of step.
	staleListAge = 4 * time.Second
)

// lookup is a question that has not been settled: which build began a stream that this host does not remember.
type lookup struct {
	lookupKey
	scope lookupScope
	until ident.Time
	// asked are the hosts that were asked, unanswered those of them that have not answered.
	asked, unanswered value.Set[ident.EntryID]
	// read is the read of the records that has to succeed, zero if none was wanted.
	read fence.Read
	// Peers are asked to read the records at confirmAt; confirming is set once they were. confirmed is set once one has
	// answered, with the records that it has read.
	confirmAt             ident.Time
	confirming, confirmed bool
	records               []event.BuildRecord
	// requests wait for the answer here, askers at other hosts.
	requests []*request
	askers   []ident.EntryID
}

// lookupKey is the stream of a lookup. A stream without a name has a lookup of its own for each request, as two of them need not
// be one stream, and no keepers.
type lookupKey struct {
	stream  ident.Stream
	unnamed ident.RequestID
}

func (k lookupKey) compare(o lookupKey) int {
	return cmp.Or(cmp.Compare(k.stream, o.stream), cmp.Compare(k.unnamed, o.unnamed))
}

// lookupScope states who is asked: the keepers of this region, those of other regions, and the store for the records of
// builds.
type lookupScope struct{ keepers, regions, records bool }

// lookUp starts a lookup of a stream, or widens the one that there is.
func (rd *Reducer) lookUp(now ident.Time, key lookupKey, scope lookupScope) *lookup {
	q, ok := rd.lookups[key]
	if !ok {
		q = &lookup{lookupKey: key, until: now.Add(localLookupTimeout), asked: value.SetOf[ident.EntryID](), unanswered: value.SetOf[ident.EntryID]()}
		rd.lookups[key] = q
	}
	q.scope.keepers = q.scope.keepers || scope.keepers
	if scope.regions && !q.scope.regions {
		q.scope.regions = true
		q.until = max(q.until, now.Add(remoteLookupTimeout))
	}
	if scope.records && !q.scope.records {
		q.scope.records = true
		q.read, q.until, q.confirmAt = rd.fence.Wait(), max(q.until, now.Add(recordsTimeout)), now.Add(confirmDelay)
	}
	rd.askKeepers(now, q)
	return q
}

// askKeepers asks the keepers that have not been asked yet.
func (rd *Reducer) askKeepers(now ident.Time, q *lookup) {
	if q.stream == 0 {
		return
	}
	if q.scope.keepers {
		rd.askBegun(q, rd.keepers(now, q.stream, keeperCount), false)
	}
	if q.scope.regions {
		rd.askBegun(q, rd.relays(now, q.stream), true)
	}
}

func (rd *Reducer) askBegun(q *lookup, hosts []event.Host, relay bool) {
	hosts = slices.DeleteFunc(hosts, func(h event.Host) bool { return q.asked.Has(h.ID) })
	for _, h := range hosts {
		q.asked.Add(h.ID)
		q.unanswered.Add(h.ID)
	}
	if len(hosts) > 0 {
		rd.emit(event.AskBegun{To: hosts, Stream: q.stream, Relay: relay, Confirm: q.confirming})
	}
}

// askToConfirm asks hosts here and in other regions to read the records, for a host that does not get them itself.
func (rd *Reducer) askToConfirm(now ident.Time, q *lookup) {
	q.confirming, q.scope.regions = true, true
	clear(q.asked)
	clear(q.unanswered)
	rd.askKeepers(now, q)
}

// isConfirmed reports whether the records are known as they were after the lookup began. Without the platform's store there are none.
func (rd *Reducer) isConfirmed(q *lookup) bool {
	return !rd.bounds.SharedReads || q.confirmed || rd.fence.Passed(q.read)
}

// isHopeless reports whether the records can't be read: the store has not answered for a while, and there is nobody else to ask.
func (rd *Reducer) isHopeless(q *lookup) bool {
	return q.confirming && len(q.asked) == 0 && rd.fence.Failed(q.read) && rd.spread.PlatformFailing()
}

// isSettled reports whether no answer that may still come can change what a lookup has found. Shortly after its start a host may
// still discover keepers, or read what hosts had saved.
func (rd *Reducer) isSettled(now ident.Time, q *lookup) bool {
	if q.scope.records && !rd.isConfirmed(q) {
		return rd.isHopeless(q)
	}
	if len(q.unanswered) == 0 && (!q.scope.regions || rd.builds.IsRead() && now.Sub(rd.startedAt) >= discoveryWindow) {
		return true
	}
	return q.scope.records && !slices.ContainsFunc(q.requests, func(r *request) bool { return len(rd.possibleIn(now, r, q)) > 1 })
}

// possibleIn returns possibleBuilds with those of the records that peers have read, sorted.
func (rd *Reducer) possibleIn(now ident.Time, r *request, q *lookup) []ident.Build {
	found := rd.possibleBuilds(now, r)
	for _, rec := range q.records {
		if rec.Service == r.profile.Service {
			found = append(found, rec.Builds...)
		}
	}
	return uniqueBuilds(found)
}

// covers reports whether the records have all builds of a service that may have begun streams which are still running.
func (rd *Reducer) covers(service string, q *lookup) bool {
	return !rd.bounds.SharedReads || rd.builds.Covers(service) || slices.ContainsFunc(q.records, func(r event.BuildRecord) bool {
		return r.Service == service && len(r.Builds) > 0
	})
}

func (rd *Reducer) begunAsked(now ident.Time, e event.BegunAsked) {
	if _, known := rd.begun.Find(now, e.Stream); !known && e.Stream != 0 && (e.Relay || e.Confirm) {
		q := rd.lookUp(now, lookupKey{stream: e.Stream}, lookupScope{keepers: e.Relay, records: e.Confirm})
		q.askers = append(q.askers, e.From)
		rd.settleLookup(now, q)
		return
	}
	rd.answerBegun(now, e.From, e.Stream, false)
}

func (rd *Reducer) answerBegun(now ident.Time, to ident.EntryID, stream ident.Stream, confirmed bool) {
	ans := event.AnswerBegun{To: to, Stream: stream, Seen: rd.begun.Seen(now, rd.buildRetention(now)), Confirmed: confirmed}
	if s, known := rd.begun.Find(now, stream); known {
		ans.Begun = []event.BegunStream{s}
	}
	if confirmed {
		ans.Records = rd.builds.Records()
	}
	rd.emit(ans)
}

func (rd *Reducer) begunAnswered(now ident.Time, e event.BegunAnswered) {
	for _, sb := range e.Seen {
		rd.begun.BuildSeen(now.Add(-sb.Age), sb.ServiceBuild)
	}
	rd.begun.Merge(now, e.Begun)
	q, ok := rd.lookups[lookupKey{stream: e.Stream}]
	if !ok || !q.asked.Has(e.From) {
		return
	}
	delete(q.unanswered, e.From)
	if e.Confirmed && q.confirming {
		q.confirmed, q.records = true, append(q.records, e.Records...)
	}
	rd.settleLookup(now, q)
}

// buildsRead takes over a read of the records and settles the lookups that have waited for it.
func (rd *Reducer) buildsRead(now ident.Time, e event.BuildsRead) {
	rd.fence.Ended(now, e.Read, e.Succeeded)
	if e.Succeeded {
		rd.noteRecorded(now, rd.builds.Confirm(now, e.Records))
		clear(rd.recorded)
	}
	for _, q := range rd.sortedLookups() {
		if q.scope.records && rd.fence.Failed(q.read) {
			rd.fence.Wait()
			q.confirmAt = min(q.confirmAt, now)
		}
		rd.settleLookup(now, q)
	}
}

// settleLookups settles the lookups that can be.
func (rd *Reducer) settleLookups(now ident.Time) {
	for _, q := range rd.sortedLookups() {
		rd.settleLookup(now, q)
	}
}

// settleLookup ends a lookup if it is settled. It asks more hosts if the records have turned out to have several builds.
func (rd *Reducer) settleLookup(now ident.Time, q *lookup) {
	_, known := rd.begun.Find(now, q.stream)
	if !known && len(q.requests) > 0 && !q.scope.regions && rd.isConfirmed(q) && len(rd.possibleIn(now, q.requests[0], q)) > 1 {
		rd.lookUp(now, q.lookupKey, lookupScope{regions: true})
	}
	if known || rd.isSettled(now, q) {
		rd.endLookup(now, q)
	}
}

// keeperDown counts a host to which there is no link any more as one that does not know any stream.
func (rd *Reducer) keeperDown(now ident.Time, id ident.EntryID) {
	for _, q := range rd.sortedLookups() {
		if q.unanswered.Has(id) {
			delete(q.unanswered, id)
			rd.settleLookup(now, q)
		}
	}
}

// sortedLookups returns the lookups in order of their streams.
func (rd *Reducer) sortedLookups() []*lookup {
	return slices.SortedFunc(maps.Values(rd.lookups), func(a, b *lookup) int { return a.compare(b.lookupKey) })
}

// endLookup settles the requests that wait for an answer, and answers other hosts.
func (rd *Reducer) endLookup(now ident.Time, q *lookup) {
	delete(rd.lookups, q.lookupKey)
	s, known := rd.begun.Find(now, q.stream)
	for _, to := range q.askers {
		rd.answerBegun(now, to, q.stream, q.scope.records && rd.fence.Passed(q.read))
	}
	for _, r := range q.requests {
		if rd.requests[r.ID] != r {
			continue
		}
		bound := false
		if known {
			bound = rd.bindToStream(now, r, s)
		} else {
			bound = rd.bindToRecords(now, r, q)
		}
		if bound {
			rd.checkOnce(now, r)
		}
	}
}

// continueLookups ends the lookups whose time is over, and asks hosts that are to confirm the records or were discovered since.
func (rd *Reducer) continueLookups(now ident.Time) {
	for _, q := range rd.sortedLookups() {
		switch {
		case now >= q.until:
			rd.endLookup(now, q)
		case rd.confirmsLate(q) && now >= q.confirmAt:
			rd.askToConfirm(now, q)
			rd.settleLookup(now, q)
		case now.Sub(rd.startedAt) < discoveryWindow:
			rd.askKeepers(now, q)
		}
	}
}

// confirmsLate reports whether peers are to be asked for the records that this host has not read.
func (rd *Reducer) confirmsLate(q *lookup) bool {
	return q.scope.records && len(q.requests) > 0 && !q.confirming && !rd.isConfirmed(q)
}

// readBuilds reads the records of builds if a lookup waits for that.
func (rd *Reducer) readBuilds(now ident.Time) {
	if n, ok := rd.fence.Due(now, rd.table.HostCount()); ok {
		rd.emit(event.ReadBuilds{Read: n})
	}
}

// nextBegunTick returns when announceBegun, continueLookups or readBuilds is next due, zero for never.
func (rd *Reducer) nextBegunTick() ident.Time {
	at := rd.fence.Next()
	earliest := func(t ident.Time) {
		if at == 0 || t < at {
			at = t
		}
	}
	if rd.begun.HasAnnounced() {
		earliest(max(rd.nextBegun, 1))
	}
	for _, q := range rd.lookups {
		earliest(q.until)
		if rd.confirmsLate(q) {
			earliest(q.confirmAt)
		}
	}
	return at
}

// isOutOfStep reports whether this host has reason to take its list for old.
func (rd *Reducer) isOutOfStep(now ident.Time) bool {
	return rd.bounds.SharedReads && (rd.spread.PlatformFailing() || now.Sub(rd.table.ListConfirmedAt()) > staleListAge)
}
