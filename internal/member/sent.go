package member

import (
	"verbenadale.example/verbenadale/pkg/ident"
)

// Prefill records the prefill that a request adds to a target: its prompt less the
// prefix that the target probably caches.
func (tb *Table) Prefill(id ident.TargetID, tokens ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.Prefill(tb.lastAdvance, tokens)
	}
}

// ReadDone subtracts what Prefill recorded of a request, after its first token or its end.
func (tb *Table) ReadDone(id ident.TargetID, tokens ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.ReadDone(tokens)
	}
}

// Sent records a request sent to a target.
func (tb *Table) Sent(id ident.TargetID, prefill, generated ident.Tokens) {
	t, ok := tb.byID[id]
	if !ok {
		return
	}
	t.Send(tb.lastAdvance, prefill, generated)
	if t.Cold(tb.lastAdvance) {
		t.coldSends = append(t.coldSends, tb.lastAdvance)
	}
}

// Ended records the end of a request at a target. A failure counts
// towards suspicion, and a success clears it.
func (tb *Table) Ended(id ident.TargetID, prefill, generated ident.Tokens, ok bool) {
	t, found := tb.byID[id]
	if !found {
		return
	}
	t.End(tb.lastAdvance, prefill, generated)
	if !ok {
		tb.fail(t)
		return
	}
	tb.answer(t)
}

// Answered records that a target has begun to answer a request of this host. It ends a row of
// failures, since long streams end late.
func (tb *Table) Answered(id ident.TargetID) {
	if t, ok := tb.byID[id]; ok {
		tb.answer(t)
	}
}

// Dropped records the end of a request that says nothing about the target, such as when the
// caller left.
func (tb *Table) Dropped(id ident.TargetID, prefill, generated ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.End(tb.lastAdvance, prefill, generated)
	}
}

// fail counts a failure of a target in a row.
func (tb *Table) fail(t *Target) {
	t.Fails++
	if t.Fails == failsToSuspect {
		tb.addNote(t, "target is suspected")
	}
}

// answer records that a target answered this host.
func (tb *Table) answer(t *Target) {
	was := t.Fails >= failsToSuspect
	t.answer(tb.lastAdvance)
	if was {
		tb.addNote(t, "target answers again")
	}
}

// answer records that the target answered. One that was suspect is cold: its cache may be
// gone, and its load must not come back at once.
func (t *Target) answer(now ident.Time) {
	if t.Suspect(now) {
		t.cold = now
		t.warm = false
	}
	t.Fails = 0
	t.seen(now)
}

// seen records a sign of life of the target, here or at a peer. It does not end a row of
// failures, which may be of the link from here.
func (t *Target) seen(now ident.Time) {
	if t.met && now.Sub(t.lastSeen) > silentAfter {
		t.cold = now
		t.warm = false
	}
	t.met = true
	t.lastSeen = max(t.lastSeen, now)
}
