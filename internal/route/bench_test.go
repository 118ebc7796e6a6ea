package route

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// fleetSizes are the fleets with which decisions are measured. If full is set, every
// target is at its limit, so that the sample visits all of them.
var fleetSizes = []struct {
	targets, centres int
	full             bool
}{
	{1, 3, false},
	{40, 3, false},
	{400, 3, false},
	{1, 45, false},
	{40, 45, false},
	{400, 45, false},
	{400, 45, true},
}

// loadedFleet returns a table, a router with some cache state, and requests. Four
// requests at a time share a prefix that one target caches.
func loadedFleet(targets, centres int, full bool) (*member.Table, *Router, []Query) {
	tb, r := fleet(targets, centres), New()
	for i := range 7 {
		id := ident.EntryID(fmt.Sprint("dc0-p", i))
		tb.DigestReceived(start, event.Digest{Host: event.Host{ID: id, Incarnation: 1, Place: home}, Seq: 1})
	}
	if full {
		for _, t := range tb.Targets() {
			reportLoad(tb, start, t.ID, 2, 20)
		}
	}
	qs := make([]Query, 1024)
	for i := range qs {
		qs[i] = newQuery(fmt.Sprint("request-", i))
		qs[i].Request.Prefix = make([]uint64, 16)
		for j := range qs[i].Request.Prefix {
			qs[i].Request.Prefix[j] = uint64(i/4*100 + j)
		}
		if i%4 == 0 {
			r.PrefixSent(start, tb.Targets()[i%targets].ID, qs[i].Request.Prefix)
		}
		qs[i].Profile.Models = []rules.Serve{{Model: "absent"}, {Model: "scribe"}}
	}
	return tb, r, qs
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("targets=%d/centres=%d/full=%v", size.targets, size.centres, size.full), func(b *testing.B) {
			tb, r, qs := loadedFleet(size.targets, size.centres, size.full)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.Choose(start, qs[i%len(qs)], tb)
			}
		})
	}
}

// Guards against decisions that take longer or allocate more as the fleet grows, which
// happens if they visit all targets or data centres.
func TestDecisionTimes(t *testing.T) {
	const n, warmUp, maxMedian = 20_000, 2_000, 500 * time.Microsecond
	for _, size := range fleetSizes {
		tb, r, qs := loadedFleet(size.targets, size.centres, size.full)
		times := make([]time.Duration, 0, n)
		var before, after runtime.MemStats
		for i := range warmUp + n {
			if i == warmUp {
				runtime.ReadMemStats(&before)
			}
			at := time.Now()
			r.Choose(start, qs[i%len(qs)], tb)
			if i >= warmUp {
				times = append(times, time.Since(at))
			}
		}
		runtime.ReadMemStats(&after)
		slices.Sort(times)
		allocs := float64(after.Mallocs-before.Mallocs) / n
		t.Logf("targets %3d, data centres %2d, full %-5v: p50 %6v p99 %6v p99.9 %6v, %.2f allocations",
			size.targets, size.centres, size.full, times[n/2], times[n*99/100], times[n*999/1000], allocs)
		if p := times[n/2]; p > maxMedian {
			t.Errorf("targets %d, data centres %d: median decision time is %v", size.targets, size.centres, p)
		}
		if allocs > 4 {
			t.Errorf("targets %d, data centres %d: %v allocations per decision", size.targets, size.centres, allocs)
		}
	}
}
