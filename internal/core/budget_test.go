package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/dev/budget"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/retry"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// Bounds of the tests of retry budgets.
const (
	retryTestRatio = 0.2
	retryTestFloor = 52
	retryTestStep  = 10 * time.Millisecond
	// retryTestWarmUp is the time before the first request. It exceeds the time in which a host that has just started
	// holds back.
	retryTestWarmUp = 15 * time.Second
)

// retryFleet is several hosts of one data centre before the same targets. The first attempt of each request fails, in
// the way of the case; arrivals are recorded as targets see them.
type retryFleet struct {
	t       *testing.T
	targets int
	// slots is the number of requests that a target runs at once.
	slots ident.Tokens
	hosts []*retryHost
	// listed is how many of the hosts are listed, all if it is zero.
	listed int
	now    ident.Time
	origin ident.Time
	n      int
	// answerAt returns when an attempt that arrives now is answered, and whether it fails.
	answerAt func(now time.Duration, repeat bool) (time.Duration, bool)
	requests []time.Duration
	arrivals []budget.Arrival
	seen     map[ident.RequestID]bool
	due      answers
}

type retryHost struct {
	self event.Host
	red  *core.Reducer
}

// pendingAnswer is the answer to an attempt that has reached its target.
type pendingAnswer struct {
	at   ident.Time
	seq  int
	host int
	// red is the reducer that made the attempt, which may be gone.
	red *core.Reducer
	ev  event.Event
}

type answers []pendingAnswer

func (a answers) Len() int { return len(a) }
func (a answers) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a answers) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(x any)   { *a = append(*a, x.(pendingAnswer)) }
func (a *answers) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

func newRetryFleet(t *testing.T, hosts, targets, slots int) *retryFleet {
	f := &retryFleet{t: t, targets: targets, slots: ident.Tokens(slots), now: ident.Time(time.Second), seen: make(map[ident.RequestID]bool)}
	f.answerAt = func(time.Duration, bool) (time.Duration, bool) { return 5 * time.Millisecond, false }
	for i := range hosts {
		f.hosts = append(f.hosts, &retryHost{self: event.Host{
			ID: ident.EntryID(fmt.Sprint("w", i)), Incarnation: 1, Place: event.Place{DataCentre: "west-a", Region: "west", Reach: "west"},
		}})
		f.start(i)
	}
	return f
}

// start starts a host, or starts it again under a new incarnation.
func (f *retryFleet) start(i int) {
	h := f.hosts[i]
	h.self.Incarnation++
	h.red = core.NewBounded(h.self, core.Bounds{RetryRatio: retryTestRatio, RetryFloor: retryTestFloor})
	f.step(i, event.SnapshotReceived{Book: rules.FromStatic(1, rules.StaticConfig{
		Profiles: []rules.Profile{routeProfile("fetch", rules.Idempotent, 2)},
		Clients:  []rules.Client{{Name: "callers"}},
	})})
	f.read(i)
}

// read lets a host read the list.
func (f *retryFleet) read(i int) {
	list := event.HostsRead{Version: uint64(f.now), Complete: true}
	for j, h := range f.hosts {
		if f.listed == 0 || j < f.listed {
			list.Hosts = append(list.Hosts, h.self)
		}
	}
	for j := range f.targets {
		list.Targets = append(list.Targets, event.Target{
			ID: ident.TargetID(fmt.Sprint("t", j)), Incarnation: 1, Kind: event.Service, Service: "board", Place: f.hosts[i].self.Place, Capacity: int(f.slots),
		})
	}
	f.step(i, list)
}

func (f *retryFleet) step(i int, ev event.Event) {
	h := f.hosts[i]
	for _, eff := range h.red.Step(f.now, ev) {
		d, ok := eff.(event.Dispatch)
		if !ok {
			continue
		}
		f.arrivals = append(f.arrivals, budget.Arrival{At: f.elapsed(), Request: d.Request})
		f.after(0, i, event.AttemptSent{Attempt: d.Attempt})
		after, fails := f.answerAt(f.elapsed(), f.seen[d.Request])
		f.seen[d.Request] = true
		end := event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultDone, Status: 200}
		if fails {
			end = event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultFailed, Status: 500, AnswerBuffered: true}
		}
		f.after(after, i, end)
	}
}

func (f *retryFleet) after(d time.Duration, i int, ev event.Event) {
	f.n++
	heap.Push(&f.due, pendingAnswer{at: f.now.Add(d), seq: f.n, host: i, red: f.hosts[i].red, ev: ev})
}

