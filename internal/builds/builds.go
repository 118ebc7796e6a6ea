// Package builds decides what the platform's store records about the builds of each service, and what a host
// may conclude from the record.
//
// A stream goes on only at the build that began it. A host that has just started and finds one build alone
// can't know whether that one began the streams that callers take up: the targets of another build may have
// ended while all hosts that knew of them were down. The store outlives both. Its record of a service has the
// builds that are listed, and those that were until recently.
//
// # Usage
//
//	book := builds.New(self)
//	// With each read of the platform's list:
//	newlyRecorded := book.Read(now, ev.Targets, ev.Builds)
//	ev.Targets, retryAt = book.Admit(now, ev.Targets)
//	// Now and then, at the hosts that read the list continuously:
//	for _, w := range book.Due(now, retention) {
//		emit(w)
//	}
//	// Before a stream of an unknown build is bound to the only build there is, with a read from after it was taken up:
//	book.Confirm(now, records)
//	if !book.Covers(service) || len(book.Recorded(service)) > 1 {
//		// there may have been another one
//	}
//
// # Bounds
//
// A new build is recorded before its targets get requests, unless the store takes longer than maxHold or no
// other build can serve. Streams that may be taken up wait for the record as long as another build can serve. A build stays on record
// for a retention after it was last listed. When it comes back, its record is written again, so that writes that would take it off
// and were decided on before fail. The
// record holds no times: each host counts the retention from when it last saw the build, on its own clock, so that a restart
// of all hosts prolongs it.
package builds

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/rank"
	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// maxHold bounds how long targets of a new build get no requests because it is not recorded.
	maxHold = time.Second
	// writeInterval is the time between two writes of the record of a service.
	writeInterval = 500 * time.Millisecond
	// maxStagger spreads the writes of hosts that would all write the same.
	maxStagger = 2 * time.Second
	// maxReadGap is the time between two reads from which the list may have had a build in between.
	maxReadGap = 5 * time.Second
)

// Book holds what one host knows of the records. It belongs to the reducer.
type Book struct {
	stagger time.Duration
	// read is set once the records have been read, readAt is when the list was last known to be current.
	read    bool
	readAt  ident.Time
	records map[string]event.BuildRecord
	// listedSince has the builds of the platform's list.
	listedSince map[event.ServiceBuild]ident.Time
	// goneSince has the recorded builds that the list lacks.
	goneSince map[event.ServiceBuild]ident.Time
	// unrecorded has the builds that left the list before they were recorded, and since when.
	unrecorded map[event.ServiceBuild]ident.Time
	writtenAt  map[string]ident.Time
	// returned has the builds that are listed again after they were gone, with the revision of the record at that time.
	returned map[event.ServiceBuild]uint64
}

// New returns the book of a host that has read nothing.
func New(self ident.EntryID) *Book {
	return &Book{
		stagger: time.Duration(rank.Unit(rank.Hash("builds", string(self))) * float64(maxStagger)),
		records: make(map[string]event.BuildRecord), listedSince: make(map[event.ServiceBuild]ident.Time),
		goneSince: make(map[event.ServiceBuild]ident.Time), writtenAt: make(map[string]ident.Time),
		returned: make(map[event.ServiceBuild]uint64), unrecorded: make(map[event.ServiceBuild]ident.Time),
	}
}

// Read takes over a read of the platform's list and of the records. It returns the builds that were not recorded
// before.
func (b *Book) Read(now ident.Time, targets []event.Target, records []event.BuildRecord) []event.ServiceBuild {
	listed := make(map[event.ServiceBuild]ident.Time)
	for _, t := range targets {
		sb := event.ServiceBuild{Service: t.Service, Build: t.Build}
		if since, ok := b.listedSince[sb]; ok {
			listed[sb] = since
		} else {
			listed[sb] = now
		}
	}
	b.noteUnrecorded(now, listed)
	b.listedSince = listed
	old, wasGone := b.records, b.goneSince
	b.records = make(map[string]event.BuildRecord, len(records))
	for _, r := range records {
		if known, ok := old[r.Service]; ok && known.Revision > r.Revision {
			// Confirm has shown a newer one.
			r = known
		}
		b.records[r.Service] = r
	}
	b.read = true
	b.Confirmed(now)
	b.updateGone(now)
	b.updateReturned(old, wasGone)
	return newlyRecorded(old, b.records)
}

