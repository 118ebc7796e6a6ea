// Package begun remembers which build of a service began each stream.
//
// What targets of two builds write does not fit together: a stream may only go on at the build that
// brought its first event. A caller may take its stream up again at any host of any region, often
// because the first host has ended, so that what a host knows is also sent to a few keepers: hosts
// chosen by the stream alone, which any host can find.
//
// # Usage
//
//	book := begun.New()
//	book.BuildSeen(now, sb)
//	// When the first event of a stream has come from a target:
//	book.Begin(now, event.BegunStream{Stream: req.Origin, ServiceBuild: sb, TTL: ttl})
//	// What is to be sent to the keepers:
//	send(book.TakeAnnounced())
//
//	// Before a stream is continued, here or after a keeper was asked:
//	s, ok := book.Find(now, req.Origin)
//	if !ok && len(book.Builds(now, service, ttl)) > 1 {
//		// more than one build may have begun the stream: refuse it
//	}
//
// # Bounds
//
// A record is kept until the caller has stopped waiting. Records are announced only while a service has
// more than one build, a route has more than one service, or the host can't read the store; when that begins, so are those of the streams that are running. The
// number of records is bounded, the oldest are dropped first.
package begun

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

const (
	// MaxRecords bounds the streams that a host remembers.
	MaxRecords = 16384
	// maxTTL bounds how long another host may ask to remember a stream.
	maxTTL = time.Hour
	// maxBuilds bounds the builds that a host remembers, of all services.
	maxBuilds = 256
	// announceTTL is how long after the last sight of a second build streams are announced.
	announceTTL = time.Minute
)

// Book holds what one host knows of streams and builds. It belongs to the reducer.
type Book struct {
	records map[ident.Stream]*list.Element
	// order has the records in the order in which they were added.
	order *list.List
	// builds has the time at which each build was last seen.
	builds    map[event.ServiceBuild]ident.Time
	announced []event.BegunStream
	// announceAll is set while streams of services with one build are announced too.
	announceAll bool
}

// record is what is known of one stream.
type record struct {
	stream    ident.Stream
	build     event.ServiceBuild
	until     ident.Time
	ambiguous bool
	// own is set if this host has delivered an event of the stream, announced if the keepers
	// have been or will be informed.
	own, announced bool
}

// New returns an empty book.
func New() *Book {
	return &Book{records: make(map[ident.Stream]*list.Element), order: list.New(), builds: make(map[event.ServiceBuild]ident.Time)}
}

// BuildSeen records that targets of a build serve, or did at an earlier time.
func (b *Book) BuildSeen(at ident.Time, sb event.ServiceBuild) {
	last, known := b.builds[sb]
	if known && last >= at || !known && !b.makeRoom(at) {
		return
	}
	b.builds[sb] = at
	if known && at.Sub(last) < announceTTL || !b.HasSeveralBuilds(at, sb.Service) {
		return
	}
	// The streams that are running began at the only build there was.
	b.AnnounceService(at, sb.Service)
}

// AnnounceAll sets whether streams are announced whatever builds were seen. While a host can't read the store, what its peers
// remember is all that shows which build began a stream.
func (b *Book) AnnounceAll(now ident.Time, on bool) {
	if on && !b.announceAll {
		b.announceRunning(now, func(event.ServiceBuild) bool { return true })
	}
	b.announceAll = on
}

// AnnounceService announces the streams of a service that are running.
func (b *Book) AnnounceService(now ident.Time, service string) {
	b.announceRunning(now, func(s event.ServiceBuild) bool { return s.Service == service })
}

// Announce announces a stream that this host has begun, unless it was.
func (b *Book) Announce(now ident.Time, stream ident.Stream) {
	if el, ok := b.records[stream]; ok {
		if r := el.Value.(*record); r.own && !r.announced {
			b.announce(now, r)
		}
	}
}

// announceRunning announces the streams that are running and were not announced.
func (b *Book) announceRunning(at ident.Time, matches func(event.ServiceBuild) bool) {
	for el := b.order.Front(); el != nil; el = el.Next() {
		if r := el.Value.(*record); r.own && !r.announced && r.until > at && matches(r.build) {
			b.announce(at, r)
		}
	}
}

// makeRoom drops the build that was seen longest ago if there are maxBuilds. It reports whether there is room for one that
// was seen at a time.
func (b *Book) makeRoom(at ident.Time) bool {
	if len(b.builds) < maxBuilds {
		return true
	}
	var oldest event.ServiceBuild
	seenAt := at
	for sb, t := range b.builds {
		if t < seenAt || t == seenAt && oldest != (event.ServiceBuild{}) && compare(sb, oldest) < 0 {
			oldest, seenAt = sb, t
		}
	}
	if oldest == (event.ServiceBuild{}) {
		return false
	}
	delete(b.builds, oldest)
	return true
}