func (f *retryFleet) elapsed() time.Duration { return f.now.Sub(f.origin) }

// run lets time pass until the elapsed time is until.
func (f *retryFleet) run(until time.Duration) {
	for f.elapsed() < until {
		f.now = f.now.Add(retryTestStep)
		for len(f.due) > 0 && f.due[0].at <= f.now {
			p := heap.Pop(&f.due).(pendingAnswer)
			if f.hosts[p.host].red == p.red {
				f.step(p.host, p.ev)
			}
		}
		for i := range f.hosts {
			f.step(i, event.Tick{})
			if int64(f.now)/int64(retryTestStep)%100 == int64(i%100) {
				f.read(i)
			}
		}
	}
}

// send sends n requests to a host over the next 300 ms.
func (f *retryFleet) send(i, n int) {
	const span = 300 * time.Millisecond
	for k := range n {
		f.run(f.elapsed() + span/time.Duration(n))
		f.request(i, k)
	}
}

func (f *retryFleet) request(i, k int) {
	id := ident.RequestID(fmt.Sprintf("r-%d-%d-%d", f.now, i, k))
	f.requests = append(f.requests, f.elapsed())
	f.step(i, event.RequestArrived{Request: event.Request{ID: id, Account: "callers", Profile: "fetch", Deadline: f.now.Add(10 * time.Second)}})
}

// steady sends perSecond requests a second for a time, each to a host that pick chooses.
func (f *retryFleet) steady(perSecond int, d time.Duration, pick func(n int) int) {
	end := f.elapsed() + d
	for n := 0; f.elapsed() < end; n++ {
		f.run(f.elapsed() + time.Second/time.Duration(perSecond))
		f.request(pick(n), n)
	}
}

func (f *retryFleet) check() {
	f.t.Helper()
	f.run(f.elapsed() + 12*time.Second)
	rule := budget.Rule{Ratio: retryTestRatio, Floor: retryTestFloor, Window: 10 * time.Second}
	w := rule.Worst(f.requests, f.arrivals)
	if w.Broken() {
		f.t.Error(w)
	}
	repeats := len(f.arrivals) - len(f.seen)
	f.t.Logf("%d requests, %d repeats; worst: %v", len(f.requests), repeats, w)
	if repeats == 0 {
		f.t.Error("nothing was repeated")
	}
}

// failFirst fails first attempts and serves repeats.
func failFirst(_ time.Duration, repeat bool) (time.Duration, bool) {
	return 5 * time.Millisecond, !repeat
}

