package member

import (
	"verbenadale.example/verbenadale/pkg/ident"
)

// AddPrefill records the prefill that a request adds to a target: its prompt less the
// prefix that the target probably caches.
func (tb *Table) AddPrefill(id ident.TargetID, tokens ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.AddPrefill(tb.last, tokens)
	}
}

// PrefillDone subtracts what Prefill recorded of a request, after its first token or its end.
func (tb *Table) PrefillDone(id ident.TargetID, tokens ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.PrefillDone(tokens)
	}
}

// RequestSent records a request sent to a target.
func (tb *Table) RequestSent(id ident.TargetID, prefill, generated ident.Tokens) {
	t, ok := tb.byID[id]
	if !ok {
		return
	}
	t.AddRequest(tb.last, prefill, generated)
	if t.Cold(tb.last) {
		t.coldSends = append(t.coldSends, tb.last)
	}
}

// RequestEnded records the end of a request at a target. A failure counts
// towards suspicion, and a success clears it.
func (tb *Table) RequestEnded(id ident.TargetID, prefill, generated ident.Tokens, ok bool) {
	t, found := tb.byID[id]
	if !found {
		return
	}
	t.EndRequest(tb.last, prefill, generated)
	if !ok {
		tb.recordFailure(t)
		return
	}
	tb.recordAnswer(t)
}

// AnswerBegan records that a target has begun to answer a request of this host. It ends a row of
// failures, since long streams end late.
func (tb *Table) AnswerBegan(id ident.TargetID) {
	if t, ok := tb.byID[id]; ok {
		tb.recordAnswer(t)
	}
}

// RequestAborted records the end of a request that says nothing about the target, such as when the
// caller left.
func (tb *Table) RequestAborted(id ident.TargetID, prefill, generated ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.EndRequest(tb.last, prefill, generated)
	}
}

// recordFailure counts a failure of a target in a row.
func (tb *Table) recordFailure(t *Target) {
	t.ConsecutiveFailures++
	if t.ConsecutiveFailures == suspectFailures {
		tb.note(t, "target is suspected")
	}
}

// recordAnswer records that a target answered this host.
func (tb *Table) recordAnswer(t *Target) {
	was := t.ConsecutiveFailures >= suspectFailures
	t.markAnswered(tb.last)
	if was {
		tb.note(t, "target answers again")
	}
}

// markAnswered records that the target answered. One that was suspect is cold: its cache may be
// gone, and its load must not come back at once.
func (t *Target) markAnswered(now ident.Time) {
	if t.Suspect(now) {
		t.rampStartedAt = now
		t.noRamp = false
	}
	t.ConsecutiveFailures = 0
	t.markSeen(now)
}

// markSeen records a sign of life of the target, here or at a peer. It does not end a row of
// failures, which may be of the link from here.
func (t *Target) markSeen(now ident.Time) {
	if t.everSeen && now.Sub(t.lastSeen) > silenceTimeout {
		t.rampStartedAt = now
		t.noRamp = false
	}
	t.everSeen = true
	t.lastSeen = max(t.lastSeen, now)
}
