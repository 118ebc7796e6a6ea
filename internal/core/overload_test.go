package core_test

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"verbenadale.example/verbenadale/internal/core"
	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// The load of these tests: short prompts before three engines that read one after the
// other, as many as their callers ask for. A caller that is refused comes back once, when
// it was asked to.
const (
	loadEngines     = 3
	loadPrompt      = 2400
	loadPrefillTime = 25 * time.Millisecond
	loadGoal        = 1200 * time.Millisecond
	loadDeadline    = 3 * time.Second
	loadDuration    = 20 * time.Second
)

// scheduledCall is something that happens at a time of the play.
type scheduledCall struct {
	at ident.Time
	do func()
}

type callQueue []scheduledCall

func (a callQueue) Len() int           { return len(a) }
func (a callQueue) Less(i, j int) bool { return a[i].at < a[j].at }
func (a callQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *callQueue) Push(x any)        { *a = append(*a, x.(scheduledCall)) }
func (a *callQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// overload plays callers and engines around a reducer in virtual time.
type overload struct {
	t     *testing.T
	red   *core.Reducer
	now   ident.Time
	queue callQueue
	// busyUntil is until when each engine reads what it was sent.
	busyUntil map[ident.TargetID]ident.Time
	// firstAskedAt is when the caller of a request firstAskedAt asked.
	firstAskedAt map[ident.RequestID]ident.Time
	isRepeat     map[ident.RequestID]bool
	n            int
	// inTime counts answers that began within the goal, late the others, idleRefusals
	// refusals while an engine would have begun the answer within the goal.
	inTime, late, refused, idleRefusals int
	// waiting counts the requests that the host holds, lateAgain those late that came back.
	waiting, lateAgain int
}

func newOverload(t *testing.T) *overload {
	t.Helper()
	o := &overload{
		t: t, now: ident.Time(time.Minute), busyUntil: make(map[ident.TargetID]ident.Time),
		firstAskedAt: make(map[ident.RequestID]ident.Time), isRepeat: make(map[ident.RequestID]bool),
	}
	place := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	o.red = core.New(event.Host{ID: "w1", Incarnation: 1, Place: place})
	o.step(event.SnapshotReceived{Book: rules.FromSheet(1, rules.Sheet{
		Clients: []rules.Client{{Name: "callers"}},
		Profiles: []rules.Profile{{
			Name: "tag", Service: "writers", Weights: rules.Weights{Tail: 1},
			Route: &rules.Route{
				Host: "h", Prefix: "/", Kind: rules.Streaming, MaxAttempts: 1, TimeoutMs: loadDeadline.Milliseconds(),
				GoalMs: loadGoal.Milliseconds(), GapMs: 300, Shares: []rules.Share{{Service: "writers", Weight: 1}},
			},
		}},
		Services: []rules.Service{{Name: "writers"}},
	})})
	list := event.HostsRead{Version: 1, Complete: true}
	for i := range loadEngines {
		list.Targets = append(list.Targets, event.Target{
			ID: ident.TargetID(fmt.Sprint("t", i)), Incarnation: 1, Kind: event.Service, Service: "writers", Place: place, Capacity: 128,
		})
	}
	o.step(list)
	return o
}

func (o *overload) at(at ident.Time, do func()) { heap.Push(&o.queue, scheduledCall{at, do}) }

func (o *overload) step(ev event.Event) {
	for _, eff := range o.red.Step(o.now, ev) {
		switch e := eff.(type) {
		case event.Wake:
			o.at(e.At, func() { o.step(event.Tick{}) })
		case event.Dispatch:
			o.prefill(e)
		case event.Refuse:
			o.refuse(e)
		}
	}
}

// prefill has an engine prefill a prompt after those that it has.
func (o *overload) prefill(e event.Dispatch) {
	id := e.Target.ID
	o.waiting--
	o.busyUntil[id] = max(o.busyUntil[id], o.now).Add(loadPrefillTime)
	o.at(o.busyUntil[id], func() {
		if o.now.Sub(o.firstAskedAt[e.Request]) <= loadGoal {
			o.inTime++
		} else {
			o.late++
			if o.isRepeat[e.Request] {
				o.lateAgain++
			}
		}
		o.step(event.FirstToken{Attempt: e.Attempt})
		o.step(event.AttemptEnded{Attempt: e.Attempt, Result: event.ResultDone, Status: 200, Delivered: 3})
	})
}

func (o *overload) refuse(e event.Refuse) {
	o.refused++
	o.waiting--
	ahead := time.Duration(o.waiting) * loadPrefillTime
	for i := range loadEngines {
		ahead += max(0, o.busyUntil[ident.TargetID(fmt.Sprint("t", i))].Sub(o.now))
	}
	since := o.firstAskedAt[e.Request]
	// A quarter of the goal is what a host may be wrong by that goes by what it sees.
	if begins := o.now.Add(ahead / loadEngines); !o.isRepeat[e.Request] && begins.Add(loadPrefillTime).Sub(since) < loadGoal*3/4 {
		o.idleRefusals++
	}
	if o.isRepeat[e.Request] {
		return
	}
	o.at(o.now.Add(e.RetryAfter), func() { o.ask(since, true) })
}

func (o *overload) ask(first ident.Time, again bool) {
	o.n++
	o.waiting++
	id := ident.RequestID(fmt.Sprint("q", o.n))
	o.firstAskedAt[id], o.isRepeat[id] = first, again
	o.step(event.RequestArrived{Request: event.Request{
		ID: id, Account: "callers", Profile: "tag", Prompt: loadPrompt, Stream: true,
		Prefix: []uint64{uint64(o.n)}, Deadline: first.Add(loadDeadline),
	}})
}

// play offers a multiple of what the engines can read.
func (o *overload) play(load float64) {
	gap := time.Duration(float64(loadPrefillTime) / loadEngines / load)
	start := o.now
	for at := start; at < start.Add(loadDuration); at = at.Add(gap) {
		o.at(at, func() { o.ask(at, false) })
	}
	for len(o.queue) > 0 && o.now < start.Add(loadDuration) {
		next := heap.Pop(&o.queue).(scheduledCall)
		o.now = max(o.now, next.at)
		next.do()
	}
}

// Goodput falls under overload, as all requests are answered just too late.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	most := 0
	for _, load := range []float64{0.5, 1, 1.5, 2, 4} {
		o := newOverload(t)
		o.play(load)
		t.Logf("%.1f times the capacity: %d in time, %d late (%d that came back), %d refused, %d of them beside an engine with room", load, o.inTime, o.late, o.lateAgain, o.refused, o.idleRefusals)
		most = max(most, o.inTime)
		if load == 4 && float64(o.inTime) < 0.9*float64(most) {
			t.Errorf("%d answered in time at four times the load, %d at the best", o.inTime, most)
		}
		if o.idleRefusals > 0 {
			t.Errorf("%d refused at %.1f times the load beside an engine that would have begun in time", o.idleRefusals, load)
		}
	}
}
