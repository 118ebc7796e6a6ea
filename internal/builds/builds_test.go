package builds_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"verbenadale.example/verbenadale/internal/builds"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

const retention = 30 * time.Second

func at(d time.Duration) ident.Time { return ident.Time(time.Hour + d) }

func targetsOf(builds ...ident.Build) []event.Target {
	var ts []event.Target
	for i, build := range builds {
		ts = append(ts, event.Target{ID: ident.TargetID(fmt.Sprint("t", i)), Service: "writers", Build: build})
	}
	return ts
}

func recordOf(revision uint64, builds ...ident.Build) []event.BuildRecord {
	return []event.BuildRecord{{Service: "writers", Builds: builds, Revision: revision}}
}

// Guards against taking the builds that are listed for all that there have been.
func TestCovers(t *testing.T) {
	for name, c := range map[string]struct {
		read    bool
		targets []event.Target
		records []event.BuildRecord
		want    bool
	}{
		"nothing read":     {},
		"recorded":         {true, targetsOf("v1"), recordOf(3, "v1"), true},
		"not recorded":     {true, targetsOf("v1"), nil, false},
		"none listed":      {true, nil, recordOf(3, "v1"), true},
		"unnamed builds":   {true, targetsOf(""), nil, false},
		"recorded as such": {true, targetsOf(""), recordOf(3, ""), true},
		"none known":       {true, nil, nil, false},
		"not decoded":      {true, targetsOf("v1"), recordOf(3), false},
		"another service":  {true, targetsOf("v1"), []event.BuildRecord{{Service: "board", Builds: []ident.Build{"v1"}, Revision: 3}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := builds.New("h1")
			if c.read {
				b.Read(at(0), c.targets, c.records)
			}
			if got := b.Covers("writers"); got != c.want {
				t.Errorf("covers %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a first record that lacks a build whose targets have served and left before it was written.
func TestFirstRecordHasAllBuildsThatServed(t *testing.T) {
	b := builds.New("h1")
	b.Read(at(0), targetsOf("v1", "v2"), nil)
	b.Read(at(100*time.Millisecond), targetsOf("v2"), nil)
	var due []event.RecordBuilds
	for d := 200 * time.Millisecond; len(due) == 0 && d < 5*time.Second; d += 100 * time.Millisecond {
		due = b.Due(at(d), retention)
	}
	want := []event.RecordBuilds{{Record: event.BuildRecord{Service: "writers", Builds: []ident.Build{"v1", "v2"}}}}
	if diff := cmp.Diff(want, due); diff != "" {
		t.Errorf("first record (-want +got):\n%s", diff)
	}
}

// Guards against records that a later but older read replaces, and those of services that a read lacks.
func TestConfirmedRecordsAreKept(t *testing.T) {
	b := builds.New("h1")
	b.Read(at(0), targetsOf("v1"), recordOf(3, "v1"))
	added := b.Confirm(at(time.Second), recordOf(5, "v1", "v2"))
	if diff := cmp.Diff([]event.ServiceBuild{{Service: "writers", Build: "v2"}}, added); diff != "" {
		t.Errorf("newly recorded (-want +got):\n%s", diff)
	}
	b.Confirm(at(time.Second), nil)
	b.Read(at(2*time.Second), targetsOf("v1"), recordOf(3, "v1"))
	if diff := cmp.Diff(recordOf(5, "v1", "v2"), b.Records()); diff != "" {
		t.Errorf("records (-want +got):\n%s", diff)
	}
	b.Read(at(3*time.Second), targetsOf("v1"), recordOf(7, "v1"))
	if diff := cmp.Diff(recordOf(7, "v1"), b.Records()); diff != "" {
		t.Errorf("records after a newer read (-want +got):\n%s", diff)
	}
}

// Guards against dropping a build from the record while streams of it may run, by the clock of a host that has not seen
// it leave, and against keeping it for ever.
func TestBuildsLeaveTheRecordAfterTheRetention(t *testing.T) {
	b := builds.New("h1")
	added := b.Read(at(0), targetsOf("v2"), recordOf(3, "v1", "v2"))
	want := []event.ServiceBuild{{Service: "writers", Build: "v1"}, {Service: "writers", Build: "v2"}}
	if diff := cmp.Diff(want, added); diff != "" {
		t.Errorf("newly recorded at the first read (-want +got):\n%s", diff)
	}
	for d := time.Duration(0); d < retention; d += time.Second {
		b.Confirmed(at(d))
		if due := b.Due(at(d), retention); len(due) > 0 {
			t.Fatalf("after %v: %+v", d, due)
		}
	}
	// Whether the build was listed in a time without reads is not known.
	gap := retention + time.Minute
	b.Confirmed(at(gap))
	if due := b.Due(at(gap), retention); len(due) > 0 {
		t.Fatalf("just after a time without reads: %+v", due)
	}
	var due []event.RecordBuilds
	d := gap
	for ; len(due) == 0 && d < gap+2*retention; d += time.Second {
		b.Confirmed(at(d))
		due = b.Due(at(d), retention)
	}
	if diff := cmp.Diff([]event.RecordBuilds{{Record: recordOf(3, "v2")[0]}}, due); diff != "" {
		t.Errorf("due after %v (-want +got):\n%s", d, diff)
	}
	b.Written(at(d), recordOf(9, "v2")[0])
	if due := b.Due(at(d+time.Minute), retention); len(due) > 0 {
		t.Errorf("due after the write: %+v", due)
	}
}

// Guards against sending requests to a build before it is on record, and against holding back targets that are needed.
func TestAdmit(t *testing.T) {
	draining := func(ts []event.Target) []event.Target {
		ts[0].Draining = true
		return ts
	}
	for name, c := range map[string]struct {
		targets []event.Target
		records []event.BuildRecord
		after   time.Duration
		want    int
	}{
		"both recorded":                {targetsOf("v1", "v2"), recordOf(3, "v1", "v2"), 0, 2},
		"one is new":                   {targetsOf("v1", "v2"), recordOf(3, "v1"), 0, 1},
		"one is new, for long":         {targetsOf("v1", "v2"), recordOf(3, "v1"), 2 * time.Second, 2},
		"one is new, the other drains": {draining(targetsOf("v1", "v2")), recordOf(3, "v1"), 0, 2},
		"nothing recorded":             {targetsOf("v1", "v2"), nil, 0, 2},
		"all are new":                  {targetsOf("v2", "v2"), recordOf(3, "v1"), 0, 2},
		"unnamed":                      {targetsOf("v1", ""), recordOf(3, "v1"), 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := builds.New("h1")
			b.Read(at(0), c.targets, c.records)
			got, again := b.Admit(at(c.after), c.targets)
			if len(got) != c.want || (again > 0) != (c.want < len(c.targets)) {
				t.Errorf("%d of %d admitted, again at %d", len(got), len(c.targets), again)
			}
		})
	}
}

// fakeStore is the record of one service in a store, with the writes that were sent and not executed yet.
type fakeStore struct {
	rec     event.BuildRecord
	pending []event.BuildRecord
}

func (s *fakeStore) execute(w event.BuildRecord) bool {
	if w.Revision != s.rec.Revision {
		return false
	}
	w.Revision = s.rec.Revision + 1
	s.rec = w
	return true
}

// Guards against a host that stood still, or whose write is late, and takes a build off the record that has come back: streams that
// begin at it would count as those of the build that is left.
func TestBuildsThatComeBackStayOnRecord(t *testing.T) {
	store := &fakeStore{rec: event.BuildRecord{Service: "writers", Builds: []ident.Build{"v1", "v2"}, Revision: 3}}
	still, other := builds.New("h1"), builds.New("h2")
	for d := time.Duration(0); d < retention-5*time.Second; d += time.Second {
		for _, h := range []*builds.Book{still, other} {
			h.Read(at(d), targetsOf("v2"), []event.BuildRecord{store.rec})
		}
	}
	back := at(retention - 5*time.Second)
	read := func() {
		other.Read(back, targetsOf("v1", "v2"), []event.BuildRecord{store.rec})
		for _, w := range other.Due(back, retention) {
			store.execute(w.Record)
		}
		other.Read(back, targetsOf("v1", "v2"), []event.BuildRecord{store.rec})
	}
	v1 := event.ServiceBuild{Service: "writers", Build: "v1"}
	other.Read(back, targetsOf("v1", "v2"), []event.BuildRecord{store.rec})
	if other.Has(v1) {
		t.Error("streams may begin at a build that a write under way may take off the record")
	}
	read()
	if !other.Has(v1) {
		t.Error("streams may not begin at a build that is on record")
	}
	for _, w := range still.Due(back.Add(20*time.Second), retention) {
		if store.execute(w.Record) {
			t.Errorf("the write %v is executed", w.Record)
		}
	}
	writes := store.rec.Revision
	for range 10 {
		back = back.Add(time.Second)
		read()
	}
	if store.rec.Revision != writes {
		t.Errorf("%d more writes, want none", store.rec.Revision-writes)
	}
}

// Checks against random listings, restarts of all hosts, late and lost writes: a build that was listed within the retention is on record, and the
// list alone, the naive version, would miss some. A build leaves the record in the end.
func TestRecordHasAllRecentBuilds(t *testing.T) {
	missedByList := 0
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, seed))
		store := &fakeStore{}
		hosts := make([]*builds.Book, 3)
		for i := range hosts {
			hosts[i] = builds.New(ident.EntryID(fmt.Sprint("h", i)))
		}
		listed := []ident.Build{"v1"}
		lastListed := map[ident.Build]ident.Time{}
		now, readableAt := at(0), at(0)
		for range 4000 {
			now = now.Add(50 * time.Millisecond)
			if rnd.IntN(300) == 0 {
				listed = []ident.Build{"v1", "v2", "v3"}[rnd.IntN(2):][:1+rnd.IntN(2)]
			}
			if rnd.IntN(500) == 0 {
				for i := range hosts {
					hosts[i] = builds.New(ident.EntryID(fmt.Sprint("h", i)))
				}
				readableAt = now.Add(time.Duration(rnd.IntN(3000)) * time.Millisecond)
			}
			if now < readableAt {
				continue
			}
			var recs []event.BuildRecord
			if store.rec.Revision > 0 {
				recs = []event.BuildRecord{{Service: "writers", Builds: slices.Clone(store.rec.Builds), Revision: store.rec.Revision}}
			}
			for _, h := range hosts {
				h.Read(now, targetsOf(listed...), recs)
				admitted, _ := h.Admit(now, targetsOf(listed...))
				for _, target := range admitted {
					lastListed[target.Build] = now
				}
				for _, w := range h.Due(now, retention) {
					switch rnd.IntN(4) {
					case 0: // The write is lost.
					case 1:
						store.pending = append(store.pending, w.Record)
					default:
						store.execute(w.Record)
					}
				}
			}
			if len(store.pending) > 0 && rnd.IntN(10) == 0 {
				store.execute(store.pending[0])
				store.pending = store.pending[1:]
			}
			if store.rec.Revision == 0 {
				continue
			}
			for build, last := range lastListed {
				// A build that could not be recorded within the time for which it is held back is served all the same.
				if now.Sub(last) < retention && now.Sub(last) > 5*time.Second && !slices.Contains(store.rec.Builds, build) {
					t.Fatalf("seed %d: %s, served %v ago, is not on record: %v", seed, build, now.Sub(last), store.rec.Builds)
				}
				if now.Sub(last) < retention && !slices.Contains(listed, build) {
					missedByList++
				}
			}
		}
	}
	if missedByList == 0 {
		t.Error("the list alone misses no build: the test shows nothing")
	}
}

// Guards against a build that leaves its record while it serves: a host that was paused, or whose reads have failed, has not seen
// that the build came back, and counts the time since it was last listed at this host.
func TestBuildLeavesItsRecordOnlyAfterReads(t *testing.T) {
	b := builds.New("h1")
	b.Read(at(0), targetsOf("v1", "v2"), recordOf(3, "v1", "v2"))
	b.Read(at(time.Second), targetsOf("v2"), recordOf(3, "v1", "v2"))
	for s := 2; s <= 20; s++ {
		b.Confirmed(at(time.Duration(s) * time.Second))
	}
	for _, paused := range []time.Duration{10 * time.Second, 20 * time.Second, time.Minute} {
		if due := b.Due(at(20*time.Second+paused), retention); len(due) > 0 {
			t.Errorf("after %v without a read the record becomes %v", paused, due[0].Record.Builds)
		}
	}
	for s := 81; s <= 150; s++ {
		b.Confirmed(at(time.Duration(s) * time.Second))
	}
	due := b.Due(at(150*time.Second), retention)
	if len(due) != 1 || !slices.Equal(due[0].Record.Builds, []ident.Build{"v2"}) {
		t.Errorf("the build that is gone stays on record: %v", due)
	}
}