// Guards against more repeats in a window of ten seconds than the retry budget of a service allows, over all hosts.
func TestRetriesOfAllHostsStayWithinTheBudget(t *testing.T) {
	cases := map[string]struct {
		hosts, targets, slots int
		play                  func(f *retryFleet, rnd *rand.Rand)
	}{
		"bursts that fail, nine to ten seconds apart": {1, 4, 500, func(f *retryFleet, rnd *rand.Rand) {
			f.answerAt = failFirst
			for range 6 {
				f.send(0, 100)
				f.run(f.elapsed() + 8700*time.Millisecond + time.Duration(rnd.Int64N(int64(time.Second))))
			}
		}},
		"bursts at six hosts in turn": {6, 4, 500, func(f *retryFleet, rnd *rand.Rand) {
			f.answerAt = failFirst
			for range 3 {
				for i := range f.hosts {
					f.send(i, 30+rnd.IntN(200))
				}
				f.run(f.elapsed() + 5*time.Second + time.Duration(rnd.Int64N(int64(3*time.Second))))
			}
		}},
		"requests move to another host": {2, 4, 500, func(f *retryFleet, rnd *rand.Rand) {
			f.steady(100, 25*time.Second, func(int) int { return 0 })
			f.answerAt = failFirst
			f.steady(100, 2*time.Second, func(int) int { return 0 })
			f.answerAt = func(time.Duration, bool) (time.Duration, bool) { return 5 * time.Millisecond, false }
			f.steady(100, 5*time.Second+time.Duration(rnd.Int64N(int64(time.Second))), func(int) int { return 1 })
			f.answerAt = failFirst
			f.steady(100, 2*time.Second, func(int) int { return 1 })
		}},
		"targets hold all requests, then fail them at once": {4, 4, 400, func(f *retryFleet, rnd *rand.Rand) {
			pick := func(n int) int { return n % 4 }
			f.steady(60, 25*time.Second, pick)
			for range 3 {
				release := f.elapsed() + 2*time.Second + time.Duration(rnd.Int64N(int64(2*time.Second)))
				f.answerAt = func(now time.Duration, repeat bool) (time.Duration, bool) {
					return max(release-now, 0) + 5*time.Millisecond, !repeat
				}
				f.steady(60, 6*time.Second, pick)
			}
		}},
		"full targets, so that retries wait": {2, 3, 20, func(f *retryFleet, rnd *rand.Rand) {
			pick := func(n int) int { return n % 2 }
			f.steady(30, 25*time.Second, pick)
			for range 4 {
				hold := f.elapsed() + 7*time.Second + time.Duration(rnd.Int64N(int64(2*time.Second)))
				f.answerAt = func(now time.Duration, repeat bool) (time.Duration, bool) {
					if repeat {
						return max(hold-now, 0) + 5*time.Millisecond, false
					}
					return 5 * time.Millisecond, true
				}
				f.steady(30, 9600*time.Millisecond, pick)
			}
		}},
		"hosts that restart in series": {3, 4, 500, func(f *retryFleet, rnd *rand.Rand) {
			f.answerAt = failFirst
			pick := func(n int) int { return n % 3 }
			f.steady(20, 15*time.Second, pick)
			for n := range 12 {
				f.start(n % 3)
				f.steady(20, time.Second+time.Duration(rnd.Int64N(int64(time.Second))), pick)
			}
		}},
		"all hosts restart three times": {6, 4, 500, func(f *retryFleet, rnd *rand.Rand) {
			f.answerAt = failFirst
			pick := func(n int) int { return n % 6 }
			f.steady(20, 12*time.Second, pick)
			for range 3 {
				for i := range f.hosts {
					f.start(i)
				}
				f.steady(20, 2*time.Second+time.Duration(rnd.Int64N(int64(time.Second))), pick)
			}
		}},
		"hosts that start one after another": {8, 4, 500, func(f *retryFleet, rnd *rand.Rand) {
			f.answerAt = failFirst
			for f.listed = 1; f.listed < len(f.hosts); f.listed++ {
				f.start(f.listed)
				f.steady(30, time.Second+time.Duration(rnd.Int64N(int64(4*time.Second))), func(n int) int { return n % (f.listed + 1) })
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				f := newRetryFleet(t, c.hosts, c.targets, c.slots)
				f.run(retryTestWarmUp)
				f.origin = f.now
				f.requests, f.arrivals = nil, nil
				c.play(f, rand.New(rand.NewPCG(seed, seed)))
				f.check()
			}
		})
	}
}

// Guards against a retry that stays counted although it was never sent, or that needs a second grant after an attempt that
// reached no target.
func TestRetryThatIsNotSentCountsNoMore(t *testing.T) {
	oneRetry := core.Bounds{RetryRatio: 0.001, RetryFloor: 2}
	failed := event.AttemptEnded{Result: event.ResultFailed, Status: 500, AnswerBuffered: true}
	retryOf := func(h *testHost) (event.Dispatch, bool) {
		end := failed
		end.Attempt = h.send("fetch").Attempt
		return pick[event.Dispatch](h.endBriefly(end))
	}
	t.Run("an attempt that is not sent", func(t *testing.T) {
		h := newTestHost(t, 4, oneRetry)
		d, ok := retryOf(h)
		if !ok {
			t.Fatal("the request is not retried")
		}
		effs := h.endBriefly(event.AttemptEnded{Attempt: d.Attempt, Result: event.ResultNotRun})
		if again, ok := pick[event.Dispatch](effs); !ok || again.Request != d.Request {
			t.Errorf("the retry is not placed elsewhere: %v", effs)
		}
		if _, ok := retryOf(h); ok {
			t.Error("a second request is retried, one retry is allowed")
		}
	})
	t.Run("a caller that leaves before", func(t *testing.T) {
		h := newTestHost(t, 4, oneRetry)
		end := failed
		first := h.send("fetch")
		end.Attempt = first.Attempt
		h.step(end)
		h.step(event.CallerLeft{Request: first.Request})
		if _, ok := retryOf(h); !ok {
			t.Error("the retry of a caller that has left still counts")
		}
	})
	t.Run("a caller that leaves after", func(t *testing.T) {
		h := newTestHost(t, 4, oneRetry)
		d, _ := retryOf(h)
		h.step(event.CallerLeft{Request: d.Request})
		if _, ok := retryOf(h); ok {
			t.Error("a second request is retried, one retry is allowed")
		}
		h.now = h.now.Add(retry.Window)
		if _, ok := retryOf(h); !ok {
			t.Error("the retry still counts after a window")
		}
	})
}
