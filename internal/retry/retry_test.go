package retry

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/pkg/ident"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}

// naive keeps the time of every arrival and retry.
type naive struct{ arrivals, retries []ident.Time }

func countInWindow(ts []ident.Time, now ident.Time) int {
	n := 0
	for _, t := range ts {
		if int64(now)/int64(slotDuration)-int64(t)/int64(slotDuration) < slotCount {
			n++
		}
	}
	return n
}

func (n *naive) spend(now ident.Time, ratio float64, minRetries int) bool {
	ok := float64(countInWindow(n.retries, now)+1) <= ratio*float64(countInWindow(n.arrivals, now))+float64(minRetries)
	if ok {
		n.retries = append(n.retries, now)
	}
	return ok
}

// Guards against miscounted slots when requests and failures come in bursts and time
// jumps.
func TestBudgetAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Ratio: 0.25, MinRetries: 2}
		n := &naive{}
		now := ident.Time(0)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				by := rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 7 * time.Second, time.Minute})
				now = now.Add(by.Draw(t, "by"))
			},
			"arrive": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					b.RecordArrival(now)
					n.arrivals = append(n.arrivals, now)
				}
			},
			"spend": func(t *rapid.T) {
				if diff := cmp.Diff(n.spend(now, 0.25, 2), b.Spend(now)); diff != "" {
					t.Fatalf("(-naive +got):\n%s", diff)
				}
			},
		})
	})
}

// Guards against retries multiplying the load of a region that fails.
func TestNoRetryStorm(t *testing.T) {
	var b Budget
	arrivals, sends := 0, 0
	for ms := range 60_000 {
		now := ident.Time(ms) * ident.Time(time.Millisecond)
		b.RecordArrival(now)
		arrivals++
		sends++
		for attempts := 1; attempts < MaxAttempts && b.Spend(now); attempts++ {
			sends++
		}
	}
	windows := 60_000 * time.Millisecond / Window
	maxSends := float64(arrivals)*(1+defaultRatio) + float64(windows)*defaultMinRetries
	if float64(sends) > maxSends || sends <= arrivals {
		t.Errorf("%d sends for %d arrivals, want more than the arrivals and at most %v", sends, arrivals, maxSends)
	}
}

// Guards against requests that failed together being retried at the same moment.
func TestBackoffSpreads(t *testing.T) {
	seen := map[time.Duration]bool{}
	for _, id := range []ident.RequestID{"a", "b", "c", "d"} {
		last := time.Duration(0)
		for n := 1; n <= 5; n++ {
			got := Backoff(n, id)
			if got < last || got >= initialBackoff<<(n-1) || got < initialBackoff<<(n-1)/2 {
				t.Errorf("backoff %d of %s: %v after %v", n, id, got, last)
			}
			last = got
		}
		seen[last] = true
		if got := Backoff(100, id); got > maxBackoff {
			t.Errorf("backoff 100 exceeds the maximum: %v", got)
		}
	}
	if len(seen) != 4 {
		t.Errorf("%d distinct backoffs for 4 requests", len(seen))
	}
}
