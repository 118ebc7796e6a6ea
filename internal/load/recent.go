package load

import (
	"time"

	"verbenadale.example/verbenadale/pkg/ident"
)

// The window of own sends that is kept to correct a load report.
const (
	recentSlots = 16
	recentWidth = 250 * time.Millisecond
	// RecentSpan is the part of the window that is whole.
	RecentSpan = (recentSlots - 1) * recentWidth
)

// Recent counts the sends and ends of the last four seconds in slots of a
// quarter of a second. The zero value is empty.
type Recent struct {
	// at is the number of the newest slot since time zero.
	at     int64
	net    [recentSlots]int
	tokens [recentSlots]ident.Tokens
}

func slotOf(t ident.Time) int64 { return int64(t) / int64(recentWidth) }

// Add counts n sends, or ends below zero, and the prefill work of the sends.
func (r *Recent) Add(now ident.Time, n int, tokens ident.Tokens) {
	r.turn(slotOf(now))
	i := r.at % recentSlots
	r.net[i] += n
	r.tokens[i] += tokens
}

// turn clears the slots between the newest and s.
func (r *Recent) turn(s int64) {
	if s-r.at >= recentSlots {
		*r = Recent{at: s}
		return
	}
	for r.at < s {
		r.at++
		r.net[r.at%recentSlots] = 0
		r.tokens[r.at%recentSlots] = 0
	}
}

// Since returns the sends less the ends after a time, and the prefill work of
// the sends. The slot of the time itself counts: to count a send twice makes a
// target look a little fuller, to miss it lets a burst pile up.
func (r *Recent) Since(now, from ident.Time) (int, ident.Tokens) {
	net, tokens := 0, ident.Tokens(0)
	newest := min(r.at, slotOf(now))
	for s := max(slotOf(from), r.at-recentSlots+1, 0); s <= newest; s++ {
		net += r.net[s%recentSlots]
		tokens += r.tokens[s%recentSlots]
	}
	return net, tokens
}
