// Package core is the reducer that makes every decision of an entry host.
//
// # Usage
//
//	red := core.New(self)
//	effs := red.Step(now, ev)
//
// Step is deterministic: it reads no clock, no socket and no source of
// randomness, starts no goroutine and lets no map order show, so the same
// events give the same effects, byte for byte. Several reducers fit into one
// process and can be driven in virtual time.
//
// The state is split by decision: package member holds hosts, targets and
// loads; package route chooses; this package follows each request through
// them. A Reducer belongs to one goroutine.
package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/internal/member"
	"verbenadale.example/verbenadale/internal/route"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
	"verbenadale.example/verbenadale/pkg/value"
)

// Times and bounds of requests.
const (
	defaultDeadline = 60 * time.Second
	retryLater      = time.Second
	maxTries        = 3
	entriesValid    = 5 * time.Second
)

// Reducer is the state of one entry host.
type Reducer struct {
	table  *member.Table
	router *route.Router
	book   *rules.Book

	requests map[ident.RequestID]*request
	attempts map[ident.Attempt]*attempt
	number   uint64
	draining bool
	watching bool
	wakeAt   ident.Time

	out []event.Effect
}

// request is one request that has not had its final answer.
type request struct {
	event.Request
	profile   rules.Profile
	client    rules.Client
	deadline  ident.Time
	tried     value.Set[ident.TargetID]
	tries     int
	live      *attempt
	delivered ident.Tokens
}

// attempt is one try that has not ended.
type attempt struct {
	id     ident.Attempt
	req    *request
	target ident.TargetID
	inc    ident.Incarnation
	sent   bool
}

// New returns the reducer of a host that knows nothing yet.
func New(self event.Host) *Reducer {
	return &Reducer{
		table:    member.New(self),
		router:   &route.Router{},
		requests: make(map[ident.RequestID]*request),
		attempts: make(map[ident.Attempt]*attempt),
	}
}

// Step takes one event and returns what is to be done.
func (rd *Reducer) Step(now ident.Time, ev event.Event) []event.Effect {
	rd.out = nil
	switch e := ev.(type) {
	case event.RequestArrived:
		rd.arrive(now, e.Request)
	case event.AttemptSent:
		rd.attemptSent(e)
	case event.AttemptEnded:
		rd.attemptEnded(now, e)
	case event.CallerLeft:
		rd.drop(e.Request)
	case event.HostsRead:
		rd.table.HostsRead(now, e)
	case event.LoadReported:
		rd.table.LoadReported(now, e.Load)
	case event.LoadFailed:
		rd.table.LoadFailed(now, e.Target)
	case event.ChangesReceived:
		rd.changes(e)
	case event.WatchIdle:
		rd.emit(event.WatchChange{After: rd.revision()})
	case event.PlatformFailed:
		rd.platformFailed(e)
	case event.EntriesAsked:
		rd.emit(event.EntriesAnswered{Ask: e.Ask, Entries: []event.Host{rd.table.Self()}, Valid: entriesValid})
	case event.StatusAsked:
		rd.status(e)
	case event.DrainAsked:
		rd.draining = true
	}
	rd.tick(now)
	return rd.out
}

func (rd *Reducer) emit(eff event.Effect) { rd.out = append(rd.out, eff) }

func (rd *Reducer) revision() ident.Revision {
	if rd.book == nil {
		return 0
	}
	return rd.book.Revision
}

// tick does what is due by time.
func (rd *Reducer) tick(now ident.Time) {
	rd.out = append(rd.out, rd.table.Tick(now, member.Own{Revision: rd.revision()})...)
	if !rd.watching {
		rd.watching = true
		rd.emit(event.WatchChange{After: rd.revision()})
	}
	if rd.draining && len(rd.requests) == 0 {
		rd.emit(event.Drained{})
	}
	if at := rd.table.Next(now); at != rd.wakeAt {
		rd.wakeAt = at
		rd.emit(event.Wake{At: at})
	}
}

func (rd *Reducer) platformFailed(e event.PlatformFailed) {
	if e.Op == event.OpWatchChange {
		rd.watching = false
	}
}

func (rd *Reducer) changes(e event.ChangesReceived) {
	for _, c := range e.Changes {
		next, err := rd.book.Apply(c)
		if err != nil {
			continue
		}
		rd.book = next
		rd.emit(event.InForceNow{Book: next})
	}
	if e.From == "" {
		rd.emit(event.WatchChange{After: rd.revision()})
	}
}

func (rd *Reducer) status(e event.StatusAsked) {
	self := rd.table.Self()
	rd.emit(event.StatusAnswered{
		Ask: e.Ask, Self: self, Revision: rd.revision(), Ready: rd.book != nil, Requests: len(rd.requests),
		Centres: []event.CentreStatus{{Place: self.Place, InForce: rd.revision(), Hosts: []event.Host{self}}},
	})
}

func (rd *Reducer) refuse(id ident.RequestID, c codes.Code, outcome event.Outcome) {
	ref := event.Refuse{Request: id, Code: c.ID, Outcome: outcome}
	if c.Wait {
		ref.RetryAfter = retryLater
	}
	rd.emit(ref)
}
