package core

import (
	"slices"

	"verbenadale.example/verbenadale/pkg/ident"
)

// timer is a function to run for a request at a given time.
type timer struct {
	at  ident.Time
	req *request
	run func(now ident.Time, r *request)
}

// timerQueue holds timers ordered by time. Timers of the same time keep the order in which they
// were added.
type timerQueue struct{ timers []timer }

func (q *timerQueue) add(t timer) {
	i, _ := slices.BinarySearchFunc(q.timers, t.at, func(x timer, at ident.Time) int {
		if x.at <= at {
			return -1
		}
		return 1
	})
	q.timers = slices.Insert(q.timers, i, t)
}

// next returns the time of the earliest timer, zero if there is none.
func (q *timerQueue) next() ident.Time {
	if len(q.timers) == 0 {
		return 0
	}
	return q.timers[0].at
}

// pop removes and returns the earliest timer if it is due.
func (q *timerQueue) pop(now ident.Time) (timer, bool) {
	if len(q.timers) == 0 || q.timers[0].at > now {
		return timer{}, false
	}
	t := q.timers[0]
	q.timers = slices.Delete(q.timers, 0, 1)
	return t, true
}

// runTimers runs the timers that are due. Timers of requests that have ended are dropped.
func (rd *Reducer) runTimers(now ident.Time) {
	for {
		t, ok := rd.timers.pop(now)
		if !ok {
			return
		}
		if rd.requests[t.req.ID] == t.req {
			t.run(now, t.req)
		}
	}
}