// noteUnrecorded notes the builds that have left the list before they were recorded. Their targets may have served.
func (b *Book) noteUnrecorded(now ident.Time, listed map[event.ServiceBuild]ident.Time) {
	for sb := range b.listedSince {
		if _, ok := listed[sb]; !ok && !slices.Contains(b.records[sb.Service].Builds, sb.Build) {
			b.unrecorded[sb] = now
		}
	}
}

// updateReturned notes the builds that are listed again. One whose record has changed since it was gone can't be taken off by a
// write that was decided on before.
func (b *Book) updateReturned(old map[string]event.BuildRecord, wasGone map[event.ServiceBuild]ident.Time) {
	for sb := range b.listedSince {
		if _, ok := wasGone[sb]; ok && b.records[sb.Service].Revision == old[sb.Service].Revision {
			b.returned[sb] = old[sb.Service].Revision
		}
	}
	maps.DeleteFunc(b.returned, func(sb event.ServiceBuild, revision uint64) bool {
		_, listed := b.listedSince[sb]
		return !listed || b.records[sb.Service].Revision > revision
	})
}

// mayBeTakenOff reports whether a write that was decided on while a build was gone may still take it off the record.
func (b *Book) mayBeTakenOff(sb event.ServiceBuild) bool {
	revision, ok := b.returned[sb]
	return ok && b.records[sb.Service].Revision <= revision
}

// hasReturned reports whether the record of a service is to be written because a build has come back.
func (b *Book) hasReturned(service string) bool {
	for sb := range b.returned {
		if sb.Service == service && b.mayBeTakenOff(sb) {
			return true
		}
	}
	return false
}

// Confirmed records that a read has succeeded and that what Read was given last has all changes.
func (b *Book) Confirmed(now ident.Time) {
	if now.Sub(b.readAt) > maxReadGap {
		b.Hold(now)
	}
	b.readAt = now
}

// Hold counts the retention from now on, because builds that the list lacks may still begin streams.
func (b *Book) Hold(now ident.Time) {
	for sb := range b.goneSince {
		b.goneSince[sb] = now
	}
}

// Confirm takes over a read of the records alone, which may be newer than what Read was given last. It returns the builds that
// were not recorded before.
func (b *Book) Confirm(now ident.Time, records []event.BuildRecord) []event.ServiceBuild {
	var added []event.ServiceBuild
	for _, r := range records {
		added = append(added, b.Written(now, r)...)
	}
	return added
}

// Written takes over a record that this host has written. It returns the builds that were not recorded before.
func (b *Book) Written(now ident.Time, r event.BuildRecord) []event.ServiceBuild {
	old, ok := b.records[r.Service]
	if ok && old.Revision >= r.Revision {
		return nil
	}
	b.records[r.Service] = r
	b.updateGone(now)
	return newlyRecorded(map[string]event.BuildRecord{r.Service: old}, map[string]event.BuildRecord{r.Service: r})
}

// newlyRecorded returns the builds that only the later records have, sorted.
func newlyRecorded(earlier, later map[string]event.BuildRecord) []event.ServiceBuild {
	var added []event.ServiceBuild
	for service, r := range later {
		for _, build := range r.Builds {
			if !slices.Contains(earlier[service].Builds, build) {
				added = append(added, event.ServiceBuild{Service: service, Build: build})
			}
		}
	}
	slices.SortFunc(added, compare)
	return added
}

func compare(x, y event.ServiceBuild) int {
	return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Build, y.Build))
}

// updateGone records since when the list lacks builds that are recorded.
func (b *Book) updateGone(now ident.Time) {
	gone := make(map[event.ServiceBuild]ident.Time)
	for service, r := range b.records {
		for _, build := range r.Builds {
			sb := event.ServiceBuild{Service: service, Build: build}
			if _, ok := b.listedSince[sb]; ok {
				continue
			}
			gone[sb] = now
			if since, ok := b.goneSince[sb]; ok {
				gone[sb] = since
			}
		}
	}
	b.goneSince = gone
}

// Covers reports whether there is a record of a service, which has all builds that may have begun streams which are still
// running. One without builds could not be decoded; one whose targets name none has the build without a name.
func (b *Book) Covers(service string) bool { return len(b.records[service].Builds) > 0 }

// HasSeveral reports whether the record of a service has several builds.
func (b *Book) HasSeveral() bool {
	for _, r := range b.records {
		if len(r.Builds) > 1 {
			return true
		}
	}
	return false
}

// IsRead reports whether the records have been read.
func (b *Book) IsRead() bool { return b.read }

