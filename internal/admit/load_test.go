package admit

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// The server model: slots that each serve one request at a time. The actual duration of a
// request is its prediction times a log-normal factor of mean 1, so that one in nine takes at
// least 1.5 times as long as predicted.
const (
	slots    = 20
	meanWork = time.Second
	runTime  = 5 * time.Minute
	sigma    = 0.4
)

type arrival struct {
	Item
	at   ident.Time
	real time.Duration
}

// policy is a queue under test.
type policy struct {
	push func(now ident.Time, it arrival)
	pop  func(now ident.Time) (arrival, bool)
}

// arrivals returns arrivals at a multiple of the rate that the slots can serve, the same
// on every run.
func arrivals(factor float64) []arrival {
	rnd := rand.New(rand.NewPCG(1, 2))
	rate := factor * slots / meanWork.Seconds()
	var as []arrival
	for at := 0.0; at < runTime.Seconds(); at += rnd.ExpFloat64() / rate {
		work := time.Duration(min(rnd.ExpFloat64(), 5) * float64(meanWork))
		now := ident.Time(at * float64(time.Second))
		as = append(as, arrival{
			at:   now,
			real: time.Duration(float64(work) * math.Exp(sigma*rnd.NormFloat64()-sigma*sigma/2)),
			Item: Item{
				ID: ident.RequestID(fmt.Sprint(len(as))), Account: ident.Account(fmt.Sprint(rnd.IntN(20))),
				HomeBound: rnd.IntN(9) == 0, Work: work,
				Deadline: now.Add(work + time.Duration((2+8*rnd.Float64())*float64(time.Second))),
			},
		})
	}
	return as
}

// endTimes is a heap of the times at which busy slots become free.
type endTimes []ident.Time

func (e endTimes) Len() int           { return len(e) }
func (e endTimes) Less(i, j int) bool { return e[i] < e[j] }
func (e endTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endTimes) Push(x any)        { *e = append(*e, x.(ident.Time)) }
func (e *endTimes) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// goodput is the work that was completed in time, as a fraction of the capacity of
// the slots, and the number of such requests per second.
type goodput struct{ work, requests float64 }

func (g goodput) max(o goodput) goodput {
	return goodput{work: max(g.work, o.work), requests: max(g.requests, o.requests)}
}

func (g goodput) String() string {
	return fmt.Sprintf("%.3f of capacity, %.2f/s", g.work, g.requests)
}

// serve runs arrivals through a policy.
func serve(as []arrival, p policy) goodput {
	busy := &endTimes{}
	var g goodput
	fill := func(now ident.Time) {
		for busy.Len() < slots {
			a, ok := p.pop(now)
			if !ok {
				return
			}
			end := now.Add(a.real)
			if end <= a.Deadline && end <= ident.Time(runTime) {
				g.work += a.real.Seconds() / (runTime.Seconds() * slots)
				g.requests += 1 / runTime.Seconds()
			}
			heap.Push(busy, end)
		}
	}
	for _, a := range as {
		for busy.Len() > 0 && (*busy)[0] <= a.at {
			now := heap.Pop(busy).(ident.Time)
			fill(now)
		}
		p.push(a.at, a)
		fill(a.at)
	}
	return g
}

// fifo is the naive queue: it accepts everything and serves it in order.
func fifo() policy {
	var q []arrival
	return policy{
		push: func(_ ident.Time, a arrival) { q = append(q, a) },
		pop: func(ident.Time) (arrival, bool) {
			if len(q) == 0 {
				return arrival{}, false
			}
			a := q[0]
			q = q[1:]
			return a, true
		},
	}
}

func admitted(cfg Config) policy {
	q := New(cfg)
	as := map[ident.RequestID]arrival{}
	return policy{
		push: func(now ident.Time, a arrival) {
			q.Shed(now, 0)
			if ok, _, _ := q.Push(now, a.Item, q.Work()/slots); ok {
				as[a.ID] = a
			}
		},
		pop: func(now ident.Time) (arrival, bool) {
			q.Shed(now, 0)
			it, ok := q.Pop(now)
			return as[it.ID], ok
		},
	}
}

// Guards against lost goodput under overload: a queue that accepts everything
// answers each request only after its caller has disconnected.
func TestOverloadKeepsGoodput(t *testing.T) {
	var best, got goodput
	for _, factor := range []float64{1, 2, 10} {
		as := arrivals(factor)
		naive := serve(as, fifo())
		got = serve(as, admitted(Config{}))
		best = best.max(naive).max(got)
		t.Logf("offered %2.0fx: %v; first in first out %v", factor, got, naive)
		if got.work < naive.work || got.requests < naive.requests {
			t.Errorf("offered %vx: %v is less than the naive queue with %v", factor, got, naive)
		}
	}
	if got.work < 0.95 || got.work < 0.95*best.work || got.requests < 0.95*best.requests {
		t.Errorf("offered 10x: %v, less than 95 %% of the best, %v", got, best)
	}
}

// BenchmarkMargins measures the effect of Margin on goodput.
func BenchmarkMargins(b *testing.B) {
	for _, m := range []float64{-1, 0.25, 0.5, 0.75, 1} {
		for _, factor := range []float64{1, 2, 10} {
			b.Run(fmt.Sprintf("margin=%v/offered=%v", m, factor), func(b *testing.B) {
				var g goodput
				for b.Loop() {
					g = serve(arrivals(factor), admitted(Config{Margin: m}))
				}
				b.ReportMetric(g.work, "work")
				b.ReportMetric(g.requests, "requests/s")
			})
		}
	}
}
