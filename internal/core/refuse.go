package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// refusal is a final answer that is not a target's.
type refusal struct {
	code    codes.ID
	outcome event.Outcome
	// later is when to come back, zero for the default.
	later   time.Duration
	entries []event.Host
}

func refuseAs(c codes.Code) refusal { return refusal{code: c.ID, outcome: event.NotRun} }

// maxEntries bounds the other hosts that an answer names.
const maxEntries = 4

// elsewhere is a refusal that names the hosts to use instead.
func (rd *Reducer) elsewhere(now ident.Time, r *request, c codes.Code) refusal {
	ref := refuseAs(c)
	ref.entries = rd.others(now, r.profile, r.client, uint64(r.arrived))
	return ref
}

// others returns hosts that may take requests of a profile, best first, this
// host left out.
func (rd *Reducer) others(now ident.Time, p rules.Profile, c rules.Client, spread uint64) []event.Host {
	var hs []event.Host
	for _, h := range rd.allowedEntries(now, p, c, spread) {
		if h.ID != rd.self.ID && len(hs) < maxEntries {
			hs = append(hs, h)
		}
	}
	return hs
}

func (rd *Reducer) allowedEntries(now ident.Time, p rules.Profile, c rules.Client, spread uint64) []event.Host {
	allowed := func(at event.Place) bool { return p.Allows(c, at.Region) }
	return rd.table.EntryHosts(now, allowed, spread)
}

// refuse gives a request its final answer, at once.
func (rd *Reducer) refuse(now ident.Time, r *request, ref refusal) {
	if r.untried(ref) {
		ref.code = codes.TurnedAway.ID
	}
	eff := event.Refuse{
		Request: r.ID, Code: ref.code, Outcome: ref.outcome, RetryAfter: ref.later, Entries: ref.entries,
		Basis: rd.basis(now, r, r.looked), Denial: r.denied,
	}
	if ref.outcome == event.Unknown {
		eff.Ending = r.broke
	}
	if c, ok := codes.Find(ref.code); ok && c.Wait && eff.RetryAfter <= 0 {
		eff.RetryAfter = retryLater
	}
	rd.emit(eff)
	if r.forwarded {
		rd.once.AttemptEnded(now, r.env.Attempt, answerOf(ref.outcome))
	}
}

// end refuses a request that had been taken in.
func (rd *Reducer) end(now ident.Time, r *request, ref refusal) {
	if rd.requests[r.ID] != r {
		return
	}
	// A later refusal, of a retry that found no room, must not hide that an
	// earlier attempt may have run: the caller would send the work again
	// elsewhere and take it for the first time.
	if r.mayHaveRun && ref.outcome == event.NotRun {
		ref.outcome = event.Unknown
	}
	if r.profile.Route != nil && ref.code == codes.Overloaded.ID && ref.outcome == event.NotRun && !r.forwarded {
		ref.later = rd.comeBack(now, r)
	}
	rd.close(now, r, ref.outcome)
	rd.refuse(now, r, ref)
}
