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

// Parameters of the simulated load: short prompts for three engines, each of which prefills one
// prompt after the other. A caller that is refused comes back once, after the time in RetryAfter.
const (
	loadEngines     = 3
	loadPrompt      = 2400
	loadPrefillTime = 25 * time.Millisecond
	loadGoal        = 1200 * time.Millisecond
	loadDeadline    = 3 * time.Second
	loadDuration    = 20 * time.Second
)

// scheduledCall is a function to call at a virtual time.
type scheduledCall struct {
	at ident.Time
	do func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int           { return len(q) }
func (q callQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q callQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *callQueue) Push(x any)        { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// overload simulates callers and engines around a reducer in virtual time.
type overload struct {
	t     *testing.T
	red   *core.Reducer
	now   ident.Time
	queue callQueue
	// busyUntil is when each engine will have prefilled all prompts sent to it.
	busyUntil map[ident.TargetID]ident.Time
	// firstAskedAt is when the caller of a request first sent it, isRepeat whether the request is
	// its second.
	firstAskedAt map[ident.RequestID]ident.Time
	isRepeat     map[ident.RequestID]bool
	n            int
	// inTime counts answers that began within the goal, late those that began after it, and
	// idleRefusals the refusals of requests whose answers an engine could have begun within the
	// goal.
	inTime, late, refused, idleRefusals int
	// waiting counts the requests that the host has neither sent nor refused, and lateRepeats the
	// late answers to repeated requests.
	waiting, lateRepeats int
}

func newOverload(t *testing.T) *overload {
	t.Helper()
	o := &overload{
		t: t, now: ident.Time(time.Minute), busyUntil: make(map[ident.TargetID]ident.Time),
		firstAskedAt: make(map[ident.RequestID]ident.Time), isRepeat: make(map[ident.RequestID]bool),
	}
	place := event.Place{DataCentre: "west-a", Region: "west", Reach: "west"}
	o.red = core.New(event.Host{ID: "w1", Incarnation: 1, Place: place})
	o.step(event.SnapshotReceived{Book: rules.FromStatic(1, rules.StaticConfig{
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

// prefill makes an engine prefill a prompt after those sent to it before.
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
				o.lateRepeats++
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
	// The host decides by estimates, which may be wrong by a quarter of the goal.
	if begins := o.now.Add(ahead / loadEngines); !o.isRepeat[e.Request] && begins.Add(loadPrefillTime).Sub(since) < loadGoal*3/4 {
		o.idleRefusals++
	}
	if o.isRepeat[e.Request] {
		return
	}
	o.at(o.now.Add(e.RetryAfter), func() { o.ask(since, true) })
}

func (o *overload) ask(first ident.Time, repeat bool) {
	o.n++
	o.waiting++
	id := ident.RequestID(fmt.Sprint("q", o.n))
	o.firstAskedAt[id], o.isRepeat[id] = first, repeat
	o.step(event.RequestArrived{Request: event.Request{
		ID: id, Account: "callers", Profile: "tag", Prompt: loadPrompt, Stream: true,
		Prefix: []uint64{uint64(o.n)}, Deadline: first.Add(loadDeadline),
	}})
}

// play offers a multiple of the load that the engines can prefill.
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

// Guards against goodput that collapses under overload because all requests are answered just too
// late.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	most := 0
	for _, load := range []float64{0.5, 1, 1.5, 2, 4} {
		o := newOverload(t)
		o.play(load)
		t.Logf("load of %.1f times the capacity: %d in time, %d late (%d of them repeats), %d refused, %d of them while an engine had room", load, o.inTime, o.late, o.lateRepeats, o.refused, o.idleRefusals)
		most = max(most, o.inTime)
		if load == 4 && float64(o.inTime) < 0.9*float64(most) {
			t.Errorf("%d answered in time at four times the capacity, %d at the best load", o.inTime, most)
		}
		if o.idleRefusals > 0 {
			t.Errorf("%d refused at %.1f times the capacity while an engine would have begun in time", o.idleRefusals, load)
		}
	}
}