// Recorded returns the builds on record of a service.
func (b *Book) Recorded(service string) []ident.Build { return b.records[service].Builds }

// Records returns all records, in order of their services.
func (b *Book) Records() []event.BuildRecord {
	var records []event.BuildRecord
	for _, service := range slices.Sorted(maps.Keys(b.records)) {
		records = append(records, b.records[service])
	}
	return records
}

// Admit returns the targets that may get requests, and when to ask again if some were left out. Targets of a build that is
// not recorded wait until it is, while targets of a recorded build can serve.
func (b *Book) Admit(now ident.Time, targets []event.Target) (admitted []event.Target, again ident.Time) {
	held := func(t event.Target) bool {
		sb := event.ServiceBuild{Service: t.Service, Build: t.Build}
		since, listed := b.listedSince[sb]
		_, recorded := b.records[t.Service]
		return recorded && listed && t.Build != "" && !b.isRecorded(t) && now.Sub(since) < maxHold && slices.ContainsFunc(targets, func(o event.Target) bool {
			return o.Service == t.Service && !o.Draining && !o.Evacuated && b.isRecorded(o)
		})
	}
	for _, t := range targets {
		if !held(t) {
			admitted = append(admitted, t)
			continue
		}
		at := b.listedSince[event.ServiceBuild{Service: t.Service, Build: t.Build}].Add(maxHold)
		if again == 0 || at < again {
			again = at
		}
	}
	return admitted, again
}

// Has reports whether a build is on record and stays there.
func (b *Book) Has(sb event.ServiceBuild) bool {
	return slices.Contains(b.records[sb.Service].Builds, sb.Build) && !b.mayBeTakenOff(sb)
}

func (b *Book) isRecorded(t event.Target) bool {
	return b.Has(event.ServiceBuild{Service: t.Service, Build: t.Build})
}

// Due returns the records to write. A build leaves its record a retention after it was last listed, and only while the list
// is read: it may have come back since the last read.
func (b *Book) Due(now ident.Time, retention time.Duration) []event.RecordBuilds {
	if !b.read {
		return nil
	}
	var due []event.RecordBuilds
	for _, service := range b.services() {
		want := b.wanted(now, service, retention)
		old, recorded := b.records[service]
		if len(want) == 0 || recorded && slices.Equal(want, old.Builds) && !b.hasReturned(service) {
			continue
		}
		if at, ok := b.writtenAt[service]; ok && now < at.Add(writeInterval) {
			continue
		}
		if !recorded && now < b.firstListed(service).Add(b.stagger) {
			continue
		}
		b.writtenAt[service] = now
		due = append(due, event.RecordBuilds{Record: event.BuildRecord{Service: service, Builds: want, Revision: old.Revision}})
	}
	return due
}

// services returns the services that are listed or recorded, sorted.
func (b *Book) services() []string {
	set := make(map[string]bool)
	for sb := range b.listedSince {
		set[sb.Service] = true
	}
	for sb := range b.unrecorded {
		set[sb.Service] = true
	}
	for service := range b.records {
		set[service] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// wanted returns the builds that the record of a service should have, sorted.
func (b *Book) wanted(now ident.Time, service string, retention time.Duration) []ident.Build {
	var want []ident.Build
	for sb := range b.listedSince {
		if sb.Service == service {
			want = append(want, sb.Build)
		}
	}
	for sb, since := range b.goneSince {
		if sb.Service == service && (now < since.Add(retention+b.stagger) || now.Sub(b.readAt) > maxReadGap) {
			want = append(want, sb.Build)
		}
	}
	maps.DeleteFunc(b.unrecorded, func(_ event.ServiceBuild, since ident.Time) bool { return now >= since.Add(retention) })
	for sb := range b.unrecorded {
		if sb.Service == service {
			want = append(want, sb.Build)
		}
	}
	return named(want)
}

// named sorts builds and removes duplicates, and the build without a name if there are others: it is on record only to show that the
// targets of a service name none.
func named(builds []ident.Build) []ident.Build {
	slices.Sort(builds)
	builds = slices.Compact(builds)
	if len(builds) > 1 && builds[0] == "" {
		return builds[1:]
	}
	return builds
}

func (b *Book) firstListed(service string) ident.Time {
	first := ident.Time(0)
	for sb, since := range b.listedSince {
		if sb.Service == service && (first == 0 || since < first) {
			first = since
		}
	}
	return first
}
