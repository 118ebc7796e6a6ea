package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/value"
)

// entriesTTL is how long callers may use a list of entry hosts (a directory answer). It is shorter
// than the time from the announcement of a drain until the host stops answering.
const entriesTTL = 5 * time.Second

// nearbyTTL is how long a caller may use a list of nearby hosts. It bounds how long callers keep
// using a host that has stopped.
const nearbyTTL = 900 * time.Millisecond

// queryEvent handles queries of callers and operators.
func (rd *Reducer) queryEvent(now ident.Time, ev event.Event) {
	switch e := ev.(type) {
	case event.TicketAsked:
		rd.issueTicket(now, e)
	case event.EntriesAsked:
		rd.answerEntries(now, e)
	case event.NearbyAsked:
		rd.emit(event.EntriesAnswered{Ask: e.Ask, TTL: nearbyTTL, Entries: rd.table.Nearby(now, e.Near, rd.spread.Book().HostRegions(e.Host))})
	case event.RouteAsked:
		rd.explainRoute(now, e)
	case event.StatusAsked:
		rd.answerStatus(now, e)
	}
}

func (rd *Reducer) answerEntries(now ident.Time, e event.EntriesAsked) {
	ans := event.EntriesAnswered{Ask: e.Ask, TTL: entriesTTL}
	p, okProfile := rd.spread.Book().Profile(e.Profile)
	c, okClient := rd.spread.Book().Client(e.Account)
	switch {
	case !okClient:
		ans.Code = codes.UnknownKey.ID
	case !okProfile:
		ans.Code = codes.UnknownProfile.ID
	case !c.MayUse(p.Name):
		ans.Code = codes.ProfileForbidden.ID
	default:
		ans.Entries = rd.allowedEntries(now, p, c, e.Seed)
	}
	rd.emit(ans)
}

// explainRoute returns where a request would be sent, by the same decision as for a real request.
func (rd *Reducer) explainRoute(now ident.Time, e event.RouteAsked) {
	ans := event.RouteAnswered{Ask: e.Ask, Chosen: -1}
	r := &request{
		Request: e.Request, arrived: now,
		triedTargets: value.SetOf[ident.TargetID](), triedCentres: value.SetOf[ident.DataCentre](),
	}
	if ref, ok := rd.resolveRequest(now, r); !ok {
		ans.Code = ref.code
		rd.emit(ans)
		return
	}
	ans.Choices, ans.Chosen = rd.router.Explain(now, rd.query(now, r), rd.table)
	if ans.Chosen < 0 {
		ans.Code = codes.NoTarget.ID
	}
	rd.emit(ans)
}

func (rd *Reducer) answerStatus(now ident.Time, e event.StatusAsked) {
	ans := event.StatusAnswered{
		Ask: e.Ask, Self: rd.self, Revision: rd.spread.Revision(),
		Ready: rd.spread.Book() != nil && !rd.draining, Requests: len(rd.requests),
	}
	ans.PlatformAge, _ = rd.spread.PlatformAge(now)
	ans.Centres, ans.Targets = rd.table.Status(now)
	rd.emit(ans)
}
