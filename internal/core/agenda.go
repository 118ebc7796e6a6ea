package core

import (
	"slices"

	"verbenadale.example/verbenadale/pkg/ident"
)

// appointment is something to be done for a request at a time.
type appointment struct {
	at  ident.Time
	req *request
	do  func(now ident.Time, r *request)
}

// agenda holds the appointments in the order of time, those of one time in
// the order they were made.
type agenda struct{ due []appointment }

func (a *agenda) add(ap appointment) {
	i, _ := slices.BinarySearchFunc(a.due, ap.at, func(x appointment, at ident.Time) int {
		if x.at <= at {
			return -1
		}
		return 1
	})
	a.due = slices.Insert(a.due, i, ap)
}

// next returns the time of the first appointment, zero for none.
func (a *agenda) next() ident.Time {
	if len(a.due) == 0 {
		return 0
	}
	return a.due[0].at
}

// pop returns the first appointment if it is due.
func (a *agenda) pop(now ident.Time) (appointment, bool) {
	if len(a.due) == 0 || a.due[0].at > now {
		return appointment{}, false
	}
	ap := a.due[0]
	a.due = slices.Delete(a.due, 0, 1)
	return ap, true
}

// agendaDue does what is due. Appointments of requests that have ended are
// dropped.
func (rd *Reducer) agendaDue(now ident.Time) {
	for {
		ap, ok := rd.agenda.pop(now)
		if !ok {
			return
		}
		if rd.requests[ap.req.ID] == ap.req {
			ap.do(now, ap.req)
		}
	}
}
