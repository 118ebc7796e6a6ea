package member

import (
	"verbenadale.example/verbenadale/pkg/ident"
)

// Prefill takes note of the prefill that a request sent to a target makes
// there: its prompt less what the cache probably holds.
func (tb *Table) Prefill(id ident.TargetID, tokens ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.ahead.add(tb.last, tokens, t.Load.PrefillRate)
		t.Unread += tokens
	}
}

// ReadDone takes back what Prefill noted of a request: its first token has come, or
// it has ended without one.
func (tb *Table) ReadDone(id ident.TargetID, tokens ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		t.Unread = max(0, t.Unread-tokens)
	}
}

// Sent takes note of a request sent to a target.
func (tb *Table) Sent(id ident.TargetID, prefill, generated ident.Tokens) {
	t, ok := tb.byID[id]
	if !ok {
		return
	}
	t.Sent++
	t.SentTokens += prefill
	t.SentGenerated += generated
	t.recent.add(tb.last, 1, prefill)
	if t.Cold(tb.last) {
		t.coldSends = append(t.coldSends, tb.last)
	}
}

// Ended takes note of the end of a request at a target. A failure counts
// towards suspicion, and a success clears it.
func (tb *Table) Ended(id ident.TargetID, prefill, generated ident.Tokens, ok bool) {
	t, found := tb.byID[id]
	if !found {
		return
	}
	tb.drop(t, prefill, generated)
	if !ok {
		tb.fail(t)
		return
	}
	tb.answer(t)
}

// Answered takes note that a target has begun to answer a request of this
// host. Long streams end late: were only their ends counted, a burst of
// failures at the start of a load would make targets suspect that are at work
// for hundreds of callers.
func (tb *Table) Answered(id ident.TargetID) {
	if t, ok := tb.byID[id]; ok {
		tb.answer(t)
	}
}

// Dropped takes note of the end of a request that tells nothing of the target,
// such as when the caller left.
func (tb *Table) Dropped(id ident.TargetID, prefill, generated ident.Tokens) {
	if t, ok := tb.byID[id]; ok {
		tb.drop(t, prefill, generated)
	}
}

func (tb *Table) drop(t *Target, prefill, generated ident.Tokens) {
	if t.Sent == 0 {
		return
	}
	t.Sent--
	t.SentTokens = max(0, t.SentTokens-prefill)
	t.SentGenerated = max(0, t.SentGenerated-generated)
	t.recent.add(tb.last, -1, 0)
}

// fail counts a failure of a target in a row.
func (tb *Table) fail(t *Target) {
	t.Fails++
	if t.Fails == failsToSuspect {
		tb.note(t, "target is suspected")
	}
}

// answer takes note that a target answered this host.
func (tb *Table) answer(t *Target) {
	was := t.Fails >= failsToSuspect
	t.answer(tb.last)
	if was {
		tb.note(t, "target answers again")
	}
}

// answer takes note that the target answered. One that was suspect is cold: its
// cache may be gone, and the load that fled it must not come back at once.
func (t *Target) answer(now ident.Time) {
	if t.Suspect(now) {
		t.cold = now
		t.warm = false
	}
	t.Fails = 0
	t.hear(now)
}

// hear takes note of a word of the target, heard here or by a peer. The word
// that a peer heard ends a silence and no more: the failures seen from here may
// be of the link between, and only an answer to this host tells that it is
// whole.
func (t *Target) hear(now ident.Time) {
	if t.met && now.Sub(t.lastSeen) > silentAfter {
		t.cold = now
		t.warm = false
	}
	t.met = true
	t.lastSeen = max(t.lastSeen, now)
}
