package begun

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
}

const start = ident.Time(time.Hour)

var (
	v1 = event.ServiceBuild{Service: "writers", Build: "v1"}
	v2 = event.ServiceBuild{Service: "writers", Build: "v2"}
)

func check(t *testing.T, what string, want, got any) {
	t.Helper()
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

func stream(n ident.Stream, sb event.ServiceBuild) event.BegunStream {
	return event.BegunStream{Stream: n, ServiceBuild: sb, TTL: 10 * time.Second}
}

// Guards against announcing the streams of a service with one build, and against missing those that began
// before the second one appeared.
func TestStreamsAreAnnouncedWhileThereAreSeveralBuilds(t *testing.T) {
	b := New()
	b.BuildSeen(start, v1)
	b.Begin(start, stream(1, v1))
	b.Begin(start, stream(2, event.ServiceBuild{Service: "other", Build: "v1"}))
	b.Merge(start, []event.BegunStream{stream(3, v1)})
	check(t, "announced with one build", []event.BegunStream(nil), b.TakeAnnounced())
	now := start.Add(time.Second)
	b.BuildSeen(now, v2)
	want := stream(1, v1)
	want.TTL = 9 * time.Second
	check(t, "announced with the second", []event.BegunStream{want}, b.TakeAnnounced())
	b.Begin(now, stream(4, v2))
	b.Begin(now, stream(1, v1))
	check(t, "begun since", []event.BegunStream{stream(4, v2)}, b.TakeAnnounced())
	now = now.Add(2 * announceTTL)
	b.BuildSeen(now, v2)
	b.Begin(now, stream(5, v2))
	check(t, "announced once one build is gone", []event.BegunStream(nil), b.TakeAnnounced())
	b.Begin(now, stream(6, v1))
	b.BuildSeen(now, v1)
	check(t, "announced once it is back", 2, len(b.TakeAnnounced()))
}

// Guards against streams of a service with one build that no other host knows although its route has several services, and against
// announcing those of other hosts, or any twice.
func TestStreamsOfRoutesWithSeveralServicesAreAnnounced(t *testing.T) {
	b := New()
	b.BuildSeen(start, v1)
	b.Begin(start, stream(1, v1))
	b.Begin(start, stream(2, v1))
	b.Begin(start, stream(3, event.ServiceBuild{Service: "other", Build: "v1"}))
	b.Merge(start, []event.BegunStream{stream(4, v1)})
	for range 2 {
		b.Announce(start, 1)
		b.Announce(start, 4)
		b.Announce(start, 5)
	}
	check(t, "announced", []event.BegunStream{stream(1, v1)}, b.TakeAnnounced())
	b.AnnounceService(start, v1.Service)
	check(t, "announced with the service", []event.BegunStream{stream(2, v1)}, b.TakeAnnounced())
}

// Guards against choosing one of two builds for a name that two streams share.
func TestNameOfTwoStreamsIsAmbiguous(t *testing.T) {
	b := New()
	b.Begin(start, stream(1, v1))
	b.Merge(start, []event.BegunStream{stream(1, v2)})
	s, ok := b.Find(start, 1)
	check(t, "known", true, ok)
	check(t, "ambiguous", true, s.Ambiguous)
	c := New()
	c.Merge(start, []event.BegunStream{s})
	s, _ = c.Find(start, 1)
	check(t, "ambiguous at another host", true, s.Ambiguous)
}

// Guards against keeping streams for ever, or forgetting those that run.
func TestRecordsExpire(t *testing.T) {
	b := New()
	b.Begin(start, stream(1, v1))
	b.Merge(start, []event.BegunStream{{Stream: 2, ServiceBuild: v1, TTL: 1 << 62}, {Stream: 3, ServiceBuild: v1}, {ServiceBuild: v1, TTL: time.Second}})
	_, ok := b.Find(start.Add(10*time.Second-1), 1)
	check(t, "known until its end", true, ok)
	_, ok = b.Find(start.Add(10*time.Second), 1)
	check(t, "known after its end", false, ok)
	_, ok = b.Find(start.Add(maxTTL), 2)
	check(t, "known after maxTTL", false, ok)
	for n := range ident.Stream(2 * MaxRecords) {
		b.Merge(start, []event.BegunStream{stream(n+10, v1)})
	}
	check(t, "records", MaxRecords, b.Len())
	_, ok = b.Find(start, 2*MaxRecords+9)
	check(t, "the newest is known", true, ok)
	for n := range 2 * maxBuilds {
		b.BuildSeen(start, event.ServiceBuild{Service: "flood", Build: ident.Build(rune(n))})
	}
	check(t, "builds", maxBuilds, len(b.Seen(start, time.Minute)))
}

// Guards against builds that are not noticed any more after many releases, and against leaving out builds whose streams may
// still be taken up.
func TestLatestBuildsAreKnown(t *testing.T) {
	b := New()
	now := start
	for n := range 3 * maxBuilds {
		now = now.Add(time.Minute)
		b.BuildSeen(now, event.ServiceBuild{Service: "writers", Build: ident.Build(fmt.Sprint("v", n))})
	}
	last, before := ident.Build(fmt.Sprint("v", 3*maxBuilds-1)), ident.Build(fmt.Sprint("v", 3*maxBuilds-2))
	check(t, "builds of two minutes", []ident.Build{before, last}, b.Builds(now, "writers", 90*time.Second))
	var seen []ident.Build
	for _, s := range b.Seen(now, 90*time.Second) {
		seen = append(seen, s.Build)
	}
	check(t, "seen in two minutes", []ident.Build{before, last}, seen)
	b.BuildSeen(start, v1)
	check(t, "one of long ago", 0, len(b.Builds(now, "writers", time.Hour))-61)
}

// Compares a book with plain maps under any sequence of calls.
func TestBookEqualsNaiveOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := New()
		type naive struct {
			sb        event.ServiceBuild
			until     ident.Time
			ambiguous bool
		}
		streams, builds := make(map[ident.Stream]naive), make(map[event.ServiceBuild]ident.Time)
		now := start
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			for n, s := range streams {
				if s.until <= now {
					delete(streams, n)
				}
			}
			sb := rapid.SampledFrom([]event.ServiceBuild{v1, v2}).Draw(rt, "build")
			switch s := stream(ident.Stream(rapid.IntRange(1, 4).Draw(rt, "stream")), sb); rapid.IntRange(0, 2).Draw(rt, "call") {
			case 0:
				b.BuildSeen(now, sb)
				builds[sb] = now
			default:
				old, ok := streams[s.Stream]
				if !ok {
					old = naive{sb: sb}
				}
				streams[s.Stream] = naive{old.sb, max(old.until, now.Add(s.TTL)), old.ambiguous || old.sb != sb}
				if rapid.Bool().Draw(rt, "own") {
					b.Begin(now, s)
				} else {
					b.Merge(now, []event.BegunStream{s})
					builds[sb] = now
				}
			}
			for n := range ident.Stream(5) {
				got, ok := b.Find(now, n)
				want, wantOK := streams[n]
				if ok != wantOK || ok && (got.ServiceBuild != want.sb || got.Ambiguous != want.ambiguous || got.TTL != want.until.Sub(now)) {
					rt.Fatalf("stream %d is %+v %v, want %+v %v", n, got, ok, want, wantOK)
				}
			}
			for _, within := range []time.Duration{0, time.Second, time.Minute} {
				var want []ident.Build
				for _, sb := range []event.ServiceBuild{v1, v2} {
					if at, ok := builds[sb]; ok && now.Sub(at) <= within {
						want = append(want, sb.Build)
					}
				}
				if diff := cmp.Diff(want, b.Builds(now, "writers", within), cmpopts.EquateEmpty()); diff != "" {
					rt.Fatalf("builds within %s (-want +got):\n%s", within, diff)
				}
			}
		}
	})
}