func compare(x, y event.ServiceBuild) int {
	return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Build, y.Build))
}

// Builds returns the builds of a service that were seen within a time, sorted.
func (b *Book) Builds(now ident.Time, service string, within time.Duration) []ident.Build {
	var found []ident.Build
	for sb, at := range b.builds {
		if sb.Service == service && now.Sub(at) <= within {
			found = append(found, sb.Build)
		}
	}
	slices.Sort(found)
	return found
}

// Seen returns the builds of all services that were seen within a time, at least announceTTL, sorted.
func (b *Book) Seen(now ident.Time, within time.Duration) []event.SeenBuild {
	var seen []event.SeenBuild
	for sb, at := range b.builds {
		if age := now.Sub(at); age <= max(within, announceTTL) {
			seen = append(seen, event.SeenBuild{ServiceBuild: sb, Age: max(age, 0)})
		}
	}
	slices.SortFunc(seen, func(x, y event.SeenBuild) int { return compare(x.ServiceBuild, y.ServiceBuild) })
	return seen
}

// HasSeveralBuilds reports whether several builds of a service were seen recently.
func (b *Book) HasSeveralBuilds(now ident.Time, service string) bool {
	n := 0
	for sb, at := range b.builds {
		if sb.Service == service && now.Sub(at) <= announceTTL {
			n++
		}
	}
	return n > 1
}

// Begin records the build from which this host has delivered an event of a stream.
func (b *Book) Begin(now ident.Time, s event.BegunStream) {
	r := b.add(now, s)
	if r == nil || r.own {
		return
	}
	r.own = true
	if b.announceAll || b.HasSeveralBuilds(now, s.Service) {
		b.announce(now, r)
	}
}

// Merge records what another host has announced or answered.
func (b *Book) Merge(now ident.Time, streams []event.BegunStream) {
	for _, s := range streams {
		if r := b.add(now, s); r != nil {
			r.ambiguous = r.ambiguous || s.Ambiguous
		}
		b.BuildSeen(now, s.ServiceBuild)
	}
}

// Find returns what is known of a stream.
func (b *Book) Find(now ident.Time, stream ident.Stream) (event.BegunStream, bool) {
	el, ok := b.records[stream]
	if !ok {
		return event.BegunStream{}, false
	}
	r := el.Value.(*record)
	return r.toEvent(now), r.until > now
}

// TakeAnnounced returns what is to be sent to the keepers, and forgets it.
func (b *Book) TakeAnnounced() []event.BegunStream {
	streams := b.announced
	b.announced = nil
	return streams
}

// HasAnnounced reports whether TakeAnnounced would return anything.
func (b *Book) HasAnnounced() bool { return len(b.announced) > 0 }

// Len returns the number of streams that are remembered.
func (b *Book) Len() int { return len(b.records) }

// add adds a record or returns the one that there is. It returns nil if a stream can't be remembered.
func (b *Book) add(now ident.Time, s event.BegunStream) *record {
	b.expire(now)
	if s.Stream == 0 || s.TTL <= 0 {
		return nil
	}
	until := now.Add(min(s.TTL, maxTTL))
	if el, ok := b.records[s.Stream]; ok && el.Value.(*record).until <= now {
		b.remove(el)
	}
	if el, ok := b.records[s.Stream]; ok {
		r := el.Value.(*record)
		// A caller may have given two streams one name.
		r.ambiguous = r.ambiguous || r.build != s.ServiceBuild
		r.until = max(r.until, until)
		return r
	}
	if len(b.records) >= MaxRecords {
		b.remove(b.order.Front())
	}
	r := &record{stream: s.Stream, build: s.ServiceBuild, until: until, ambiguous: s.Ambiguous}
	b.records[s.Stream] = b.order.PushBack(r)
	return r
}

func (b *Book) announce(now ident.Time, r *record) {
	r.announced = true
	b.announced = append(b.announced, r.toEvent(now))
}

func (r *record) toEvent(now ident.Time) event.BegunStream {
	return event.BegunStream{Stream: r.stream, ServiceBuild: r.build, TTL: r.until.Sub(now), Ambiguous: r.ambiguous}
}

func (b *Book) expire(now ident.Time) {
	for el := b.order.Front(); el != nil && el.Value.(*record).until <= now; el = b.order.Front() {
		b.remove(el)
	}
}

func (b *Book) remove(el *list.Element) {
	delete(b.records, el.Value.(*record).stream)
	b.order.Remove(el)
}
