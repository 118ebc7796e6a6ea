package member

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// returnGrace is how long after the platform's return a target that its list
// lacks is still taken for there. Entries that lapsed while the platform was
// away are written anew within two seconds of its return.
const returnGrace = 2200 * time.Millisecond

// ListFailed takes note of a read of the platform's list that failed.
func (tb *Table) ListFailed(now ident.Time) {
	tb.Advance(now)
	tb.list.away = true
}

// ListRead reports whether this host, or a peer for it, has read the platform's
// list.
func (tb *Table) ListRead() bool { return tb.list.read || len(tb.peers) > 0 }

// listComplete takes note that the list which was just read lacks nothing.
func (tb *Table) listComplete(now ident.Time) {
	if tb.list.away {
		tb.list.away = false
		tb.list.backAt = now
	}
	for _, t := range tb.targets {
		t.missing = !t.listed
	}
	tb.settleGone(now)
}

// settleGone takes what a complete list lacks for gone.
//
// Some targets never say that they leave: their entry goes, and they stop a few
// seconds later. Callers would see work cut off that was sent there meanwhile.
// While the platform is away its entries may lapse though the targets live, and
// to drop them all would leave nothing to serve with; so nothing goes then, nor
// within returnGrace of its return. A target that is listed again is back.
func (tb *Table) settleGone(now ident.Time) {
	held := tb.list.away || tb.list.backAt > 0 && now.Sub(tb.list.backAt) < returnGrace
	for _, t := range tb.targets {
		gone := t.missing && (t.Gone || !held)
		if gone != t.Gone {
			tb.note(t, map[bool]string{true: "target is gone", false: "target is there again"}[gone])
		}
		t.Gone = gone
	}
}

// relist takes what a list says beside the description. Only a longer cold
// time, or the word of the own list that it is over, is believed: a list that a
// peer passes on is older.
func (tb *Table) relist(now ident.Time, t *Target, d event.Target) {
	until := now.Add(d.ColdFor)
	if d.ColdFor > 0 && until > t.coldUntil {
		t.coldUntil = until
	}
	if t.Closed && !d.Closed {
		tb.guessCold(now, t)
	}
}

// Usable reports whether work may be sent to a target at all.
func (t *Target) Usable(now ident.Time) bool {
	return !t.Leaves && !t.Gone && !t.Closed && !t.Suspect(now)
}
