package core

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/codes"
	"verbenadale.example/verbenadale/pkg/ident"
	"verbenadale.example/verbenadale/pkg/rules"
)

// refusal is a final answer that this host gives instead of a target.
type refusal struct {
	code    codes.ID
	outcome event.Outcome
	// retryAfter is how long the caller should wait before it retries, zero for the default.
	retryAfter time.Duration
	// targetsRest means that retryAfter is when targets that have asked for rest may be used again.
	targetsRest bool
	entries     []event.Host
}

func refuseAs(c codes.Code) refusal { return refusal{code: c.ID, outcome: event.NotRun} }

// maxEntries bounds the number of other hosts that an answer names.
const maxEntries = 4

// refuseWithEntries returns a refusal that names other hosts to use.
func (rd *Reducer) refuseWithEntries(now ident.Time, r *request, c codes.Code) refusal {
	ref := refuseAs(c)
	ref.entries = rd.otherEntries(now, r.profile, r.client, uint64(r.arrived))
	return ref
}

// otherEntries returns the hosts other than this one that may take requests of a profile, best
// first.
func (rd *Reducer) otherEntries(now ident.Time, p rules.Profile, c rules.Client, spread uint64) []event.Host {
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

// refuse sends a request its final answer immediately.
func (rd *Reducer) refuse(now ident.Time, r *request, ref refusal) {
	if r.forwarded && ref.outcome == event.NotRun {
		ref.code = r.forwardedCode(ref.code)
	}
	eff := event.Refuse{
		Request: r.ID, Code: ref.code, Outcome: ref.outcome, RetryAfter: ref.retryAfter, Entries: ref.entries,
		Basis: rd.basis(now, r, r.lastDecision), Denial: r.lastDenial,
	}
	if ref.outcome == event.Unknown {
		eff.Ending = r.lastEnding
	}
	if r.forwarded {
		eff.EndedRuns = rd.poison.Runs(now, r.Content)
	}
	if c, ok := codes.Find(ref.code); ok && c.RetryLater && eff.RetryAfter <= 0 {
		eff.RetryAfter = defaultRetryAfter
	}
	rd.emit(eff)
	if r.forwarded {
		rd.once.AttemptEnded(now, r.env.Attempt, answerOf(ref.outcome))
	}
}

// endRefused closes an accepted request and refuses it.
func (rd *Reducer) endRefused(now ident.Time, r *request, ref refusal) {
	if rd.requests[r.ID] != r {
		return
	}
	// The refusal of a retry that found no capacity must not hide that an earlier attempt may have
	// run: the caller would send the work again elsewhere as if for the first time.
	if r.mayHaveRun && ref.outcome == event.NotRun {
		ref.outcome = event.Unknown
	}
	if r.profile.Route != nil && ref.code == codes.Overloaded.ID && ref.outcome == event.NotRun && !r.forwarded && !ref.targetsRest {
		ref.retryAfter = rd.retryAfter(now, r)
	}
	rd.close(now, r, ref.outcome)
	rd.refuse(now, r, ref)
}
