package front

import (
	"context"
	"net/http"
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
)

// queryTimeout bounds a query to the control thread.
const queryTimeout = 2 * time.Second

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the profiles that the account may use.
func (x *exchange) models() *event.Refuse {
	if ref := x.authenticate(); ref != nil {
		return ref
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, p := range x.cfg.Book().Profiles() {
		if p.Service == "" && x.client.MayUse(p.Name) {
			list.Data = append(list.Data, modelEntry{ID: string(p.Name), Object: "model", OwnedBy: viaPseudonym})
		}
	}
	x.writeJSON(http.StatusOK, event.Done, list)
	return nil
}

type entryList struct {
	Entries    []string `json:"entries"`
	ValidForMs int64    `json:"validForMs"`
}

// entries lists the entry hosts to use. A host that may not serve the profile answers too, since
// this is how callers find the right hosts.
func (x *exchange) entries() *event.Refuse {
	if ref := x.authenticate(); ref != nil {
		return ref
	}
	profile, ref := x.queryProfile()
	if ref != nil {
		return ref
	}
	ans, ref := x.queryEntries(profile)
	if ref != nil {
		return ref
	}
	x.writeJSON(http.StatusOK, event.Done, entryList{Entries: callerURLs(ans.Entries), ValidForMs: ans.TTL.Milliseconds()})
	return nil
}

// queryProfile returns the profile of the query after checking that the account may use it.
func (x *exchange) queryProfile() (ident.Profile, *event.Refuse) {
	name := ident.Profile(x.r.URL.Query().Get("profile"))
	if name == "" {
		return "", x.notRun(codes.BadRequest, "write the profile into the query, as ?profile=NAME")
	}
	p, ok := x.cfg.Book().Profile(name)
	if !ok {
		return "", x.notRun(codes.UnknownProfile, "")
	}
	if !x.client.MayUse(name) {
		return "", x.notRun(codes.ProfileForbidden, "")
	}
	x.profile = p
	return name, nil
}

func (x *exchange) queryEntries(profile ident.Profile) (event.EntriesAnswered, *event.Refuse) {
	ctx, cancel := context.WithTimeout(x.r.Context(), queryTimeout)
	defer cancel()
	eff, err := x.cfg.Loop.Ask(ctx, func(n event.Ask) event.Event {
		return event.EntriesAsked{Ask: n, Account: x.client.Name, Profile: profile, Seed: newSpreadSeed()}
	})
	ans, ok := eff.(event.EntriesAnswered)
	if err != nil || !ok {
		return event.EntriesAnswered{}, x.notRun(codes.NotReady, "")
	}
	if c, ok := codes.Find(ans.Code); ok {
		ref := x.notRun(c, "")
		ref.Entries = ans.Entries
		return event.EntriesAnswered{}, ref
	}
	return ans, nil
}

// allowedEntries returns the hosts to list in a refusal for residency.
func (x *exchange) allowedEntries() []event.Host {
	ans, ref := x.queryEntries(x.profile.Name)
	if ref != nil {
		return ref.Entries
	}
	return ans.Entries
}

type ticketAnswer struct {
	Ticket     string `json:"ticket"`
	ValidForMs int64  `json:"validForMs"`
}

// tickets issues a ticket for one request that runs at most once.
func (x *exchange) tickets() *event.Refuse {
	if ref := x.authenticate(); ref != nil {
		return ref
	}
	profile, ref := x.queryProfile()
	if ref != nil {
		return ref
	}
	if ref := x.checkProfile(profile); ref != nil {
		return ref
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), queryTimeout)
	defer cancel()
	eff, err := x.cfg.Loop.Ask(ctx, func(n event.Ask) event.Event {
		return event.TicketAsked{Ask: n, Account: x.client.Name, Profile: profile, Secret: newSecret()}
	})
	ans, ok := eff.(event.TicketIssued)
	if err != nil || !ok {
		return x.notRun(codes.NotReady, "")
	}
	if c, ok := codes.Find(ans.Code); ok {
		ref := x.notRun(c, "")
		ref.Entries = ans.Entries
		return ref
	}
	x.writeJSON(http.StatusOK, event.Done, ticketAnswer{Ticket: ans.Ticket, ValidForMs: ans.TTL.Milliseconds()})
	return nil
}

func callerURLs(hs []event.Host) []string {
	us := make([]string, 0, len(hs))
	for _, h := range hs {
		us = append(us, h.CallerURL)
	}
	return us
}
