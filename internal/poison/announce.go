package poison

import (
	"time"

	"verbenadale.example/verbenadale/internal/event"
	"verbenadale.example/verbenadale/pkg/ident"
)

// Announcements of a host.
const (
	// urgentInterval is the shortest time between two announcements, unless a content has just been
	// condemned. It applies to a content that has ended another target before, and to one that was
	// answered.
	urgentInterval = 10 * time.Millisecond
	// pacePerEnd is the time to the next announcement, for each end in the last one, if nothing is
	// urgent. When many targets are lost at once, the requests that ran there are suspects, few of
	// which will be sent again.
	pacePerEnd = 10 * time.Millisecond
	// maxAnnounced bounds the ends in one announcement.
	maxAnnounced = 128
	// RefreshInterval is the time between two announcements of all that is known, for hosts that
	// have started or were unreachable, RefreshDelay the time until the next one after a host has
	// connected, and refreshTTL how long an end is repeated in them.
	RefreshInterval = 5 * time.Second
	RefreshDelay    = 200 * time.Millisecond
	refreshTTL      = time.Minute
)

// announcer holds what is to be announced.
type announcer struct {
	pending []event.TargetEnd
	// addedAt are the times at which the pending ends were added.
	addedAt []ident.Time
	urgency urgency
	last    ident.Time
	pause   time.Duration
}

// urgency is how soon an end is announced.
type urgency int

const (
	routine urgency = iota
	urgent
	immediate
)

// urgencyOf returns the urgency of the end that was added to a record last.
func urgencyOf(r *record) urgency {
	switch {
	case r.condemnedAt > 0:
		return immediate
	case len(r.ends) > 1:
		return urgent
	}
	return routine
}

// add adds an end to the next announcement. One that does not fit is left to the next refresh.
func (a *announcer) add(now ident.Time, e event.TargetEnd, u urgency) {
	for _, p := range a.pending {
		if p.Content == e.Content && p.Run == e.Run && p.Cleared == e.Cleared {
			return
		}
	}
	if len(a.pending) == maxAnnounced {
		if u == routine {
			return
		}
		a.pending, a.addedAt = a.pending[1:], a.addedAt[1:]
	}
	a.pending, a.addedAt = append(a.pending, e), append(a.addedAt, now)
	a.urgency = max(a.urgency, u)
}

// NextAnnouncement returns when Announce is due, zero if there is nothing to announce.
func (b *Book) NextAnnouncement() ident.Time {
	a := &b.announcer
	switch {
	case len(a.pending) == 0:
		return 0
	case a.urgency == immediate:
		return max(a.last, 1)
	case a.urgency == urgent:
		return max(a.last.Add(urgentInterval), 1)
	}
	return max(a.last.Add(max(a.pause, urgentInterval)), 1)
}

// Announce returns what this host has found since its last announcement. It records what it returns,
// so send it to the other hosts.
func (b *Book) Announce(now ident.Time) []event.TargetEnd {
	a := &b.announcer
	ends := a.pending
	for i := range ends {
		ends[i].Age += now.Sub(a.addedAt[i])
	}
	*a = announcer{last: now, pause: time.Duration(len(ends)) * pacePerEnd}
	return ends
}

// Known returns the ends of the last refreshTTL that this host knows, condemned contents first, then those with
// several ends. They contain no more than maxAnnounced ends.
func (b *Book) Known(now ident.Time) []event.TargetEnd {
	b.expire(now)
	var ends []event.TargetEnd
	for _, l := range b.records.lists() {
		for el := l.Back(); el != nil && len(ends) < maxAnnounced; el = el.Prev() {
			r := el.Value.(*record)
			if now.Sub(r.newestEndAt) > refreshTTL {
				break
			}
			for i := 0; i < len(r.ends) && len(ends) < maxAnnounced; i++ {
				ends = append(ends, event.TargetEnd{
					Content: r.content, Part: r.part, Run: r.ends[i].run, Under: r.ends[i].under, Age: now.Sub(r.newestEndAt), Running: r.running,
					AnsweredIn: r.answeredIn, Confined: r.confined, Condemned: r.condemnedAt > 0 && !r.isLapsed(r.condemnedAt, now),
				})
			}
		}
	}
	return ends
}
