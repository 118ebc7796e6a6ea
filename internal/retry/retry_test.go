package retry

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"verbenadale.example/verbenadale/internal/dev/budget"
	"verbenadale.example/verbenadale/pkg/ident"
)

func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
}

// naive keeps the time of every arrival, and of every retry the time at which it was settled, zero while it is open.
type naive struct{ arrivals, retries []ident.Time }

// allowed counts the arrivals of each span of whole slots that any Window contains, for all Windows that have
// ended within the last one.
func (n *naive) allowed(now ident.Time, ratio float64, minRetries int) float64 {
	current := int64(now) / int64(slotDuration)
	fewest := -1
	for first := current - 2*windowSlots; first+fullSlots <= current; first++ {
		count := 0
		for _, t := range n.arrivals {
			if slot := int64(t) / int64(slotDuration); slot >= first && slot < first+fullSlots {
				count++
			}
		}
		if fewest < 0 || count < fewest {
			fewest = count
		}
	}
	return ratio*float64(fewest) + float64(minRetries)
}

func (n *naive) used(now ident.Time) int {
	used := 0
	for _, t := range n.retries {
		if t == 0 || now.Sub(t) < Window {
			used++
		}
	}
	return used
}

// Guards against miscounted slots, and retries that are forgotten or never forgotten, when requests and failures come in
// bursts and time jumps.
func TestBudgetAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, minRetries = 0.25, 2
		b := &Budget{Ratio: ratio, MinRetries: minRetries}
		n := &naive{}
		now := ident.Time(time.Hour)
		grants := make(map[int]*Grant)
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
			"take": func(t *rapid.T) {
				want := float64(n.used(now)+1) <= n.allowed(now, ratio, minRetries)
				g := b.Take(now)
				if diff := cmp.Diff(want, g != nil); diff != "" {
					t.Fatalf("(-naive +got):\n%s", diff)
				}
				if g != nil {
					grants[len(n.retries)] = g
					n.retries = append(n.retries, 0)
				}
			},
			"end": func(t *rapid.T) {
				if len(grants) == 0 {
					t.Skip("no retry is open")
				}
				i := rapid.SampledFrom(slices.Sorted(maps.Keys(grants))).Draw(t, "retry")
				if rapid.Bool().Draw(t, "sent") {
					grants[i].Settle(now)
					n.retries[i] = now
				} else {
					grants[i].Return()
					n.retries[i] = now.Add(-Window)
				}
				grants[i].Settle(now)
				grants[i].Return()
				delete(grants, i)
			},
		})
	})
}

// heldRetry is a retry that leaves after it has waited.
type heldRetry struct {
	id     ident.RequestID
	budget *Budget
	grant  *Grant
	until  ident.Time
}

// confirm reports whether the retry may still be sent, and if so settles it.
func (h heldRetry) confirm(now ident.Time) bool {
	g := h.grant
	if g.Age(now) > MaxGrantAge {
		g.Return()
		if g = h.budget.Take(now); g == nil {
			return false
		}
	}
	g.Settle(now)
	return true
}

// Guards against several hosts that together retry more in a Window than their arrivals allow: with requests that move
// from host to host, and retries that wait before they arrive.
func TestBudgetsOfSeveralHostsAddUp(t *testing.T) {
	const (
		hosts, share = 4, 20
		ratio        = 0.3
	)
	rule := budget.Rule{Ratio: ratio, Floor: hosts * share, Window: Window}
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, seed))
		var budgets [hosts]Budget
		for i := range budgets {
			budgets[i] = Budget{Ratio: ratio, MinRetries: share}
		}
		var requests []time.Duration
		var arrivals []budget.Arrival
		var held []heldRetry
		from := ident.Time(time.Hour)
		now, n := from, 0
		burst, wait := 1+rnd.IntN(60), time.Duration(1+rnd.Int64N(int64(20*time.Second)))
		for range 400 {
			now = now.Add(time.Duration(rnd.Int64N(int64(300 * time.Millisecond))))
			if rnd.IntN(20) == 0 {
				now = now.Add(8*time.Second + time.Duration(rnd.Int64N(int64(2*time.Second))))
			}
			held = slices.DeleteFunc(held, func(h heldRetry) bool {
				if h.until > now {
					return false
				}
				if h.confirm(now) {
					arrivals = append(arrivals, budget.Arrival{At: now.Sub(from), Request: h.id})
				}
				return true
			})
			host := int(now/ident.Time(4*time.Second)) % hosts
			if seed%2 == 1 {
				host = rnd.IntN(hosts)
			}
			b := &budgets[host]
			for range rnd.IntN(burst) {
				n++
				id := ident.RequestID(fmt.Sprint("r", n))
				b.RecordArrival(now)
				requests = append(requests, now.Sub(from))
				arrivals = append(arrivals, budget.Arrival{At: now.Sub(from), Request: id})
				if g := b.Take(now); g != nil {
					until := now.Add(time.Duration(rnd.Int64N(int64(wait))))
					if seed%2 == 1 {
						// All retries that wait leave at once.
						until = now.Add(wait - time.Duration(now)%wait)
					}
					held = append(held, heldRetry{id: id, budget: b, grant: g, until: until})
				}
			}
		}
		if w := rule.Worst(requests, arrivals); w.Broken() {
			t.Errorf("seed %d: %v", seed, w)
		}
	}
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
		for attempts := 1; attempts < MaxAttempts; attempts++ {
			g := b.Take(now)
			if g == nil {
				break
			}
			g.Settle(now)
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
