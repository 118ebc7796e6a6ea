package member

import (
	"verbenadale.example/verbenadale/pkg/ident"
)

// AddPrefill records the prefill work that a request adds to a target: its prompt less the prefix
// that the target probably caches.
func (tb *Table) AddPrefill(id ident.TargetID, tokens ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.AddPrefill(tb.lastAdvance, tokens)
	}
}

// PrefillDone subtracts what AddPrefill recorded for a request, after its first token or its end.
func (tb *Table) PrefillDone(id ident.TargetID, tokens ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.PrefillDone(tokens)
	}
}

// RequestSent records a request that this host sent to a target.
func (tb *Table) RequestSent(id ident.TargetID, prefill, generated ident.Tokens) {
	t, ok := tb.byID[id]
	if !ok {
		return
	}
	t.AddRequest(tb.lastAdvance, prefill, generated)
	tb.countSend(tb.lastAdvance, t)
	if t.Cold(tb.lastAdvance) {
		t.coldSends = append(t.coldSends, tb.lastAdvance)
	}
}

// RequestEnded records the end of a request at a target. A failure counts towards suspicion, and a
// success clears it.
func (tb *Table) RequestEnded(id ident.TargetID, prefill, generated ident.Tokens, ok bool) {
	t, found := tb.byID[id]
	if !found {
		return
	}
	t.EndRequest(tb.lastAdvance, prefill, generated)
	if !ok {
		tb.recordFailure(t)
		return
	}
	tb.recordAnswer(t)
}

// AnswerBegan records that a target has started to answer a request of this host. It resets the
// count of consecutive failures, since long streams end late.
func (tb *Table) AnswerBegan(id ident.TargetID) {
	if t, ok := tb.byID[id]; ok {
		tb.recordAnswer(t)
	}
}

// RequestAborted records the end of a request whose outcome says nothing about the target, for
// example because the caller disconnected.
func (tb *Table) RequestAborted(id ident.TargetID, prefill, generated ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.EndRequest(tb.lastAdvance, prefill, generated)
	}
}

// recordFailure counts a consecutive failure of a target.
func (tb *Table) recordFailure(t *Target) {
	t.ConsecutiveFailures++
	if t.ConsecutiveFailures == suspectFailures {
		tb.addNote(t, "target is suspected")
	}
}

// recordAnswer records that a target answered this host.
func (tb *Table) recordAnswer(t *Target) {
	wasSuspect := t.ConsecutiveFailures >= suspectFailures
	t.markAnswered(tb.lastAdvance)
	if wasSuspect {
		tb.addNote(t, "target answers again")
	}
}

// markAnswered records that the target answered. A target that was suspect ramps up again: its
// cache may be lost, and its load must not return all at once.
func (t *Target) markAnswered(now ident.Time) {
	if t.Suspect(now) {
		t.rampStartedAt = now
		t.noRamp = false
	}
	t.ConsecutiveFailures = 0
	t.markSeen(now)
}

// markSeen records a sign of life of the target, received by this host or by a peer. It does not
// reset the count of consecutive failures, since the link from this host may be at fault.
func (t *Target) markSeen(now ident.Time) {
	if t.everSeen && now.Sub(t.lastSeen) > silenceTimeout {
		t.rampStartedAt = now
		t.noRamp = false
	}
	t.everSeen = true
	t.lastSeen = max(t.lastSeen, now)
}
